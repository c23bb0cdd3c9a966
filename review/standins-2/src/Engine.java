import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/**
 * A model replica that streams a fixed number of events and keeps copies of runs. It drops a run
 * when its connection closes, except the runs whose answers it breaks off itself: those it finishes.
 */
final class Engine implements AutoCloseable {

  static final int EVENTS = 58;
  static final long EVENT_MILLIS = 40;

  /** The events after which an answer is broken off. */
  private static final int BROKEN_AFTER = 10;

  /** The work of one replica on one request. Times are in milliseconds since the start. */
  record Work(String request, String engine, int firstEvent, long begin, long end, int lastEvent) {}

  final String id;
  private final String zone;
  private final Site site;
  private final Predicate<String> isBrokenOff;
  private final long born = System.currentTimeMillis();
  private final Http.Server server;
  private final Map<String, Integer> running = new ConcurrentHashMap<>();
  private final Map<String, Boolean> copies;
  final List<Work> works = new CopyOnWriteArrayList<>();

  /**
   * Starts a replica.
   *
   * @param copies the copies of all replicas, by address of the holder and request
   * @param isBrokenOff decides which requests get only a part of their answer
   */
  Engine(
      Site site,
      String id,
      String zone,
      Map<String, Boolean> copies,
      Predicate<String> isBrokenOff)
      throws IOException {
    this.site = site;
    this.id = id;
    this.zone = zone;
    this.copies = copies;
    this.isBrokenOff = isBrokenOff;
    server = new Http.Server(this::handle);
  }

  String entry() {
    return "{\"service\":\"modelos\",\"address\":\""
        + server.address()
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\"cold_left_ms\":0,"
        + "\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
        + "\"born\":"
        + born
        + ",\"seq\":1}";
  }

  private void handle(Http.Conn conn, Http.Head head) throws IOException {
    conn.readBody(head);
    if (head.target().equals("/report")) {
      conn.respond(200, "Content-Type: application/json\r\n", report());
      return;
    }
    if (!head.header("expect-instance").equals(id)) {
      conn.respond(421, "Instance-Id: " + id + "\r\n", "");
      return;
    }
    String request = head.header("attempt-id");
    String from = head.header("kv-from");
    if (!from.isEmpty() && copies.remove(from) == null) {
      conn.respond(503, "Attempt-Id: " + request + "\r\nNot-Executed: 1\r\n", "");
      return;
    }
    String backup = head.header("kv-backup");
    if (!backup.isEmpty()) {
      copies.put(backup + "/" + request, true);
    }
    String last = head.header("last-event-id");
    run(conn, request, last.isEmpty() ? 1 : Integer.parseInt(last) + 1, !from.isEmpty());
  }

  private String report() {
    StringBuilder runs = new StringBuilder();
    running.forEach(
        (request, events) ->
            runs.append(runs.isEmpty() ? "" : ",")
                .append("[\"" + request + "\",900," + events + ",0]"));
    return "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
        + "\"busy\":false,\"seq\":0,\"queued\":0,\"running\":"
        + running.size()
        + ",\"kv_used\":900,\"kv_total\":53509,\"handles\":0,\"runs\":["
        + runs
        + "]}";
  }

  private void run(Http.Conn conn, String request, int first, boolean isContinuation)
      throws IOException {
    long begin = Site.millis();
    if (isContinuation) {
      site.log("%s goes on with %s from event %d", id, request, first);
    }
    boolean breaksOff = !isContinuation && isBrokenOff.test(request);
    int event = first;
    running.put(request, 0);
    try {
      conn.write(
          "HTTP/1.1 200 OK\r\nAttempt-Id: "
              + request
              + "\r\nServer-Seal: seal."
              + id
              + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n");
      for (; event <= EVENTS; event++) {
        Thread.sleep(EVENT_MILLIS);
        running.put(request, event);
        if (breaksOff && event > BROKEN_AFTER) {
          if (event == BROKEN_AFTER + 1) {
            site.log("%s breaks off the answer to %s, and works on", id, request);
            conn.close();
          }
          continue;
        }
        String text = "id: " + event + "\ndata: word\n\n";
        conn.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
      }
      if (!breaksOff) {
        conn.write("0\r\n\r\n");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      running.remove(request);
      long end = Site.millis();
      works.add(new Work(request, id, first, begin, end, Math.min(event, EVENTS)));
      if (breaksOff) {
        site.log("%s has ended its work on %s", id, request);
      }
    }
  }

  @Override
  public void close() {
    server.close();
  }
}
