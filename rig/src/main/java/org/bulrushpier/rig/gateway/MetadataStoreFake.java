package org.bulrushpier.rig.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.bulrushpier.Address;
import org.bulrushpier.adapter.StoreFormat;

/**
 * Fake metadata store of the users' platform: objects by kind and name, with conditional writes,
 * lists and long-poll watches.
 *
 * <p>Faults: during an outage it answers 503; its change history can be discarded; responses to
 * writes can be dropped after the write has taken effect; reads of one kind can be left without an
 * answer; it can go back to a copy, in another era. Thread-safe; guarded by one lock.
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
  private long era = 1;
  private TreeMap<String, ObjectNode> copiedObjects = new TreeMap<>();
  private long copiedRevision;
  private long oldestRevision;
  private boolean isDown;
  private int responsesToDrop;
  private String silentKind = "";
  private long reads;

  /** A committed change of an object. */
  private record Change(long revision, String key, ObjectNode object, boolean isRemoved) {}

  private MetadataStoreFake() throws IOException {
    server = new RawHttpServer(this::handle);
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
   * Returns the listen address.
   *
   * @return the address
   */
  public Address address() {
    return server.address();
  }

  /**
   * Writes an object unconditionally, in place of an operator or a replica.
   *
   * @param kind the kind
   * @param name the name
   * @param content the object's spec as JSON
   * @throws IOException if the content is not valid JSON
   */
  public synchronized void put(String kind, String name, String content) throws IOException {
    commit(kind + "/" + name, json.readTree(content));
  }

  /**
   * Writes an object whose spec need not be valid JSON, in place of other software.
   *
   * @param kind the kind
   * @param name the name
   * @param spec the spec, which is returned as it is
   */
  public synchronized void putRaw(String kind, String name, String spec) {
    commit(kind + "/" + name, json.getNodeFactory().rawValueNode(new RawValue(spec)));
  }

  /**
   * Writes the registry entry of a replica that is ready, as {@link #register(ReplicaFake, String,
   * String)} does.
   *
   * @param replica the replica
   * @param service the name of its service
   * @throws IOException if the entry is not valid JSON
   */
  public void register(ReplicaFake replica, String service) throws IOException {
    register(replica, service, "ready");
  }

  /**
   * Writes a replica's registry entry unless it is already stored or the store is down.
   *
   * @param replica the replica
   * @param service the name of its service
   * @param state {@code ready} or {@code draining}
   * @return true, or false if the store is down
   * @throws IOException if the entry is not valid JSON
   */
  public synchronized boolean register(ReplicaFake replica, String service, String state)
      throws IOException {
    String entry = replica.entry(service, state);
    if (!isDown && !json.readTree(entry).equals(content(StoreFormat.REPLICAS, replica.id()))) {
      put(StoreFormat.REPLICAS, replica.id(), entry);
    }
    return !isDown;
  }

  /**
   * Requests a version of the weights that {@link ReplicaFake} serves, in place of an operator.
   *
   * @param version the version
   * @return true, or false if the store is down
   * @throws IOException never, as the written object is valid
   */
  public synchronized boolean requestWeights(int version) throws IOException {
    if (!isDown) {
      put(StoreFormat.WEIGHTS, "m0", "{\"model\":\"m0\",\"version\":" + version + "}");
    }
    return !isDown;
  }

  /**
   * Removes an object if it exists.
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
   * Returns an object's spec.
   *
   * @param kind the kind
   * @param name the name
   * @return the spec, or null if there is no such object
   */
  public synchronized JsonNode content(String kind, String name) {
    ObjectNode object = objects.get(kind + "/" + name);
    return object == null ? null : object.get("spec");
  }

  /**
   * Starts or ends an outage.
   *
   * @param down true to answer all calls with 503
   */
  public synchronized void setDown(boolean down) {
    isDown = down;
    notifyAll();
  }

  /** Discards the change history; watches from an earlier revision are answered 410. */
  public synchronized void discardHistory() {
    changes.clear();
    oldestRevision = revision;
    notifyAll();
  }

  /**
   * Drops the responses to the next writes after they have taken effect.
   *
   * @param count the number of responses to drop
   */
  public synchronized void dropWriteResponses(int count) {
    responsesToDrop = count;
  }

  /**
   * Leaves reads of a kind without an answer, also those that are waiting.
   *
   * @param kind the kind, or an empty text to answer all reads again
   */
  public synchronized void silenceReads(String kind) {
    silentKind = kind;
    notifyAll();
  }

  /**
   * Returns the number of lists and watches that were called since the start.
   *
   * @return the number of calls
   */
  public synchronized long reads() {
    return reads;
  }

  /** Waits until reads of a kind are answered again; returns whether they were not. */
  private synchronized boolean awaitAnswers(String kind) {
    boolean wasSilent = kind.equals(silentKind);
    while (kind.equals(silentKind)) {
      try {
        wait();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return true;
      }
    }
    return wasSilent;
  }

  private ObjectNode commit(String key, JsonNode content) {
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

  private boolean answer(Socket socket, int status, String body) throws IOException {
    return RawHttpServer.sendJson(socket, status, "Store-Era: " + era + "\r\n", body);
  }

  /** Takes a copy of all objects, to which {@link #restore} goes back. */
  public synchronized void copy() {
    copiedObjects = new TreeMap<>(objects);
    copiedRevision = revision;
  }

  /** Goes back to the copy: what was written since is lost, and its revisions are given again. */
  public synchronized void restore() {
    objects.clear();
    objects.putAll(copiedObjects);
    revision = copiedRevision;
    changes.removeIf(change -> change.revision() > copiedRevision);
    era++;
    notifyAll();
  }

  private boolean handle(RawHttpServer.Request request, Socket socket) throws IOException {
    String key = request.path().replaceFirst("^/objects/", "");
    synchronized (this) {
      reads += request.method().equals("GET") ? 1 : 0;
      if (isDown) {
        return answer(socket, UNAVAILABLE, "{}");
      }
    }
    if (request.method().equals("GET") && awaitAnswers(key)) {
      return false;
    }
    return switch (request.method()) {
      case "GET" ->
          request.query("watch", -1) >= 0
              ? watch(socket, key, request.query("watch", 0), request.query("wait_ms", 0))
              : list(socket, key);
      case "POST", "PUT" -> write(socket, request, key);
      case "DELETE" -> delete(socket, key);
      default -> answer(socket, NOT_FOUND, "{}");
    };
  }

  private boolean delete(Socket socket, String key) throws IOException {
    int slash = key.indexOf('/');
    remove(key.substring(0, slash), key.substring(slash + 1));
    return answer(socket, 200, "{}");
  }

  private synchronized boolean list(Socket socket, String kind) throws IOException {
    ObjectNode page = json.createObjectNode();
    ArrayNode items = page.putArray("items");
    objects.subMap(kind + "/", kind + "0").values().forEach(items::add);
    page.put("has_more", false).put("current_rev", revision);
    return answer(socket, 200, json.writeValueAsString(page));
  }

  private boolean watch(Socket socket, String kind, long since, long waitMillis)
      throws IOException {
    String body;
    synchronized (this) {
      long deadline = System.currentTimeMillis() + waitMillis;
      ArrayNode events = events(kind, since);
      while (events.isEmpty() && !isDown && since >= oldestRevision && since <= revision) {
        long remaining = deadline - System.currentTimeMillis();
        if (remaining <= 0) {
          break;
        }
        try {
          wait(remaining);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return false;
        }
        events = events(kind, since);
      }
      if (awaitAnswers(kind)) {
        return false;
      }
      if (isDown) {
        return answer(socket, UNAVAILABLE, "{}");
      }
      if (since < oldestRevision || since > revision) {
        return answer(socket, GONE, "{}");
      }
      ObjectNode result = json.createObjectNode();
      result.set("events", events);
      result.put("current_rev", revision);
      body = json.writeValueAsString(result);
    }
    return answer(socket, 200, body);
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
    ObjectNode existing = objects.get(key);
    long expectedRevision = body.at("/metadata/revision").asLong(0);
    boolean isConflict =
        request.method().equals("POST")
            ? existing != null
            : existing == null || expectedRevision != existing.at("/metadata/revision").asLong();
    if (isConflict) {
      return answer(socket, CONFLICT, json.writeValueAsString(existing));
    }
    ObjectNode stored = commit(key, body.get("spec"));
    if (responsesToDrop > 0) {
      responsesToDrop--;
      return false;
    }
    return answer(socket, 200, json.writeValueAsString(stored));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
