import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer replaces a replica's entry by one that lacks a field and names another service. */
public final class ForeignEntry extends Case {

  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final long PLAY_MILLIS = 12_000;
  private static final int CLIENTS = 4;
  private static final long PAUSE_MILLIS = 50;
  private static final List<Long> WRITTEN_AT_MILLIS = List.of(3_000L, 6_000L, 9_000L);

  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger misrouted = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicBoolean isOver = new AtomicBoolean();

  @Override
  boolean play() throws Exception {
    try (Store store = new Store()) {
      store.put(
          "config",
          "main",
          """
          {"version":1,
           "routes":[{"name":"registro","host":"lima","path_prefix":"/registro/",
             "kind":"non_idempotent","timeout_ms":1500,"goal_ms":121,"priority":0,
             "service":"fichas","max_attempts":1,"public":false}],
           "services":[
             {"name":"fichas","health_path":"/health","max_conns":100,"protocol":"h1"},
             {"name":"archivo","health_path":"/health","max_conns":100,"protocol":"h1"}],
           "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
           "tenants":[{"name":"surco","api_keys":["key-surco"],"priority":1}]}
          """);
      List<PlainReplica> replicas = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        replicas.add(new PlainReplica("i-" + i, "fichas", store, 20, this::ran));
      }
      PlainReplica other = new PlainReplica("i-9", "archivo", store, 20, this::ranElsewhere);
      replicas.add(other);
      Thread heartbeats = Thread.ofVirtual().start(() -> beat(replicas));
      try (Gateway gateway = Gateway.start("front-norte-1", store.address(), scratch)) {
        long start = record.millis();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
          String name = "c" + i;
          clients.add(Thread.ofVirtual().start(() -> callAgainAndAgain(gateway, name)));
        }
        for (long at : WRITTEN_AT_MILLIS) {
          Thread.sleep(start + at - record.millis());
          if (isTrouble) {
            store.put("servers", other.id, other.entryWithoutColdLeft("fichas"));
            record.add("written  a foreign entry %s: service fichas, without cold_left_ms", other.id);
          }
        }
        Thread.sleep(start + PLAY_MILLIS - record.millis());
        isOver.set(true);
        for (Thread client : clients) {
          client.join();
        }
      }
      heartbeats.join();
      for (PlainReplica replica : replicas) {
        replica.close();
      }
    }
    record.add(
        "total    sent %d, answered 200 %d, run by a service to which no route leads %d",
        sent.get(), answered.get(), misrouted.get());
    if (answered.get() == 0) {
      throw new Gateway.CannotRun("nothing was answered");
    }
    return misrouted.get() == 0;
  }

  private void ran(PlainReplica replica, Http.Request request) {
    record.add("run      %s at %s of fichas", request.header("Attempt-Id"), replica.id);
  }

  private void ranElsewhere(PlainReplica replica, Http.Request request) {
    misrouted.incrementAndGet();
    record.add(
        "wrong    %s %s has run at %s of archivo",
        request.header("Attempt-Id"), request.target(), replica.id);
  }

  /** Lets the replicas write their entries at their intervals. */
  private void beat(List<PlainReplica> replicas) {
    try {
      while (!isOver.get()) {
        Thread.sleep(HEARTBEAT_MILLIS);
        replicas.forEach(PlainReplica::register);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void callAgainAndAgain(Gateway gateway, String name) {
    int number = 0;
    try (Http.Connection connection = Http.Connection.open(gateway.callers, 3_000)) {
      while (!isOver.get()) {
        String id = name + "-" + ++number;
        sent.incrementAndGet();
        record.add("sent     %s", id);
        Http.Response response =
            connection.exchange(
                "POST",
                "/registro/a",
                Map.of(
                    "Host", "lima",
                    "Attempt-Id", id,
                    "Deadline-Ms", "1500",
                    "Authorization", "Bearer key-surco"),
                "defect".getBytes(StandardCharsets.UTF_8));
        record.add("answered %s: %d %s", id, response.status(), response.failure());
        answered.addAndGet(response.status() == 200 ? 1 : 0);
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (Exception e) {
      record.add("closed   connection of %s: %s", name, e);
    }
  }
}
