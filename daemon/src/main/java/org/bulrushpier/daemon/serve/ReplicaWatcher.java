package org.bulrushpier.daemon.serve;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.ReadableObject;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.adapter.StoreFormat.UnreadableObject;
import org.bulrushpier.replica.ReplicaTable.Change;

/**
 * Watches the registry entries of replicas in the platform's metadata store.
 *
 * <p>Guarded by the loop's lock.
 */
final class ReplicaWatcher implements StoreWatch.Listener {

  private final GatewayContext context;

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
      put(value);
    }
    context
        .replicas()
        .retain(ids, now)
        .forEach((id, change) -> context.logChange("replica-" + change.name(), id, "not listed"));
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
        put(event.value());
      }
    }
  }

  private void put(StoreObject value) {
    switch (value) {
      case ReadableObject readable -> put(readable);
      case UnreadableObject unreadable ->
          context.logChange("replica-unreadable", unreadable.name(), unreadable.defect());
    }
  }

  private void put(ReadableObject value) {
    try {
      Change change = context.replicas().put(SiteFormat.replica(value.name(), value.content()));
      if (change != Change.NONE) {
        context.logChange("replica-" + change.name(), value.name(), "revision " + value.revision());
      }
    } catch (IllegalArgumentException e) {
      context.logChange("replica-unreadable", value.name(), e.getMessage());
    }
  }

  @Override
  public void failed(String detail) {
    context.replicas().markStoreUnavailable();
  }
}
