import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A replica that was down comes back with the weights that it had, while the machine that has rolled
 * out new ones is cut off from the platform's store.
 */
final class FreedParts {

  private static final int CLIENTS = 40;
  private static final int EVENTS = 10;
  private static final long EVENT_MILLIS = 10;
  private static final long LOAD_MILLIS = 540;
  private static final double PREFILL_TOKENS_PER_MILLI = 69.8;

  /** 131,072 bytes a token over 260 Gbit/s, twice as long between zones. */
  private static final double FETCH_TOKENS_PER_MILLI = 260e6 / 8 / 131_072 / 2;

  private static final int ENGINES = 4;

  /** The id of the replica that crashes. */
  private static final String LAST = "i-modelos-4";

  /** Versions are named up to this one, until the rule is broken. */
  private static final int LAST_VERSION = 4;

  private static final int SESSIONS = 120;
  private static final long CALM_MILLIS = 6_000;
  private static final long ROLLOUT_MILLIS = 15_000;
  private static final long CUT_MILLIS = 5_500;
  private static final long RETURN_MILLIS = 1_200;
  private static final long AFTER_MILLIS = 4_000;

  /** Three times {@code heartbeat_ms}, after which the entry of a silent replica is removed. */
  private static final long LAPSE_MILLIS = 3_600;

  private static final long SETTLED_MILLIS = 500;
  private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");
  private static final Pattern EXPECTED = Pattern.compile("\"expected\":(\\d+)");
  private static final Pattern HOLDER = Pattern.compile("\"holder\":\"([^\"]*)\"");
  private static final Pattern PART = Pattern.compile("\\[\"([^\"]*)\",\"([^\"]*)\"\\]");
  private static final Pattern SINCE = Pattern.compile("since=(\\d+)");

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
        {"name":"veredicto","host":"lima.example","path_prefix":"/puxa400/","kind":"streaming",
         "timeout_ms":5000,"goal_ms":600,"priority":1,"service":"modelos","max_attempts":2,
         "public":false,"sticky":true,"can_resume":true,"gap_aim_ms":300}],
       "services":[{"name":"modelos","health_path":"/health","max_conns":300,"protocol":"h1",
         "tls":false,"engine":{"slots":48,"kv_capacity":53509,"kv_bytes":131072,
         "link_mbps":130000.0,"moves":true,"backups":true,"managed":true,"stride":5,
         "max_inflight":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
         "models":[{"name":"m0"}]}},
        {"name":"memoria-b","kv_store_addr":"STORE","zone":"lima-centro","kv_capacity":2020939,
         "link_mbps":260000.0,"max_inflight":12,"managed":true,"first_ms":6.0}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
         "idle_timeout_ms":15000},
       "tenants":[{"name":"surco","api_keys":["key-1"],"priority":1}]}
      """;

  private final Site site;
  private final Cache cache = new Cache();
  private final AtomicInteger violations = new AtomicInteger();
  private final AtomicInteger fetches = new AtomicInteger();

  private FreedParts(Site site) throws IOException {
    this.site = site;
  }

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
      code = new FreedParts(site).run(isTrouble);
    }
    System.exit(code);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A store of kept KV cache. */
  private final class Cache {
    private final Http.Server server = new Http.Server(this::handle);
    private final List<String> events = new ArrayList<>();
    private final Map<String, Integer> parts = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> fetching = new ConcurrentHashMap<>();

    Cache() throws IOException {}

    private void handle(Http.Conn conn, Http.Head head) throws IOException {
      String body = new String(conn.readBody(head));
      if (head.target().startsWith("/kv-events")) {
        Matcher since = SINCE.matcher(head.target());
        int from = since.find() ? Integer.parseInt(since.group(1)) : 0;
        String wait = head.header("wait-ms");
        conn.respond(200, "Content-Type: application/json\r\n", news(from, wait));
      } else if (head.target().equals("/kv-free")) {
        Matcher part = PART.matcher(body);
        int count = 0;
        while (part.find()) {
          free(part.group(1), part.group(2));
          count++;
        }
        site.log("%d parts are freed", count);
        conn.respond(200, "", "");
      } else {
        conn.respond(404, "", "");
      }
    }

    private synchronized String news(int since, String wait) {
      long end = Site.millis() + (wait.isEmpty() ? 0 : Long.parseLong(wait));
      while (events.size() <= since && Site.millis() < end) {
        try {
          wait(Math.max(1, end - Site.millis()));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          break;
        }
      }
      List<String> later = events.subList(Math.min(since, events.size()), events.size());
      return "{\"boot_epoch\":77120,\"next_token\":"
          + events.size()
          + ",\"lost\":false,\"clock_ms\":"
          + Site.millis()
          + ",\"events\":["
          + String.join(",", later)
          + "]}";
    }

    private synchronized void event(String sign, String salt, String id, int tokens) {
      events.add(
          "[%d,\"%s\",\"%s\",\"%s\",%d,\"m0\"]"
              .formatted(events.size() + 1, sign, salt, id, tokens));
      notifyAll();
    }

    void save(String salt, String id, int tokens) {
      if (parts.putIfAbsent(salt + " " + id, tokens) == null) {
        event("+", salt, id, tokens);
      }
    }

    private void free(String salt, String id) {
      String key = salt + " " + id;
      AtomicInteger active = fetching.get(key);
      if (active != null && active.get() > 0) {
        site.log("part %s is freed while a replica fetches it", key);
      }
      if (parts.remove(key) != null) {
        event("-", salt, id, 0);
      }
    }
  }

  /** A model replica. */
  private final class Engine {
    final String id;
    final long born = System.currentTimeMillis();
    final Http.Server server = new Http.Server(this::handle);
    final Set<String> cached = ConcurrentHashMap.newKeySet();
    final AtomicInteger running = new AtomicInteger();
    private final Object link = new Object();
    private final Object prefill = new Object();
    private final Set<Http.Conn> connections = ConcurrentHashMap.newKeySet();
    volatile int version;
    volatile boolean isBusy;
    private int accepted;

    Engine(String id, int version) throws IOException {
      this.id = id;
      this.version = version;
    }

    void crash() {
      server.close();
      connections.forEach(Http.Conn::close);
      site.log("%s crashes, on version %d", id, version);
    }

    void register() {
      site.store.put(
          "servers",
          id,
          "{\"service\":\"modelos\",\"address\":\""
              + server.address()
              + "\",\"zone\":\"lima-norte\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\","
              + "\"cold_left_ms\":0,\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\","
              + "\"version\":"
              + version
              + ",\"adapters\":[]}],\"born\":"
              + born
              + ",\"seq\":1}");
    }

    private void handle(Http.Conn conn, Http.Head head) throws IOException {
      connections.add(conn);
      String body = new String(conn.readBody(head));
      if (head.target().equals("/report")) {
        conn.respond(
            200,
            "Content-Type: application/json\r\n",
            "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":"
                + version
                + ",\"adapters\":[]}],\"busy\":"
                + isBusy
                + ",\"seq\":"
                + accepted
                + ",\"queued\":0,\"running\":"
                + running.get()
                + ",\"kv_used\":900,\"kv_total\":53509,\"handles\":0,\"clock_ms\":"
                + Site.millis()
                + "}");
      } else if (!head.header("expect-instance").equals(id)) {
        conn.respond(421, "Instance-Id: " + id + "\r\n", "");
      } else if (head.target().equals("/order")) {
        conn.respond(order(body), "", "");
      } else {
        generate(conn, head);
      }
    }

    private synchronized int order(String body) {
      Matcher wanted = VERSION.matcher(body);
      Matcher expected = EXPECTED.matcher(body);
      int newVersion = wanted.find() ? Integer.parseInt(wanted.group(1)) : 0;
      if (newVersion == version) {
        return 200;
      }
      if (isBusy || expected.find() && Integer.parseInt(expected.group(1)) != accepted) {
        return 409;
      }
      accepted++;
      isBusy = true;
      site.log("%s accepts version %d", id, newVersion);
      Thread.ofVirtual()
          .start(
              () -> {
                pause(LOAD_MILLIS);
                version = newVersion;
                cached.clear();
                isBusy = false;
                register();
              });
      return 202;
    }

    private void generate(Http.Conn conn, Http.Head head) throws IOException {
      String request = head.header("attempt-id");
      String wanted = head.header("expect-version");
      if (!wanted.isEmpty() && Integer.parseInt(wanted) != version) {
        conn.respond(421, "Instance-Id: " + id + "\r\nAttempt-Id: " + request + "\r\n", "");
        return;
      }
      if (isBusy) {
        conn.respond(503, "Attempt-Id: " + request + "\r\nNot-Executed: 1\r\n", "");
        return;
      }
      running.incrementAndGet();
      try {
        read(head);
        conn.write(
            "HTTP/1.1 200 OK\r\nAttempt-Id: "
                + request
                + "\r\nServer-Seal: seal."
                + id
                + "\r\nWeight-Versions: "
                + version
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String last = head.header("last-event-id");
        for (int e = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; e <= EVENTS; e++) {
          pause(EVENT_MILLIS);
          String text = "id: " + e + "\ndata: word\n\n";
          conn.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        conn.write("0\r\n\r\n");
      } finally {
        running.decrementAndGet();
      }
    }

    /** Fetches what a store keeps of the prompt, reads the rest, and saves what is asked for. */
    private void read(Http.Head head) {
      String salt = head.header("cache-salt");
      String[] parts = head.header("prefix-hash").split(",");
      String[] sources = head.header("kv-source").split(",");
      String[] targets = head.header("kv-target").split(",");
      String until = head.header("kv-until");
      int uncached = 0;
      for (int i = 0; i < parts.length; i++) {
        String part = parts[i].split(":")[0];
        int tokens = Integer.parseInt(parts[i].split(":")[1]);
        String key = salt + " " + part;
        boolean isNamed = i < sources.length && sources[i].contains(":");
        if (!cached.contains(key) && isNamed && cache.parts.containsKey(key)) {
          fetch(key, tokens, until);
        }
        if (cached.add(key)) {
          uncached += tokens;
        }
      }
      synchronized (prefill) {
        pause((long) (uncached / PREFILL_TOKENS_PER_MILLI));
      }
      for (int i = 0; i < parts.length; i++) {
        if (i < targets.length && targets[i].contains(":")) {
          cache.save(salt, parts[i].split(":")[0], Integer.parseInt(parts[i].split(":")[1]));
        }
      }
    }

    /** Transfers run one after another. A part that has come too late is read instead. */
    private void fetch(String key, int tokens, String until) {
      synchronized (link) {
        if (!cache.parts.containsKey(key)) {
          return;
        }
        AtomicInteger active = cache.fetching.computeIfAbsent(key, k -> new AtomicInteger());
        active.incrementAndGet();
        long begin = Site.millis();
        pause((long) (6 + tokens / FETCH_TOKENS_PER_MILLI));
        active.decrementAndGet();
        long end = Site.millis();
        boolean isDiscarded = !until.isEmpty() && end > Long.parseLong(until);
        if (isDiscarded) {
          return;
        }
        fetches.incrementAndGet();
        cached.add(key);
        if (!cache.parts.containsKey(key)) {
          violations.incrementAndGet();
          site.log(
              "%s, on version %d, uses part %s, fetched from %d to %d ms and freed meanwhile",
              id, version, key, begin, end);
        }
      }
    }
  }

  private int run(boolean isTrouble) throws Exception {
    site.store.put(
        "config",
        "main",
        CONFIGURATION.replace("\n", "").replace("STORE", cache.server.address()));
    site.store.put("versions", "m0", "{\"model\":\"m0\",\"version\":1}");
    for (int i = 1; i <= ENGINES - 1; i++) {
      new Engine("i-modelos-" + i, 1).register();
    }
    Engine last = new Engine(LAST, 1);
    last.register();
    Map<String, Store.Link> links = new ConcurrentHashMap<>();
    List<Site.Gateway> gateways = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      String name = "front-lima-norte-" + i;
      links.put(name, site.store.link());
      gateways.add(site.gateway(name, links.get(name).address()));
      gateways.getLast().start();
    }
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger others = new AtomicInteger();
    AtomicBoolean isOver = new AtomicBoolean();
    for (Site.Gateway gateway : gateways) {
      gateway.awaitReady();
    }
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Site.Gateway gateway = gateways.get(i % 2);
      Thread.ofVirtual().start(() -> send(gateway, client, isOver, whole, others));
    }
    Thread.sleep(CALM_MILLIS);
    if (whole.get() == 0) {
      return 2;
    }
    for (int version = 2; version <= LAST_VERSION && violations.get() == 0; version++) {
      Optional<Engine> next = rollOut(last, version, links, isTrouble);
      if (next.isEmpty()) {
        return 2;
      }
      last = next.get();
    }
    isOver.set(true);
    site.log(
        "%d whole answers, %d others; %d fetches, %d of parts that were freed meanwhile",
        whole.get(), others.get(), fetches.get(), violations.get());
    site.log(violations.get() > 0 ? "BROKEN" : "held");
    return violations.get() > 0 ? 1 : 0;
  }

  /**
   * Names a version; the last replica crashes before that and comes back after the roll-out, while
   * the machine that has rolled the version out is cut off from the platform's store.
   *
   * @return the last replica, or empty if the roll-out has not ended
   */
  private Optional<Engine> rollOut(
      Engine last, int version, Map<String, Store.Link> links, boolean isTrouble)
      throws Exception {
    if (isTrouble) {
      last.crash();
      Thread.sleep(LAPSE_MILLIS);
      site.store.remove("servers", LAST);
      site.log("the entry of %s has lapsed", LAST);
      Thread.sleep(SETTLED_MILLIS);
    }
    site.log("%d parts are kept; version %d is named", cache.parts.size(), version);
    site.store.put("versions", "m0", "{\"model\":\"m0\",\"version\":" + version + "}");
    long end = Site.millis() + ROLLOUT_MILLIS;
    while (!isReleased(version)) {
      if (Site.millis() > end) {
        site.log("the roll-out has not ended");
        return Optional.empty();
      }
      Thread.sleep(5);
    }
    Matcher holder = HOLDER.matcher(site.store.spec("order-leases", "m0"));
    String name = holder.find() ? holder.group(1) : "";
    site.log("%s has ended the roll-out", name);
    if (!isTrouble) {
      Thread.sleep(CUT_MILLIS + AFTER_MILLIS);
      return Optional.of(last);
    }
    links.get(name).cut(true);
    site.log("%s is cut off from the platform's store", name);
    Thread.sleep(RETURN_MILLIS);
    Engine returned = new Engine(LAST, version - 1);
    returned.register();
    site.log("%s is back, on version %d", LAST, version - 1);
    Thread.sleep(CUT_MILLIS - RETURN_MILLIS);
    links.get(name).cut(false);
    site.log("%s reaches the platform's store again", name);
    Thread.sleep(AFTER_MILLIS);
    return Optional.of(returned);
  }

  private boolean isReleased(int version) {
    String lease = site.store.spec("order-leases", "m0");
    return lease.contains("\"released\":true") && lease.contains("\"weights\":" + version);
  }

  private void send(
      Site.Gateway gateway,
      int client,
      AtomicBoolean isOver,
      AtomicInteger whole,
      AtomicInteger others) {
    for (int i = 0; !isOver.get(); i++) {
      int session = (client * 7 + i * 13) % SESSIONS;
      try (Http.Conn conn = Http.connect(gateway.callers)) {
        Http.Answer answer =
            conn.call(
                "POST /puxa400/2f HTTP/1.1\r\nHost: lima.example\r\nAttempt-Id: v"
                    + client
                    + "-"
                    + i
                    + "\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nModel: m0\r\n"
                    + "Token-Usage: 9190,10\r\nPrefix-Hash: c"
                    + session % 4
                    + ":2520,a"
                    + session
                    + ":5000,b"
                    + client
                    + "x"
                    + i
                    + ":1670\r\nContent-Length: 6\r\n\r\n",
                "prompt".getBytes());
        String text = new String(answer.body());
        boolean isWhole = answer.status() == 200 && text.contains("id: " + EVENTS + "\n");
        (isWhole ? whole : others).incrementAndGet();
        pause(isWhole ? 20 : 150);
      } catch (IOException e) {
        others.incrementAndGet();
        pause(150);
      }
    }
  }
}
