import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica of a plain service, which runs each request for a fixed time. */
final class Replica implements AutoCloseable {

  final String id;
  private final String service;
  private final long workMillis;
  private final long born = System.currentTimeMillis();
  private final Http.Server server;

  /** The number of times that each request was run, by its id. */
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

  Replica(String id, String service, long workMillis) throws IOException {
    this.id = id;
    this.service = service;
    this.workMillis = workMillis;
    server = new Http.Server(this::handle);
  }

  /** Returns the entry that the replica writes to the store. */
  String entry() {
    return entry(service, id, server.address(), born);
  }

  static String entry(String service, String id, String address, long born) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address
        + "\",\"zone\":\"lima-norte\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\","
        + "\"cold_left_ms\":0,\"born\":"
        + born
        + ",\"seq\":1}";
  }

  private void handle(Http.Conn conn, Http.Head head) throws IOException {
    conn.readBody(head);
    if (!head.header("expect-instance").equals(id)) {
      conn.respond(421, "Instance-Id: " + id + "\r\n", "");
      return;
    }
    String request = head.header("attempt-id");
    runs.computeIfAbsent(request, key -> new AtomicInteger()).incrementAndGet();
    try {
      Thread.sleep(workMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    conn.respond(
        200,
        "Attempt-Id: " + request + "\r\nServer-Seal: seal." + request + "\r\n",
        "answer to " + request);
  }

  @Override
  public void close() {
    server.close();
  }
}
