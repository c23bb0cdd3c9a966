package org.bulrushpier.rig.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.bulrushpier.Address;

/**
 * The platform's metadata store: objects by kind and name, conditional writes, lists and watches.
 *
 * <p>Faults: while it is down, calls are answered 503; its history can be dropped; answers to
 * writes can be lost after the write took effect. Thread-safe; one lock.
 */
public final class MetadataStoreFake implements Closeable {

  private static final int UNAVAILABLE = 503;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int NOT_FOUND = 404;

  private final ObjectMapper json = new ObjectMapper();
  private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final RawHttpServer server;
  private long revision = 1;
  private long oldestRevision;
  private boolean isDown;
  private int answersToLose;

  /** A change of an object. */
  private record Change(long revision, String key, ObjectNode object, boolean isRemoved) {}

  private MetadataStoreFake() throws IOException {
    server = new RawHttpServer(this::answer);
  }

  /**
   * Starts an empty store on a free port.
   *
   * @return the store
   * @throws IOException if no port is free
   */
  public static MetadataStoreFake start() throws IOException {
    return new MetadataStoreFake();
  }

  /**
   * Returns where it listens.
   *
   * @return the address
   */
  public Address address() {
    return server.address();
  }

  /**
   * Writes an object as an operator or a replica does.
   *
   * @param kind the kind
   * @param name the name
   * @param content what it holds, as JSON
   * @throws IOException if the text is no JSON
   */
  public synchronized void put(String kind, String name, String content) throws IOException {
    store(kind + "/" + name, json.readTree(content));
  }

  /**
   * Removes an object.
   *
   * @param kind the kind
   * @param name the name
   */
  public synchronized void remove(String kind, String name) {
    ObjectNode removed = objects.remove(kind + "/" + name);
    if (removed != null) {
      changes.add(new Change(++revision, kind + "/" + name, removed, true));
      notifyAll();
    }
  }

  /**
   * Reads an object's content.
   *
   * @param kind the kind
   * @param name the name
   * @return the content, or null
   */
  public synchronized JsonNode content(String kind, String name) {
    ObjectNode object = objects.get(kind + "/" + name);
    return object == null ? null : object.get("spec");
  }

  /**
   * Begins or ends an outage.
   *
   * @param down true to answer 503
   */
  public synchronized void setDown(boolean down) {
    isDown = down;
    notifyAll();
  }

  /** Forgets all changes so far; watches from before get 410. */
  public synchronized void dropHistory() {
    changes.clear();
    oldestRevision = revision;
    notifyAll();
  }

  /**
   * Loses the answers of writes.
   *
   * @param count how many
   */
  public synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  private ObjectNode store(String key, JsonNode content) {
    ObjectNode object = json.createObjectNode();
    object
        .putObject("metadata")
        .put("name", key.substring(key.indexOf('/') + 1))
        .put("revision", ++revision);
    object.set("spec", content);
    objects.put(key, object);
    changes.add(new Change(revision, key, object, false));
    notifyAll();
    return object;
  }

  private boolean answer(RawHttpServer.Request request, Socket socket) throws IOException {
    String key = request.path().replaceFirst("^/objects/", "");
    synchronized (this) {
      if (isDown) {
        return RawHttpServer.json(socket, UNAVAILABLE, "{}");
      }
    }
    return switch (request.method()) {
      case "GET" ->
          request.query("watch", -1) >= 0
              ? watch(socket, key, request.query("watch", 0), request.query("wait_ms", 0))
              : list(socket, key);
      case "POST", "PUT" -> write(socket, request, key);
      default -> RawHttpServer.json(socket, NOT_FOUND, "{}");
    };
  }

  private synchronized boolean list(Socket socket, String kind) throws IOException {
    ObjectNode page = json.createObjectNode();
    ArrayNode items = page.putArray("items");
    objects.subMap(kind + "/", kind + "0").values().forEach(items::add);
    page.put("has_more", false).put("current_rev", revision);
    return RawHttpServer.json(socket, 200, json.writeValueAsString(page));
  }

  private boolean watch(Socket socket, String kind, long since, long waitMillis)
      throws IOException {
    String body;
    synchronized (this) {
      long end = System.currentTimeMillis() + waitMillis;
      ArrayNode events = events(kind, since);
      while (events.isEmpty() && !isDown && since >= oldestRevision) {
        long left = end - System.currentTimeMillis();
        if (left <= 0) {
          break;
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return false;
        }
        events = events(kind, since);
      }
      if (isDown) {
        return RawHttpServer.json(socket, UNAVAILABLE, "{}");
      }
      if (since < oldestRevision) {
        return RawHttpServer.json(socket, GONE, "{}");
      }
      ObjectNode result = json.createObjectNode();
      result.set("events", events);
      result.put("current_rev", revision);
      body = json.writeValueAsString(result);
    }
    return RawHttpServer.json(socket, 200, body);
  }

  private ArrayNode events(String kind, long since) {
    ArrayNode events = json.createArrayNode();
    for (Change change : changes) {
      if (change.revision() > since && change.key().startsWith(kind + "/")) {
        events.addObject().put("removed", change.isRemoved()).set("object", change.object());
      }
    }
    return events;
  }

  private synchronized boolean write(Socket socket, RawHttpServer.Request request, String path)
      throws IOException {
    JsonNode body = json.readTree(request.body());
    String key =
        request.method().equals("POST") ? path + "/" + body.at("/metadata/name").asText() : path;
    ObjectNode present = objects.get(key);
    long wanted = body.at("/metadata/revision").asLong(0);
    boolean isConflict =
        request.method().equals("POST")
            ? present != null
            : present == null || wanted != present.at("/metadata/revision").asLong();
    if (isConflict) {
      return RawHttpServer.json(socket, CONFLICT, json.writeValueAsString(present));
    }
    ObjectNode stored = store(key, body.get("spec"));
    if (answersToLose > 0) {
      answersToLose--;
      return false;
    }
    return RawHttpServer.json(socket, 200, json.writeValueAsString(stored));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
