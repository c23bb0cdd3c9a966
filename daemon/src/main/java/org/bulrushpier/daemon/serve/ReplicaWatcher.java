package org.bulrushpier.daemon.serve;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.ReadableObject;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.adapter.StoreFormat.UnreadableObject;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaEntry;
import org.bulrushpier.replica.ReplicaTable.Change;

/**
 * Watches the registry entries of replicas in the platform's metadata store.
 *
 * <p>Guarded by the loop's lock.
 */
final class ReplicaWatcher implements StoreWatch.Listener {

  /** The most unusable entries of one response that are logged one by one. */
  private static final int MAX_LOGGED_ENTRIES = 20;

  private final GatewayContext context;

  /** The number of unusable entries in the current response. */
  private int unusableEntries;

  ReplicaWatcher(GatewayContext context) {
    this.context = context;
  }

  @Override
  public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
    long now = MonotonicClock.millis();
    context.replicas().markStoreAvailable(now);
    Set<String> ids = new HashSet<>();
    for (StoreObject value : values) {
      ids.add(value.name());
      put(value, changedAfter, now);
    }
    logUnusable();
    context
        .replicas()
        .retain(ids, now)
        .forEach((id, change) -> context.logChange("replica-" + change.name(), id, "not listed"));
    context.replicas().markListed();
    context.cold().registryRead(sent.monotonicMillis(), now);
  }

  @Override
  public void changed(List<Event> events, Moment sent, Moment changedAfter) {
    long now = MonotonicClock.millis();
    context.replicas().markStoreAvailable(now);
    for (Event event : events) {
      if (event.isRemoved()) {
        Change change = context.replicas().remove(event.value().name(), now);
        context.logChange("replica-" + change.name(), event.value().name(), "removed");
      } else {
        put(event.value(), changedAfter, now);
      }
    }
    logUnusable();
    context.cold().registryRead(sent.monotonicMillis(), now);
  }

  private void logUnusable() {
    if (unusableEntries > MAX_LOGGED_ENTRIES) {
      context.log().event("replicas-unreadable", "entries", unusableEntries);
    }
    unusableEntries = 0;
  }

  private void put(StoreObject value, Moment changedAfter, long nowMillis) {
    switch (value) {
      case ReadableObject readable -> {
        try {
          put(
              readable,
              SiteFormat.replica(readable.name(), readable.content()),
              changedAfter,
              nowMillis);
        } catch (IllegalArgumentException e) {
          unusable(readable, e.getMessage(), nowMillis);
        }
      }
      case UnreadableObject unreadable -> unusable(unreadable, unreadable.defect(), nowMillis);
    }
  }

  private void put(ReadableObject value, ReplicaEntry entry, Moment changedAfter, long nowMillis) {
    Replica before = context.replicas().find(entry.id());
    Map<String, Integer> weights = before == null ? Map.of() : before.entry().weightVersions();
    Change change = context.replicas().put(entry);
    if (change != Change.FOREIGN && change != Change.STALE) {
      Replica replica = context.replicas().find(entry.id());
      boolean isStarted =
          change == Change.RESTARTED || change == Change.ADDED && context.replicas().isListed();
      boolean isKnown = change != Change.ADDED && change != Change.RESTARTED;
      if (isStarted) {
        context.paces().begin(replica, "started", nowMillis);
      } else if (isKnown && !weights.equals(entry.weightVersions())) {
        context.paces().begin(replica, "new weights", nowMillis);
      }
      long maxAge =
          changedAfter.equals(Moment.DISTANT_PAST) ? -1 : changedAfter.ageMillis(Moment.now());
      context.cold().entryRead(replica, isKnown, value.revision(), maxAge, nowMillis);
    }
    if (change == Change.FOREIGN) {
      unusable(value, "born: missing", nowMillis);
    } else if (change != Change.NONE) {
      context.logChange("replica-" + change.name(), value.name(), "revision " + value.revision());
    }
  }

  /**
   * Handles an entry that names no replica to use. A replica whose entry it has replaced is used
   * again once it has renewed its entry.
   */
  private void unusable(StoreObject value, String reason, long nowMillis) {
    unusableEntries++;
    if (unusableEntries <= MAX_LOGGED_ENTRIES) {
      context.logChange("replica-unreadable", value.name(), reason);
    }
    Change change = context.replicas().remove(value.name(), nowMillis);
    if (change != Change.NONE) {
      context.logChange("replica-" + change.name(), value.name(), "unreadable entry");
    }
  }

  @Override
  public void unavailable(String detail) {
    context.replicas().markStoreUnavailable();
  }

  @Override
  public void failed(String detail) {
    context.logChange("replicas-not-read", "-", detail);
  }
}
