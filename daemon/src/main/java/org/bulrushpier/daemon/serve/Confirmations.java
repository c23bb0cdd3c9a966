package org.bulrushpier.daemon.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoreObject;

/**
 * When what is known of each kind of object in the store was last confirmed to be the newest.
 *
 * <p>Invariant: ages are never understated. Guarded by the loop's lock.
 */
final class Confirmations {

  private final Map<String, Moment> confirmedAt = new HashMap<>();

  /**
   * Returns a listener that passes everything on, and records each confirmation once what it
   * confirms has been applied.
   *
   * @param kind the kind of the objects
   * @param listener the listener that applies them
   */
  StoreWatch.Listener recording(String kind, StoreWatch.Listener listener) {
    return new StoreWatch.Listener() {
      @Override
      public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
        listener.listed(values, sent, changedAfter);
        confirm(kind, sent);
      }

      @Override
      public void changed(List<Event> events, Moment proven, Moment changedAfter) {
        listener.changed(events, proven, changedAfter);
        confirm(kind, proven);
      }

      @Override
      public void unavailable(String detail) {
        listener.unavailable(detail);
      }

      @Override
      public void failed(String detail) {
        listener.failed(detail);
      }
    };
  }

  private void confirm(String kind, Moment moment) {
    confirmedAt.merge(
        kind,
        moment,
        (before, at) -> at.monotonicMillis() > before.monotonicMillis() ? at : before);
  }

  /**
   * Returns the time since the last confirmation.
   *
   * @param kind the kind of the objects
   * @param now the current moment
   * @return the age in milliseconds, or empty if nothing is known
   */
  OptionalLong ageMillis(String kind, Moment now) {
    Moment at = confirmedAt.get(kind);
    return at == null ? OptionalLong.empty() : OptionalLong.of(at.ageMillis(now));
  }
}
