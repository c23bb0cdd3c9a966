import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The platform's metadata store: lists, watches, and conditional writes. It is linearizable, loses
 * nothing and answers every call, except on connections that have gone silent.
 */
final class Store implements Closeable {
  static final ObjectMapper JSON = new ObjectMapper();

  private record Change(long revision, String key, ObjectNode object, boolean isRemoved) {}

  private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Http.Server server = new Http.Server(this::handle);
  private long revision = 100;
  private final Map<Socket, Long> lastRequestMillis = new HashMap<>();
  private final Set<Socket> silent = new HashSet<>();
  private long watchesOfReplicas;

  Store() throws IOException {}

  String address() {
    return server.address();
  }

  /** Waits until the next watch of the replicas' entries has begun. */
  synchronized void awaitWatchOfReplicas() throws InterruptedException {
    long before = watchesOfReplicas;
    while (watchesOfReplicas == before) {
      wait();
    }
  }

  /**
   * Makes the open connections silent for good, while new ones work. Each is reset once the caller's
   * keep-alive would have shown that it is dead.
   */
  synchronized void silenceOpenConnections(long keepAliveMillis) {
    long now = millis();
    lastRequestMillis.forEach(
        (socket, last) -> {
          if (!socket.isClosed() && silent.add(socket)) {
            Thread.ofVirtual().start(() -> resetLater(socket, last + keepAliveMillis - now));
          }
        });
  }

  private static void resetLater(Socket socket, long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException | InterruptedException e) {
      // The caller has closed the connection before.
    }
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  private synchronized boolean isSilent(Socket socket) {
    return silent.contains(socket);
  }

  /** Writes an object, as the operator or a replica does; its acknowledgement is the return. */
  synchronized void put(String kind, String name, String spec) {
    try {
      commit(kind + "/" + name, JSON.readTree(spec));
    } catch (IOException e) {
      throw new IllegalArgumentException(spec, e);
    }
  }

  synchronized void remove(String kind, String name) {
    ObjectNode removed = objects.remove(kind + "/" + name);
    if (removed != null) {
      changes.add(new Change(++revision, kind + "/" + name, removed, true));
      notifyAll();
    }
  }

  private ObjectNode commit(String key, JsonNode spec) {
    ObjectNode before = objects.get(key);
    if (before != null && before.get("spec").equals(spec)) {
      return before;
    }
    ObjectNode object = JSON.createObjectNode();
    object
        .putObject("metadata")
        .put("name", key.substring(key.indexOf('/') + 1))
        .put("revision", ++revision)
        .put("created_rev", before == null ? revision : before.at("/metadata/created_rev").asLong());
    object.set("spec", spec);
    objects.put(key, object);
    changes.add(new Change(revision, key, object, false));
    notifyAll();
    return object;
  }

  private boolean handle(Http.Request request, Socket socket) throws Exception {
    synchronized (this) {
      lastRequestMillis.put(socket, millis());
    }
    if (isSilent(socket)) {
      return true;
    }
    String key = request.path().substring("/objects/".length());
    switch (request.method()) {
      case "GET" -> {
        if (request.query("watch", "").isEmpty()) {
          json(socket, 200, list(key));
          return true;
        }
        long since = Long.parseLong(request.query("watch", "0"));
        ObjectNode result = watch(key, since, Long.parseLong(request.query("wait_ms", "0")));
        if (!isSilent(socket)) {
          json(socket, 200, result);
        }
      }
      case "POST", "PUT" -> write(socket, request, key);
      case "DELETE" -> {
        remove(key.substring(0, key.indexOf('/')), key.substring(key.indexOf('/') + 1));
        json(socket, 200, JSON.createObjectNode());
      }
      default -> json(socket, 404, JSON.createObjectNode());
    }
    return true;
  }

  private synchronized ObjectNode list(String kind) {
    ObjectNode page = JSON.createObjectNode();
    ArrayNode items = page.putArray("items");
    objects.subMap(kind + "/", kind + "0").values().forEach(items::add);
    return page.put("has_more", false).put("current_rev", revision);
  }

  private synchronized ObjectNode watch(String kind, long since, long waitMillis)
      throws InterruptedException {
    if (kind.equals("servers")) {
      watchesOfReplicas++;
      notifyAll();
    }
    long end = millis() + waitMillis;
    ArrayNode events = events(kind, since);
    while (events.isEmpty() && millis() < end) {
      wait(Math.max(1, end - millis()));
      events = events(kind, since);
    }
    ObjectNode result = JSON.createObjectNode();
    result.set("events", events);
    return result.put("current_rev", revision);
  }

  private ArrayNode events(String kind, long since) {
    ArrayNode events = JSON.createArrayNode();
    for (Change change : changes) {
      if (change.revision() > since && change.key().startsWith(kind + "/")) {
        events.addObject().put("removed", change.isRemoved()).set("object", change.object());
      }
    }
    return events;
  }

  private synchronized void write(Socket socket, Http.Request request, String path)
      throws IOException {
    JsonNode body = JSON.readTree(request.body());
    boolean isCreation = request.method().equals("POST");
    String key = isCreation ? path + "/" + body.at("/metadata/name").asText() : path;
    ObjectNode existing = objects.get(key);
    if (!isCreation && existing == null) {
      json(socket, 404, JSON.createObjectNode());
      return;
    }
    JsonNode expected = body.at("/metadata/revision");
    boolean isConflict =
        isCreation
            ? existing != null
            : !expected.isMissingNode()
                && expected.asLong() != existing.at("/metadata/revision").asLong();
    if (isConflict) {
      json(socket, 409, existing);
    } else {
      json(socket, 200, commit(key, body.get("spec")));
    }
  }

  private static void json(Socket socket, int status, JsonNode body) throws IOException {
    Http.respond(socket, status, "Content-Type: application/json\r\n", body.toString());
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
