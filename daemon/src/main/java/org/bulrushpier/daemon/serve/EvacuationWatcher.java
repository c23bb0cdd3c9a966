package org.bulrushpier.daemon.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.site.Evacuations.Change;

/**
 * Watches the evacuations of failure domains that operators ask for in the platform's metadata
 * store.
 *
 * <p>An object stands for an evacuation as long as it exists: its name is the domain, and its
 * content says nothing. Guarded by the loop's lock.
 */
final class EvacuationWatcher implements StoreWatch.Listener {

  private static final String WITHOUT_NAME = "-";

  private final GatewayContext context;
  private boolean isUnavailable;

  private EvacuationWatcher(GatewayContext context) {
    this.context = context;
  }

  /** Creates the watcher; from now on evacuations must be known before requests are sent. */
  static EvacuationWatcher of(GatewayContext context) {
    context.evacuations().markWatched();
    context
        .metrics()
        .gauge(
            "bulrushpier.domains.evacuated",
            "Failure domains whose replicas get no requests",
            () -> context.evacuations().domains().size());
    context
        .metrics()
        .gauge(
            "bulrushpier.evacuated.requests.running",
            "Requests of this instance at replicas of evacuated failure domains",
            () -> requestsAt(context, context.evacuations().domains()));
    return new EvacuationWatcher(context);
  }

  private static int requestsAt(GatewayContext context, Set<String> domains) {
    return context.replicas().all().stream()
        .filter(replica -> domains.contains(replica.entry().domain()))
        .mapToInt(Replica::ownRequests)
        .sum();
  }

  @Override
  public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
    logRecovery();
    Map<String, Long> listed = new HashMap<>();
    values.forEach(value -> domain(value).ifPresent(d -> listed.put(d, value.revision())));
    boolean isFirst = !context.evacuations().areKnown();
    Map<String, Change> changes = context.evacuations().list(listed);
    changes.forEach(
        (domain, change) ->
            log(domain, change, listed.getOrDefault(domain, 0L), "list", changedAfter));
    if (isFirst) {
      context.log().event("evacuations-known", "domains", listed.keySet());
    }
  }

  @Override
  public void changed(List<Event> events, Moment sent, Moment changedAfter) {
    logRecovery();
    for (Event event : events) {
      Optional<String> domain = domain(event.value());
      if (domain.isPresent()) {
        long revision = event.value().revision();
        Change change =
            event.isRemoved()
                ? context.evacuations().withdraw(domain.get())
                : context.evacuations().evacuate(domain.get(), revision);
        log(domain.get(), change, revision, "watch", changedAfter);
      }
    }
  }

  /** Returns the domain that an object names, and reports an object that is not as expected. */
  private Optional<String> domain(StoreObject value) {
    Optional<String> domain =
        SiteFormat.evacuatedDomain(
            value,
            finding ->
                context.logChange(
                    "evacuation-finding",
                    value.name().isEmpty() ? WITHOUT_NAME : value.name(),
                    finding));
    Set<String> known = context.settings().domainRegions().keySet();
    domain
        .filter(name -> !known.isEmpty() && !known.contains(name))
        .ifPresent(
            name ->
                context.logChange("evacuation-finding", name, "names no domain of the settings"));
    return domain;
  }

  private void log(
      String domain, Change change, long revision, String source, Moment changedAfter) {
    if (change == Change.NONE) {
      return;
    }
    if (change == Change.WITHDRAWN) {
      context.paces().beginDomain(domain, "evacuation withdrawn", MonotonicClock.millis());
    }
    long maxAge =
        changedAfter.equals(Moment.DISTANT_PAST) ? -1 : changedAfter.ageMillis(Moment.now());
    context
        .log()
        .event(
            "evacuation-" + change.name().toLowerCase(Locale.ROOT),
            "domain",
            domain,
            "revision",
            revision,
            "source",
            source,
            "maxAgeMs",
            maxAge,
            "running",
            requestsAt(context, Set.of(domain)));
  }

  private void logRecovery() {
    if (isUnavailable) {
      isUnavailable = false;
      context.log().event("store-back", "kind", StoreFormat.EVACUATIONS);
    }
  }

  @Override
  public void failed(String detail) {
    context.log().event("store-response-unread", "kind", StoreFormat.EVACUATIONS, "detail", detail);
  }

  @Override
  public void unavailable(String detail) {
    if (!isUnavailable) {
      isUnavailable = true;
      context
          .log()
          .event(
              "store-away",
              "kind",
              StoreFormat.EVACUATIONS,
              "detail",
              detail,
              "inForce",
              context.evacuations().domains());
    }
  }
}
