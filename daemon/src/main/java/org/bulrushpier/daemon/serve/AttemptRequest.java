package org.bulrushpier.daemon.serve;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.CallFormat;
import org.bulrushpier.call.CallerRequest;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.daemon.net.InboundRequest;
import org.bulrushpier.placing.CachePlan;
import org.bulrushpier.placing.CachePlanner;
import org.bulrushpier.placing.CacheStoreState;
import org.bulrushpier.placing.Placement;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.site.ConfiguredRoute;
import org.bulrushpier.site.Service;
import org.bulrushpier.survival.RunCopy.Continuation;
import org.eclipse.jetty.http.HttpFields;

/**
 * What one attempt sends to its replica: the caller's request with the fields that the gateway
 * adds, for the weights that the replica serves when the attempt begins.
 *
 * <p>Guarded by the loop's lock.
 */
final class AttemptRequest {

  private final GatewayContext context;
  private final InboundRequest inbound;
  private final CallerRequest request;
  private final ConfiguredRoute route;
  private final ReplicaSelection selection;
  private final Survival survival;
  private final Optional<Continuation.GoOn> continuation;
  private final Placement.Send placement;
  private final Replica replica;
  private final Optional<PromptShape> prompt;
  private final int weightVersion;
  private final String salt;
  private final long beganMillis = MonotonicClock.millis();

  AttemptRequest(
      GatewayContext context,
      InboundRequest inbound,
      CallerRequest request,
      ConfiguredRoute route,
      ReplicaSelection selection,
      Survival survival,
      Optional<Continuation.GoOn> continuation,
      Placement.Send placement) {
    this.context = context;
    this.inbound = inbound;
    this.request = request;
    this.route = route;
    this.selection = selection;
    this.survival = survival;
    this.continuation = continuation;
    this.placement = placement;
    replica = placement.replica();
    prompt = request.prompt();
    weightVersion =
        continuation
            .map(Continuation.GoOn::weightVersion)
            .orElseGet(() -> prompt.map(p -> replica.version(p.model())).orElse(0));
    salt = prompt.isPresent() ? selection.salt(weightVersion) : "";
  }

  /** Returns the version of the weights that the request is sent for, or 0. */
  int weightVersion() {
    return weightVersion;
  }

  /** Records the request as in flight at its replica. */
  Replica.InFlightRequest begin() {
    long overdue = beganMillis + 2 * Math.max(placement.expectedMillis(), route.goalMillis());
    Replica.InFlightRequest inFlight =
        new Replica.InFlightRequest(
            selection.priority(),
            placement.cache().prefillTokens(),
            prompt.map(PromptShape::totalTokens).orElse(0),
            placement.cache().transferMillis(),
            beganMillis,
            overdue);
    replica.begin(request.id(), inFlight);
    replica.breaker().begin(beganMillis);
    return inFlight;
  }

  /**
   * Creates the header fields, orders a copy of the run, and records where the parts of the prompt
   * will be.
   *
   * @param remaining the time until the deadline, in milliseconds
   * @param lastEvent the event after which the stream resumes, or -1
   */
  HttpFields fields(long remaining, long lastEvent) {
    List<String> cacheTargets = List.of();
    if (prompt.isPresent() && continuation.isEmpty()) {
      cacheTargets =
          CachePlanner.planSaves(prompt.get(), salt, replica, selection.cacheStores(), beganMillis);
      replica.parts().add(salt, prompt.get().parts(), memoryTokens());
    }
    boolean isBounded = isFetchFromManagedStore();
    OptionalLong fetchUntil = fetchUntil(isBounded);
    return CallFormat.forwardedRequest(
        inbound.fields(),
        new CallFormat.AddedFields(
            replica.entry().id(),
            selection.customer(),
            remaining,
            lastEvent,
            prompt.isPresent() ? selection.priority() : -1,
            salt,
            weightVersion,
            isBounded && fetchUntil.isEmpty() ? List.of() : placement.cache().sources(),
            fetchUntil.orElse(-1),
            cacheTargets,
            survival.order(replica, weightVersion),
            continuation.map(c -> c.holder().entry().address().toString()).orElse("")),
        inbound.method(),
        inbound.body().length);
  }

  /**
   * Returns the time on the replicas' clock at which fetches end: before the parts may be freed, or
   * earlier if they take too long.
   *
   * @param isBounded whether the parts may be freed
   */
  private OptionalLong fetchUntil(boolean isBounded) {
    long now = MonotonicClock.millis();
    OptionalLong planned = context.replicaClock().at(beganMillis + placement.maxFetchMillis(), now);
    if (planned.isEmpty() || !isBounded) {
      return planned;
    }
    OptionalLong allowed =
        context
            .partTerms()
            .fetchUntil(prompt.map(PromptShape::model).orElse(""), weightVersion, now);
    return allowed.isPresent()
        ? OptionalLong.of(Math.min(planned.getAsLong(), allowed.getAsLong()))
        : OptionalLong.empty();
  }

  private boolean isFetchFromManagedStore() {
    Set<String> sources = new HashSet<>(placement.cache().sources());
    sources.remove(CachePlan.NONE);
    return !sources.isEmpty()
        && selection.cacheStores().stream()
            .map(CacheStoreState::store)
            .anyMatch(store -> store.isManaged() && sources.contains(store.address().toString()));
  }

  private long memoryTokens() {
    return context
        .service(selection.service())
        .map(s -> s instanceof Service.Engines engines ? engines.memoryTokens() : 0L)
        .orElse(0L);
  }

  /** Logs and counts that the request is placed at its replica. */
  void recordPlaced() {
    context
        .log()
        .event(
            "placed",
            "request",
            request.id(),
            "route",
            route.name(),
            "replica",
            replica.entry().id(),
            "uncached",
            placement.cache().prefillTokens(),
            "sharedRead",
            placement.cache().sharedPrefillTokens(),
            "fetched",
            placement.cache().fetchedTokens(),
            "expectedMs",
            placement.expectedMillis(),
            "own",
            replica.ownRequests(),
            "toldWaiting",
            replica.reportedLoad().waiting(),
            "durationFactor",
            Math.round(100 * replica.workDurationFactor(beganMillis)) / 100.0,
            "weights",
            weightVersion,
            "outdatedMs",
            outdatedMillis(),
            "copyAt",
            survival.holder());
    context
        .metrics()
        .placed(placement.cache().sharedPrefillTokens(), placement.cache().fetchedTokens());
    if (!replica.entry().domain().equals(context.settings().domain())) {
      context.metrics().crossed();
    }
  }

  /**
   * Returns whether the request must no longer wait at its engine, given its weights. A run that
   * goes on has begun before.
   */
  boolean isExpired() {
    return prompt
        .filter(p -> continuation.isEmpty())
        .map(
            p ->
                weightVersion < context.weights().target(p.model()).version()
                    && selection.weightPreference(p.model()).isExpired(weightVersion))
        .orElse(false);
  }

  /** Returns whether the engine would start the request before its weights are excluded. */
  boolean isVersionAllowed() {
    return prompt
        .filter(p -> continuation.isEmpty())
        .map(
            p ->
                selection
                    .weightPreference(p.model())
                    .allows(weightVersion, placement.expectedMillis()))
        .orElse(true);
  }

  /** Returns how long the weights that the request was sent for have been outdated, in ms. */
  long outdatedMillis() {
    return prompt
        .map(p -> selection.weightPreference(p.model()).outdatedMillis(weightVersion))
        .orElse(0L);
  }

  /** Logs and counts a generation that starts on outdated weights. */
  void logOutdatedStart(long outdatedMillis, long waitedMillis) {
    context.metrics().startedOutdated(outdatedMillis);
    context
        .log()
        .event(
            "started-outdated",
            "request",
            request.id(),
            "replica",
            replica.entry().id(),
            "weights",
            weightVersion,
            "outdatedMs",
            outdatedMillis,
            "waitedMs",
            waitedMillis);
  }
}
