import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica breaks off a few of its streams, which may not be repeated, and works on. */
final class BrokenStream {

  private static final int CLIENTS = 6;
  private static final int REQUESTS_PER_CLIENT = 12;

  /** Of all requests, one in so many is broken off by the replica that got it. */
  private static final int ONE_IN = 36;

  /** The time after which the replica before must not work any more (rule TWICE). */
  private static final long STILL_WORKING_MILLIS = 400;

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
        {"name":"nota-muni","host":"lima.example","path_prefix":"/cufi501/","kind":"streaming",
         "timeout_ms":15000,"goal_ms":400,"priority":0,"service":"modelos","max_attempts":1,
         "public":false,"sticky":true,"can_resume":false,"gap_aim_ms":300}],
       "services":[{"name":"modelos","health_path":"/health","max_conns":300,"protocol":"h1",
         "tls":false,"engine":{"slots":48,"kv_capacity":53509,"kv_bytes":131072,
         "link_mbps":130000.0,"moves":true,"backups":true,"managed":true,"stride":5,
         "max_inflight":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
         "models":[{"name":"m0"}]}}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
         "idle_timeout_ms":15000},
       "tenants":[{"name":"surco","api_keys":["key-1"],"priority":1}]}
      """;

  private BrokenStream() {}

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
      code = run(site, isTrouble);
    }
    System.exit(code);
  }

  private static int run(Site site, boolean isTrouble) throws Exception {
    site.store.put("config", "main", CONFIGURATION.replace("\n", ""));
    site.store.put("versions", "m0", "{\"model\":\"m0\",\"version\":1}");
    Map<String, Boolean> copies = new ConcurrentHashMap<>();
    AtomicInteger arrived = new AtomicInteger();
    List<Engine> engines = new ArrayList<>();
    List<String> zones = List.of("lima-norte", "lima-centro", "lima-sur");
    for (int i = 0; i < 6; i++) {
      Engine engine =
          new Engine(
              site,
              "i-modelos-" + (i + 1),
              zones.get(i % 3),
              copies,
              request -> isTrouble && arrived.incrementAndGet() % ONE_IN == 0);
      engines.add(engine);
      site.store.put("servers", engine.id, engine.entry());
    }
    Site.Gateway gateway = site.gateway("front-lima-norte-1");
    gateway.start();
    gateway.awaitReady();
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger others = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      clients.add(Thread.ofVirtual().start(() -> send(site, gateway, client, whole, others)));
    }
    for (Thread client : clients) {
      client.join();
    }
    Thread.sleep(3_000);
    int violations = 0;
    List<Engine.Work> works = engines.stream().flatMap(e -> e.works.stream()).toList();
    for (Engine.Work later : works) {
      for (Engine.Work before : works) {
        if (later.request().equals(before.request())
            && later.begin() > before.begin()
            && before.end() > later.begin() + STILL_WORKING_MILLIS) {
          violations++;
          site.log(
              "%s went on at %s at %d ms, and %s worked on it until %d ms (event %d)",
              later.request(),
              later.engine(),
              later.begin(),
              before.engine(),
              before.end(),
              before.lastEvent());
        }
      }
    }
    site.log(
        "%d requests, %d whole answers, %d others; %d went on while the replica before worked on",
        CLIENTS * REQUESTS_PER_CLIENT, whole.get(), others.get(), violations);
    if (whole.get() == 0) {
      return 2;
    }
    site.log(violations > 0 ? "BROKEN" : "held");
    return violations > 0 ? 1 : 0;
  }

  private static void send(
      Site site, Site.Gateway gateway, int client, AtomicInteger whole, AtomicInteger others) {
    for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
      String id = "n" + client + "-" + i;
      try (Http.Conn conn = Http.connect(gateway.callers)) {
        Http.Answer answer =
            conn.call(
                "POST /cufi501/2f HTTP/1.1\r\nHost: lima.example\r\nAttempt-Id: "
                    + id
                    + "\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer key-1\r\nModel: m0\r\n"
                    + "Token-Usage: 827,58\r\nPrefix-Hash: 5c1e07a2:119,a"
                    + client
                    + ":531,b"
                    + client
                    + i
                    + ":177\r\nContent-Length: 6\r\n\r\n",
                "prompt".getBytes());
        String text = new String(answer.body());
        boolean isWhole = answer.status() == 200 && text.contains("id: " + Engine.EVENTS + "\n");
        (isWhole ? whole : others).incrementAndGet();
        if (!isWhole) {
          site.log("%s was answered %d, %d bytes", id, answer.status(), answer.body().length);
        }
      } catch (IOException e) {
        others.incrementAndGet();
        site.log("%s ended without a whole answer: %s", id, e.getMessage());
      }
    }
  }
}
