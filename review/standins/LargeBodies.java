import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of four machines send large bodies, each one after the other. Two of the machines are
 * killed at once and start again, and their clients come to the other two.
 */
public final class LargeBodies extends Case {

  /** The limit that the configuration sets for a body, as in the site file, in bytes. */
  private static final int MAX_BODY_BYTES = 4_194_304;

  private static final int CLIENTS_PER_MACHINE = 8;
  private static final int MACHINES = 4;
  private static final int KILLED = 2;
  private static final long WORK_MILLIS = 300;
  private static final long PLAY_MILLIS = 20_000;
  private static final long KILL_AT_MILLIS = 5_000;
  private static final long DOWN_MILLIS = 2_000;
  private static final int TIMEOUT_MILLIS = 5_000;

  /** The rule allows so many closed connections. */
  private static final int ALLOWED_LOSSES = 3;

  private final Map<String, String> ran = new ConcurrentHashMap<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final List<Gateway> machines = new ArrayList<>();
  private volatile long end = Long.MAX_VALUE;

  @Override
  boolean play() throws Exception {
    try (Store store = new Store()) {
      store.put(
          "config",
          "main",
          """
          {"version":1,
           "routes":[{"name":"registro","host":"lima","path_prefix":"/registro/",
             "kind":"non_idempotent","timeout_ms":%d,"goal_ms":1000,"priority":0,
             "service":"fichas","max_attempts":1,"public":false}],
           "services":[{"name":"fichas","health_path":"/health","max_conns":100,"protocol":"h1"}],
           "limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
           "tenants":[{"name":"surco","api_keys":["key-surco"],"priority":1}]}
          """
              .formatted(TIMEOUT_MILLIS, MAX_BODY_BYTES));
      List<PlainReplica> replicas = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        replicas.add(
            new PlainReplica("i-" + i, "fichas", store, WORK_MILLIS, (replica, request) -> {
              ran.put(request.header("Attempt-Id"), replica.id);
              record.add("run      %s at %s", request.header("Attempt-Id"), replica.id);
            }));
      }
      for (int i = 0; i < MACHINES; i++) {
        machines.add(
            Gateway.start("front-" + (i + 1), i, MACHINES, store.address(), scratch));
      }
      return playWithMachines();
    }
  }

  private boolean playWithMachines() throws Exception {
    end = record.millis() + PLAY_MILLIS;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < MACHINES * CLIENTS_PER_MACHINE; i++) {
      clients.add(client("c" + (i + 1), i % MACHINES));
    }
    Thread.sleep(KILL_AT_MILLIS);
    if (isTrouble) {
      for (Gateway killed : machines.subList(0, KILLED)) {
        record.add("kill     %s", killed.name);
        killed.close();
      }
      Thread.sleep(DOWN_MILLIS);
      for (Gateway killed : machines.subList(0, KILLED)) {
        record.add("start    %s", killed.name);
        killed.startAgain();
      }
    }
    List<Gateway> calm = machines.subList(KILLED, MACHINES);
    while (record.millis() < end && calm.stream().allMatch(Gateway::isAlive)) {
      Thread.sleep(20);
    }
    end = 0;
    for (Thread client : clients) {
      client.join();
    }
    for (Gateway machine : calm) {
      if (!machine.isAlive()) {
        record.add(
            "process  %s, which had no disruption, has ended by itself with %d: %s",
            machine.name, machine.exitValue(), machine.lastWords());
      }
    }
    record.add(
        "total    sent %d, answered %d, run and closed without an answer by calm machines %d",
        sent.get(), answered.get(), lost.get());
    if (answered.get() == 0) {
      throw new Gateway.CannotRun("nothing was answered");
    }
    return lost.get() <= ALLOWED_LOSSES;
  }

  /**
   * Sends one record after the other on a kept connection to a client's own machine, or to another
   * one where that has ended.
   */
  private Thread client(String name, int own) {
    return Thread.ofVirtual().start(() -> {
      byte[] photo = new byte[MAX_BODY_BYTES];
      Arrays.fill(photo, (byte) 'p');
      int number = 0;
      for (int turn = 0; record.millis() < end && turn < 2 * MACHINES; turn++) {
        // The machines that are not killed share the clients of the others evenly.
        Gateway machine = machines.get((own + turn * KILLED) % MACHINES);
        try (Http.Connection connection =
            Http.Connection.open(machine.callers, 2 * TIMEOUT_MILLIS)) {
          boolean isKept = false;
          Http.Response response;
          do {
            String id = name + "-" + ++number;
            byte[] body = isKept ? photo : "note".getBytes(StandardCharsets.UTF_8);
            response = send(connection, machine, id, body, isKept);
            isKept = true;
          } while (response.status() > 0 && record.millis() < end);
        } catch (IOException e) {
          record.add("refused  a connection of %s to %s: %s", name, machine.name, e.getMessage());
        }
      }
    });
  }

  private Http.Response send(
      Http.Connection connection, Gateway machine, String id, byte[] body, boolean isKept) {
    sent.incrementAndGet();
    record.add("sent     %s to %s, %d bytes", id, machine.name, body.length);
    Http.Response response =
        connection.exchange(
            "POST",
            "/registro/a",
            Map.of(
                "Host", "lima",
                "Attempt-Id", id,
                "Deadline-Ms", "" + TIMEOUT_MILLIS,
                "Authorization", "Bearer key-surco"),
            body);
    if (response.status() > 0) {
      answered.incrementAndGet();
      record.add("answered %s: %d %s", id, response.status(), response.header("Refusal-Reason"));
    } else {
      boolean isLost = isKept && machines.indexOf(machine) >= KILLED && ran.containsKey(id);
      lost.addAndGet(isLost ? 1 : 0);
      record.add("closed   %s%s: %s", id, isLost ? ", which has run" : "", response.failure());
    }
    return response;
  }
}
