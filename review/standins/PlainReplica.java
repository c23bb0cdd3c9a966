import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica of a plain service: runs a few requests at once and queues a few more. */
final class PlainReplica implements Closeable {
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;
  private static final long BORN_MILLIS = System.currentTimeMillis();

  /** Receives each request that the replica begins to run. */
  interface Listener {
    void arrived(PlainReplica replica, Http.Request request);
  }

  /** Answers a request in place of the replica, and returns whether it has. */
  interface Answer {
    boolean answer(Http.Request request, Socket socket) throws IOException;
  }

  final String id;
  private final String service;
  private final Store store;
  private final long workMillis;
  private final Listener listener;
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final AtomicInteger held = new AtomicInteger();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Http.Server server = new Http.Server(this::handle);
  private volatile Answer insteadOfAnswer = (request, socket) -> false;
  private volatile boolean isLeaving;

  PlainReplica(String id, String service, Store store, long workMillis, Listener listener)
      throws IOException {
    this.id = id;
    this.service = service;
    this.store = store;
    this.workMillis = workMillis;
    this.listener = listener;
    register();
  }

  /** Writes the replica's entry. */
  void register() {
    store.put("servers", id, entry(service, "\"cold_left_ms\":0,"));
  }

  /** Returns what another writer may say of this replica, with a field missing. */
  String entryWithoutColdLeft(String otherService) {
    return entry(otherService, "");
  }

  private String entry(String statedService, String coldLeft) {
    return """
        {"service":"%s","address":"%s","zone":"norte","version":"1","slots":%d,"state":"ready",
         %s"seq":1,"born":%d,"stage":"colocated","models":[]}
        """
        .formatted(statedService, server.address(), SLOTS, coldLeft, BORN_MILLIS);
  }

  /** Sets what may answer requests that have run in place of the replica. */
  void setInsteadOfAnswer(Answer answer) {
    insteadOfAnswer = answer;
  }

  /** Leaves without reporting that it drains: its entry is removed, and it goes on serving. */
  void leaveUnannounced() {
    isLeaving = true;
    store.remove("servers", id);
  }

  /** Returns how often a request has run. */
  int runs(String request) {
    return runs.getOrDefault(request, 0);
  }

  private boolean handle(Http.Request request, Socket socket) throws Exception {
    String attempt = request.header("Attempt-Id");
    String headers = "Attempt-Id: " + attempt + "\r\n" + (isLeaving ? "Server-Leaving: 1\r\n" : "");
    if (!request.header("Expect-Instance").isEmpty()
        && !request.header("Expect-Instance").equals(id)) {
      Http.respond(socket, 421, headers + "Instance-Id: " + id + "\r\n", "");
      return true;
    }
    if (held.incrementAndGet() > SLOTS + QUEUE) {
      held.decrementAndGet();
      Http.respond(socket, 503, headers + "Not-Executed: 1\r\n", "");
      return true;
    }
    slots.acquire();
    try {
      runs.merge(attempt, 1, Integer::sum);
      listener.arrived(this, request);
      Thread.sleep(workMillis);
      if (insteadOfAnswer.answer(request, socket)) {
        return true;
      }
      int running = SLOTS - slots.availablePermits();
      Http.respond(
          socket,
          200,
          headers
              + "Server-Seal: "
              + id
              + "\r\nServer-Load: "
              + (running + "," + Math.max(0, held.get() - running) + "," + SLOTS)
              + "\r\n",
          "recorded " + attempt);
      return true;
    } finally {
      slots.release();
      held.decrementAndGet();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
