package org.bulrushpier.daemon.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.ReadableObject;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.adapter.StoreFormat.UnreadableObject;
import org.bulrushpier.rollout.RequestInterval;
import org.bulrushpier.rollout.TargetWeights;

/**
 * Watches the weight versions that operators request in the platform's metadata store.
 *
 * <p>Guarded by the loop's lock.
 */
final class WeightsWatcher implements StoreWatch.Listener {

  private final GatewayContext context;

  /** The newest version of each model that the store has returned. */
  private final Map<String, Integer> newest = new HashMap<>();

  private boolean isUnavailable;

  WeightsWatcher(GatewayContext context) {
    this.context = context;
  }

  @Override
  public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
    logRecovery(changedAfter);
    String source = context.weights().isListed() ? "list" : "first list";
    values.forEach(value -> accept(value, source, changedAfter));
    context.weights().markListed();
  }

  @Override
  public void changed(List<Event> events, Moment sent, Moment changedAfter) {
    logRecovery(changedAfter);
    events.forEach(event -> accept(event.value(), "watch", changedAfter));
  }

  private void accept(StoreObject value, String source, Moment notBefore) {
    switch (value) {
      case ReadableObject readable -> accept(readable, source, notBefore);
      case UnreadableObject unreadable ->
          context.logChange("weights-unreadable", unreadable.name(), unreadable.defect());
    }
  }

  private void accept(ReadableObject value, String source, Moment notBefore) {
    try {
      SiteFormat.RequestedWeights requested = SiteFormat.weights(value.name(), value.content());
      RequestInterval interval = new RequestInterval(notBefore, Moment.now());
      if (isNew(requested)) {
        TargetWeights weights = context.weights();
        if (!weights.update(requested.model(), requested.version(), interval)) {
          weights.refine(requested.model(), requested.version(), interval, interval.notAfter());
        }
        context
            .log()
            .event(
                "weights-named",
                "id",
                requested.model(),
                "detail",
                requested.version(),
                "source",
                source,
                "maxAgeMs",
                interval.isDated() ? notBefore.ageMillis(interval.notAfter()) : -1);
      }
    } catch (IllegalArgumentException e) {
      context.logChange("weights-unreadable", value.name(), e.getMessage());
    }
  }

  private boolean isNew(SiteFormat.RequestedWeights requested) {
    int before = newest.getOrDefault(requested.model(), 0);
    newest.merge(requested.model(), requested.version(), Math::max);
    return requested.version() > before;
  }

  private void logRecovery(Moment lastCurrent) {
    if (isUnavailable) {
      isUnavailable = false;
      context
          .log()
          .event(
              "store-back",
              "kind",
              StoreFormat.WEIGHTS,
              "lastAnsweredMs",
              context.weights().isListed() ? lastCurrent.ageMillis(Moment.now()) : -1);
    }
  }

  @Override
  public void failed(String detail) {
    context.log().event("store-response-unread", "kind", StoreFormat.WEIGHTS, "detail", detail);
  }

  @Override
  public void unavailable(String detail) {
    if (!isUnavailable) {
      isUnavailable = true;
      context.log().event("store-away", "kind", StoreFormat.WEIGHTS, "detail", detail);
    }
  }
}
