package org.bulrushpier.daemon.serve;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoredValue;
import org.bulrushpier.replica.ReplicaTable.Change;

/**
 * Follows the replicas' entries in the platform's store.
 *
 * <p>Confined to the loop's lock.
 */
final class ReplicaFollower implements StoreWatch.Listener {

  private final Tables tables;

  ReplicaFollower(Tables tables) {
    this.tables = tables;
  }

  @Override
  public void listed(List<StoredValue> values, Moment sent) {
    long now = MonotonicClock.millis();
    tables.replicas().storeBack(now);
    Set<String> ids = new HashSet<>();
    for (StoredValue value : values) {
      ids.add(value.name());
      put(value);
    }
    tables
        .replicas()
        .retain(ids, now)
        .forEach((id, change) -> tables.belief("replica-" + change.name(), id, "not listed"));
  }

  @Override
  public void changed(List<Event> events, Moment sent) {
    long now = MonotonicClock.millis();
    tables.replicas().storeBack(now);
    for (Event event : events) {
      if (event.isRemoved()) {
        Change change = tables.replicas().remove(event.value().name(), now);
        tables.belief("replica-" + change.name(), event.value().name(), "removed");
      } else {
        put(event.value());
      }
    }
  }

  private void put(StoredValue value) {
    try {
      Change change = tables.replicas().put(SiteFormat.replica(value.name(), value.content()));
      if (change != Change.NONE) {
        tables.belief("replica-" + change.name(), value.name(), "revision " + value.revision());
      }
    } catch (IllegalArgumentException e) {
      tables.belief("replica-unreadable", value.name(), e.getMessage());
    }
  }

  @Override
  public void away(String detail) {
    tables.replicas().storeAway();
  }
}
