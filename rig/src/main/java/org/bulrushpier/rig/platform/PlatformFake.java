package org.bulrushpier.rig.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.platform.ListedInstance;
import org.bulrushpier.platform.StoredObject;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.store.LinkFake;

/**
 * Fake platform: versioned objects with conditional updates and watches, an instance list that
 * shows changes late, and a weight store that transfers the weights of a version at a limited rate.
 *
 * <p>Faults: {@code outage} answers 503 to object requests and to reads of the instance list,
 * {@code slow-ms} delays them, {@code lose-answers} (counted) lets a write take effect and
 * withholds its response for 3 s, {@code weights-slowdown} divides the rate of the weight store.
 * Thread-safe; guarded by one lock.
 */
public final class PlatformFake {

  private static final int MAX_VALUE_BYTES = 1_000_000;
  private static final long WEIGHT_BYTES = 100_000_000;
  private static final long WEIGHT_STORE_BYTES_PER_SECOND = 250_000_000;
  private static final String OBJECTS = "/objects";
  private static final long LOST_RESPONSE_DELAY_MILLIS = 3_000;

  private final long listLagMillis;
  private final LinkFake weights = new LinkFake(WEIGHT_STORE_BYTES_PER_SECOND);
  private final Faults faults = new Faults();
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final List<ListChange> listChanges = new ArrayList<>();
  private final AtomicLong reads = new AtomicLong();
  private final AtomicLong writes = new AtomicLong();
  private long lastVersion;

  /**
   * Creates an empty platform.
   *
   * @param listLagMillis the delay until the instance list shows a change; the first list is shown
   *     immediately
   */
  public PlatformFake(long listLagMillis) {
    this.listLagMillis = listLagMillis;
  }

  private record ListChange(long visibleFromMillis, ListedInstance instance, boolean isRemoved) {}

  /** The numbers of reads and writes handled so far. */
  record Counts(long reads, long writes) {}

  /**
   * Handles a request.
   *
   * @param call the request and its response
   */
  public void handle(Call call) {
    if (faults.handle(call)) {
      return;
    }
    if (call.path().equals("/counts")) {
      call.json(200, new Counts(reads.get(), writes.get()));
      return;
    }
    if (call.path().startsWith("/weights/")) {
      weights.transfer(WEIGHT_BYTES, faults.value("weights-slowdown"));
      call.json(200, "weights");
      return;
    }
    if (call.path().equals("/instances") && call.method().equals("PUT")) {
      recordListChanges(Codec.json().read(call.body(MAX_VALUE_BYTES), ListedInstance[].class));
      call.json(200, "listed");
      return;
    }
    if (faults.value("outage") > 0) {
      call.send(503, "text/plain", new byte[0]);
      return;
    }
    faults.delay("slow-ms");
    if (call.path().equals("/instances")) {
      reads.incrementAndGet();
      call.json(200, instances());
    } else if (call.path().equals(OBJECTS)) {
      reads.incrementAndGet();
      watch(call);
    } else if (call.path().startsWith(OBJECTS + "/")) {
      object(call, call.path().substring(OBJECTS.length() + 1));
    } else {
      throw BulrushpierException.notRun(ErrorCode.NOT_FOUND, call.path());
    }
  }

  private synchronized void recordListChanges(ListedInstance[] changed) {
    long now = System.currentTimeMillis();
    boolean isFirst = listChanges.isEmpty();
    for (ListedInstance instance : changed) {
      long visibleFromMillis = isFirst ? now : now + listLagMillis;
      listChanges.add(new ListChange(visibleFromMillis, instance, instance.kind().equals("gone")));
    }
  }

  private synchronized List<ListedInstance> instances() {
    long now = System.currentTimeMillis();
    Map<String, ListedInstance> visible = new TreeMap<>();
    for (ListChange change : listChanges) {
      if (change.visibleFromMillis() <= now) {
        visible.put(change.instance().name(), change.instance());
        if (change.isRemoved()) {
          visible.remove(change.instance().name());
        }
      }
    }
    return List.copyOf(visible.values());
  }

  private void object(Call call, String key) {
    switch (call.method()) {
      case "GET" -> read(call, key);
      case "PUT" -> write(call, key);
      case "DELETE" -> delete(call, key);
      default -> throw BulrushpierException.notRun(ErrorCode.BAD_REQUEST, call.method());
    }
  }

  private void read(Call call, String key) {
    reads.incrementAndGet();
    StoredObject object;
    synchronized (this) {
      object = objects.get(key);
    }
    if (object == null) {
      call.send(404, "", new byte[0]);
      return;
    }
    call.setHeader("ETag", "\"" + object.version() + "\"");
    call.send(200, "application/octet-stream", object.value());
  }

  private void write(Call call, String key) {
    writes.incrementAndGet();
    byte[] value = call.body(MAX_VALUE_BYTES);
    long expected = expectedVersion(call);
    long version;
    synchronized (this) {
      StoredObject existing = objects.get(key);
      if ((existing == null ? 0 : existing.version()) != expected) {
        version = 0;
      } else {
        version = ++lastVersion;
        objects.put(key, new StoredObject(key, version, value));
        notifyAll();
      }
    }
    if (version > 0 && faults.consume("lose-answers")) {
      Faults.sleep(LOST_RESPONSE_DELAY_MILLIS);
    }
    sendVersion(call, version);
  }

  private void delete(Call call, String key) {
    writes.incrementAndGet();
    long expected = expectedVersion(call);
    boolean isDeleted;
    synchronized (this) {
      StoredObject existing = objects.get(key);
      isDeleted = existing != null && existing.version() == expected;
      if (isDeleted) {
        objects.remove(key);
      }
    }
    sendVersion(call, isDeleted ? expected : 0);
  }

  private static void sendVersion(Call call, long version) {
    if (version == 0) {
      call.send(412, "", new byte[0]);
      return;
    }
    call.setHeader("ETag", "\"" + version + "\"");
    call.send(200, "", new byte[0]);
  }

  private static long expectedVersion(Call call) {
    if (call.header("If-None-Match").isPresent()) {
      return 0;
    }
    return call.header("If-Match")
        .map(Long::parseLong)
        .orElseThrow(
            () -> BulrushpierException.notRun(ErrorCode.BAD_REQUEST, "If-Match: is missing"));
  }

  private void watch(Call call) {
    String prefix = call.query("prefix", "");
    long after = call.queryNumber("after", 0);
    long deadline = System.currentTimeMillis() + call.queryNumber("wait-ms", 0);
    List<StoredObject> matches;
    synchronized (this) {
      matches = changes(prefix, after);
      while (matches.isEmpty() && System.currentTimeMillis() < deadline) {
        waitUntil(deadline);
        matches = changes(prefix, after);
      }
    }
    if (after == 0) {
      matches.sort(Comparator.comparing(StoredObject::key));
    }
    call.json(200, matches);
  }

  private void waitUntil(long deadline) {
    try {
      wait(Math.max(1, deadline - System.currentTimeMillis()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<StoredObject> changes(String prefix, long after) {
    List<StoredObject> matches = new ArrayList<>();
    for (StoredObject object : objects.tailMap(prefix).values()) {
      if (!object.key().startsWith(prefix)) {
        break;
      }
      if (object.version() > after) {
        matches.add(object);
      }
    }
    matches.sort(Comparator.comparingLong(StoredObject::version));
    return matches;
  }
}
