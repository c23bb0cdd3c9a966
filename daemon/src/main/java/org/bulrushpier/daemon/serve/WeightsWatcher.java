package org.bulrushpier.daemon.serve;

import java.util.List;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoreObject;

/**
 * Watches the weight versions that operators request in the platform's metadata store.
 *
 * <p>Guarded by the loop's lock.
 */
final class WeightsWatcher implements StoreWatch.Listener {

  private final GatewayContext context;

  /**
   * When the last successful call was sent. A version that only a later call returns was requested
   * after this moment.
   */
  private Moment lastCallSent;

  WeightsWatcher(GatewayContext context) {
    this.context = context;
  }

  @Override
  public void listed(List<StoreObject> values, Moment sent) {
    values.forEach(value -> accept(value, lastCallSent == null ? sent : lastCallSent));
    lastCallSent = sent;
  }

  @Override
  public void changed(List<Event> events, Moment sent) {
    events.forEach(event -> accept(event.value(), sent));
    lastCallSent = sent;
  }

  private void accept(StoreObject value, Moment requestedAfter) {
    try {
      SiteFormat.RequestedWeights requested = SiteFormat.weights(value.content());
      if (context.weights().update(requested.model(), requested.version(), requestedAfter)) {
        context.logChange("weights-named", requested.model(), requested.version());
      }
    } catch (IllegalArgumentException e) {
      context.logChange("weights-unreadable", value.name(), e.getMessage());
    }
  }

  @Override
  public void failed(String detail) {
    context.log().event("store-away", "kind", StoreFormat.WEIGHTS, "detail", detail);
  }
}
