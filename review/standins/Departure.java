import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica leaves shortly after the open connections to the store have gone silent. */
public final class Departure extends Case {

  private static final long DRAIN_MILLIS = 2_000;

  private static final long CONTACT_MILLIS = 3_000;

  /** When a caller's keep-alive shows a dead connection: 1 s idle and two probes, 1 s each. */
  private static final long KEEP_ALIVE_MILLIS = 3_000;

  /** How long a replica serves on after it has left, in milliseconds. */
  private static final long SERVES_MILLIS = 4_500;

  /** A replica that gets a request when the time to drain it is over ends so much later. */
  private static final long ENDS_AFTER_MILLIS = 150;

  private static final long WORK_MILLIS = 300;

  private static final int ROUNDS = 3;
  private static final int REQUESTS = 6;

  private final Map<String, Long> arrivals = new ConcurrentHashMap<>();
  private final AtomicInteger lost = new AtomicInteger();
  private final Map<String, String> at = new ConcurrentHashMap<>();

  @Override
  boolean play() throws Exception {
    int late = 0;
    try (Store store = new Store()) {
      store.put(
          "config",
          "main",
          """
          {"version":1,
           "routes":[{"name":"registro","host":"lima","path_prefix":"/registro/",
             "kind":"non_idempotent","timeout_ms":1500,"goal_ms":121,"priority":0,
             "service":"fichas","max_attempts":2,"public":false}],
           "services":[{"name":"fichas","health_path":"/health","max_conns":100,"protocol":"h1"}],
           "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
           "tenants":[{"name":"surco","api_keys":["key-surco"],"priority":1}]}
          """);
      List<PlainReplica> replicas = new ArrayList<>();
      for (int i = 1; i <= ROUNDS + 1; i++) {
        replicas.add(new PlainReplica("i-" + i, "fichas", store, WORK_MILLIS, (replica, request) -> {
          arrivals.put(request.header("Attempt-Id"), record.millis());
          at.put(request.header("Attempt-Id"), replica.id);
          record.add("run      %s at %s", request.header("Attempt-Id"), replica.id);
        }));
      }
      try (Gateway gateway = Gateway.start("front-norte-1", store.address(), scratch)) {
        for (int round = 0; round < ROUNDS; round++) {
          late += round(gateway, store, replicas.get(round), "r" + round);
        }
        record.add("total    %d late requests, %d without success", late, lost.get());
      }
      replicas.get(ROUNDS).close();
    }
    return late == 0;
  }

  /** Lets a replica leave, and sends some requests when the machine is in touch again. */
  private int round(Gateway gateway, Store store, PlainReplica leaving, String prefix)
      throws Exception {
    Thread.sleep(CONTACT_MILLIS + DRAIN_MILLIS);
    store.awaitWatchOfReplicas();
    Thread.sleep(200);
    long silent = record.millis();
    if (isTrouble) {
      store.silenceOpenConnections(KEEP_ALIVE_MILLIS);
      record.add("silent   the open connections to the store");
    }
    Thread.sleep(200);
    leaving.leaveUnannounced();
    long left = record.millis();
    record.add("removed  the entry of %s", leaving.id);
    Thread.sleep(silent + CONTACT_MILLIS + 400 - record.millis());
    Thread end = Thread.ofVirtual().start(() -> end(leaving, left));
    List<Thread> clients = new ArrayList<>();
    for (int i = 1; i <= REQUESTS; i++) {
      String id = prefix + "-" + i;
      clients.add(Thread.ofVirtual().start(() -> send(gateway, id)));
      Thread.sleep(10);
    }
    for (Thread client : clients) {
      client.join();
    }
    int late = 0;
    for (int i = 1; i <= REQUESTS; i++) {
      String id = prefix + "-" + i;
      if (!arrivals.containsKey(id)) {
        throw new Gateway.CannotRun(id + " has not run");
      }
      if (at.get(id).equals(leaving.id)) {
        late++;
        record.add(
            "late     %s reached %s %d ms after it left, %d ms after the silence began",
            id, leaving.id, arrivals.get(id) - left, arrivals.get(id) - silent);
      }
    }
    end.join();
    return late;
  }

  /** Ends a replica that has left, shortly after a late request or when it has served long. */
  private void end(PlainReplica leaving, long left) {
    try {
      while (record.millis() < left + SERVES_MILLIS && !hasLateRequest(leaving, left)) {
        Thread.sleep(10);
      }
      Thread.sleep(ENDS_AFTER_MILLIS);
      leaving.close();
      record.add("ended    %s", leaving.id);
    } catch (Exception e) {
      record.add("ended    %s: %s", leaving.id, e);
    }
  }

  private boolean hasLateRequest(PlainReplica leaving, long left) {
    return at.entrySet().stream()
        .anyMatch(
            run ->
                run.getValue().equals(leaving.id)
                    && arrivals.get(run.getKey()) > left + DRAIN_MILLIS);
  }

  private void send(Gateway gateway, String id) {
    record.add("sent     %s", id);
    try (Http.Connection connection = Http.Connection.open(gateway.callers, 3_000)) {
      Http.Response response =
          connection.exchange(
              "POST",
              "/registro/a",
              Map.of(
                  "Host", "lima",
                  "Attempt-Id", id,
                  "Deadline-Ms", "1500",
                  "Authorization", "Bearer key-surco"),
              new byte[600]);
      record.add(
          "answered %s: %d %s", id, response.status(), response.header("Refusal-Reason"));
      if (response.status() != 200) {
        lost.incrementAndGet();
      }
    } catch (Exception e) {
      record.add("closed   %s: %s", id, e);
    }
  }
}
