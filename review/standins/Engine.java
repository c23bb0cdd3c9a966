import com.fasterxml.jackson.databind.JsonNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A sound model replica. It keeps the parts of prompts under the request's Cache-Salt, finds them
 * only under the same text, and remembers which tenant's request made each of them.
 */
final class Engine implements Closeable {
  private static final int SLOTS = 8;
  private static final long BORN_MILLIS = System.currentTimeMillis();

  /** How long new weights take, in milliseconds. */
  private static final long CHANGE_MILLIS = 540;

  /** A part that a request used, and the tenant whose request had made it. */
  record Use(String part, String maker) {}

  /** Receives each request that the engine runs, with the kept parts that it uses. */
  interface Listener {
    void ran(Engine engine, Http.Request request, List<Use> uses);
  }

  final String id;
  private final String service;
  private final Store store;
  private final Listener listener;
  private int version = 1;
  private long acceptedOrders;
  private boolean isChanging;
  private final Map<String, String> makers = new HashMap<>();
  private final Http.Server server = new Http.Server(this::handle);

  Engine(String id, String service, Store store, Listener listener) throws IOException {
    this.id = id;
    this.service = service;
    this.store = store;
    this.listener = listener;
    register();
  }

  private synchronized void register() {
    store.put(
        "servers",
        id,
        """
        {"service":"%s","address":"%s","zone":"norte","version":"1","slots":%d,"state":"ready",
         "cold_left_ms":0,"seq":1,"born":%d,"stage":"colocated",
         "models":[{"name":"m0","version":%d,"adapters":[]}]}
        """
            .formatted(service, server.address(), SLOTS, BORN_MILLIS, version));
  }

  private synchronized String report() {
    return """
        {"stage":"colocated","models":[{"name":"m0","version":%d,"adapters":[]}],"busy":%b,
         "seq":%d,"queued":0,"running":0,"kv_used":0,"kv_total":50000,"handles":0,"born":%d}
        """
        .formatted(version, isChanging, acceptedOrders, BORN_MILLIS);
  }

  /** Accepts or refuses an order, and returns the status of the response. */
  private synchronized int order(JsonNode order) {
    int ordered = order.path("version").asInt();
    if (isChanging) {
      return 409;
    }
    if (ordered == version) {
      return 200;
    }
    if (order.has("expected") && order.path("expected").asLong() != acceptedOrders) {
      return 409;
    }
    acceptedOrders++;
    isChanging = true;
    Thread.ofVirtual().start(() -> change(ordered));
    return 202;
  }

  private void change(int ordered) {
    try {
      Thread.sleep(CHANGE_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      version = ordered;
      isChanging = false;
      makers.clear();
    }
    register();
  }

  private boolean handle(Http.Request request, Socket socket) throws Exception {
    if (request.path().equals("/report")) {
      Http.respond(socket, 200, "Content-Type: application/json\r\n", report());
      return true;
    }
    if (request.path().equals("/order")) {
      if (!request.header("Expect-Instance").isEmpty()
          && !request.header("Expect-Instance").equals(id)) {
        Http.respond(socket, 421, "Instance-Id: " + id + "\r\n", "");
      } else {
        Http.respond(socket, order(Store.JSON.readTree(request.body())), "", "");
      }
      return true;
    }
    String headers = "Attempt-Id: " + request.header("Attempt-Id") + "\r\n";
    String expected = request.header("Expect-Version");
    int served = servedVersion();
    if (!request.header("Expect-Instance").equals(id)
        || !(expected.isEmpty() || expected.equals("" + served))) {
      Http.respond(socket, 421, headers + "Instance-Id: " + id + "\r\n", "");
      return true;
    }
    listener.ran(this, request, read(request));
    Http.write(
        socket,
        "HTTP/1.1 200 X\r\n"
            + headers
            + "Server-Seal: "
            + id
            + "\r\nWeight-Versions: "
            + served
            + "\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= 3; event++) {
      Thread.sleep(20);
      String text = "id: " + event + "\ndata: " + event + "\n\n";
      Http.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
    Http.write(socket, "0\r\n\r\n");
    return true;
  }

  private synchronized int servedVersion() {
    return version;
  }

  /** Reads the prompt: uses the parts that are kept without a gap, and makes the others. */
  private synchronized List<Use> read(Http.Request request) {
    List<Use> uses = new ArrayList<>();
    boolean isKept = true;
    for (String entry : request.header("Prefix-Hash").split(",")) {
      String part = entry.split(":")[0];
      String key = request.header("Cache-Salt") + " " + part;
      isKept &= makers.containsKey(key);
      if (isKept) {
        uses.add(new Use(part, makers.get(key)));
      } else {
        makers.put(key, request.header("Tenant"));
      }
    }
    return uses;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
