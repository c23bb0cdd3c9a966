package org.bulrushpier.daemon.serve;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

  /** The models whose stored version cannot be read, so that the known one may be outdated. */
  private final Set<String> unreadable = new HashSet<>();

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
    confirm(sent);
  }

  @Override
  public void changed(List<Event> events, Moment sent, Moment changedAfter) {
    logRecovery(changedAfter);
    events.forEach(event -> accept(event.value(), "watch", changedAfter));
    confirm(sent);
  }

  /** Prolongs the time for which parts may be fetched, as all requested versions are known. */
  private void confirm(Moment proven) {
    Moment now = Moment.now();
    TargetWeights weights = context.weights();
    weights
        .models()
        .forEach(
            model ->
                context
                    .partTerms()
                    .requested(model, weights.target(model).version(), now.monotonicMillis()));
    if (unreadable.isEmpty()) {
      context.partTerms().confirmed(proven, now);
    }
  }

  private void unreadable(String name, String defect) {
    if (context.weights().models().contains(name)) {
      unreadable.add(name);
    }
    context.logChange("weights-unreadable", name, defect);
  }

  private void accept(StoreObject value, String source, Moment notBefore) {
    switch (value) {
      case ReadableObject readable -> accept(readable, source, notBefore);
      case UnreadableObject odd -> unreadable(odd.name(), odd.defect());
    }
  }

  private void accept(ReadableObject value, String source, Moment notBefore) {
    try {
      SiteFormat.RequestedWeights requested = SiteFormat.weights(value.name(), value.content());
      unreadable.remove(value.name());
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
      unreadable(value.name(), e.getMessage());
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
