package org.bulrushpier.daemon.serve;

import java.util.List;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoredValue;

/**
 * Follows the weights that operators name in the platform's store.
 *
 * <p>Confined to the loop's lock.
 */
final class WeightsFollower implements StoreWatch.Listener {

  private final Tables tables;

  /** A call that ended well; what a later one shows was named after it was sent. */
  private Moment proof;

  WeightsFollower(Tables tables) {
    this.tables = tables;
  }

  @Override
  public void listed(List<StoredValue> values, Moment sent) {
    values.forEach(value -> accept(value, proof == null ? sent : proof));
    proof = sent;
  }

  @Override
  public void changed(List<Event> events, Moment sent) {
    events.forEach(event -> accept(event.value(), sent));
    proof = sent;
  }

  private void accept(StoredValue value, Moment since) {
    try {
      SiteFormat.TargetWeights named = SiteFormat.weights(value.content());
      if (tables.weights().update(named.model(), named.version(), since)) {
        tables.belief("weights-named", named.model(), named.version());
      }
    } catch (IllegalArgumentException e) {
      tables.belief("weights-unreadable", value.name(), e.getMessage());
    }
  }

  @Override
  public void away(String detail) {
    tables.log().event("store-away", "kind", StoreFormat.WEIGHTS, "detail", detail);
  }
}
