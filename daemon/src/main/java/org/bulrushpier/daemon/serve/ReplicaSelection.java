package org.bulrushpier.daemon.serve;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.placing.CacheSalt;
import org.bulrushpier.placing.CacheStoreState;
import org.bulrushpier.placing.Candidates;
import org.bulrushpier.placing.EngineEstimate;
import org.bulrushpier.placing.Placement;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.WeightPreference;
import org.bulrushpier.site.CacheNamespaces;
import org.bulrushpier.site.Configuration;
import org.bulrushpier.site.ConfiguredRoute;
import org.bulrushpier.site.Homes;
import org.bulrushpier.site.KeyHolder;
import org.bulrushpier.site.KnownConfiguration;
import org.bulrushpier.site.Service;
import org.bulrushpier.survival.CopyPlacement;

/**
 * Selects a replica for one request.
 *
 * <p>Guarded by the loop's lock.
 */
final class ReplicaSelection {

  /** The lowest priority that engines distinguish; configured ones beyond it are equal to it. */
  private static final int MAX_PRIORITY = 9;

  /** Retry delay for callers while the requested weights are not known, in milliseconds. */
  private static final long UNCONFIGURED_RETRY_MILLIS = 300;

  /** The wait of a request while others that come first wait. */
  static final Placement.Wait BEHIND_OTHERS =
      new Placement.Wait("other requests wait for an engine");

  private final GatewayContext context;
  private final Optional<PromptShape> prompt;
  private final ConfiguredRoute route;
  private final KeyHolder holder;
  private final String service;

  /** The regions in which the request may run. */
  private final Homes homes;

  /** Whether this request has been counted among those kept from evacuated domains. */
  private boolean isCountedAsKept;

  /** Whether this request has been counted among those kept from cold replicas. */
  private boolean isCountedAsKeptFromCold;

  ReplicaSelection(
      GatewayContext context,
      Optional<PromptShape> prompt,
      ConfiguredRoute route,
      KeyHolder holder,
      String service) {
    this.context = context;
    this.prompt = prompt;
    this.route = route;
    this.holder = holder;
    this.service = service;
    homes = route.homes().and(holder.homes());
  }

  /** Returns the name of the service whose replicas are selected. */
  String service() {
    return service;
  }

  /** Returns the name of the customer that sent the request, or empty. */
  String customer() {
    return holder.customer();
  }

  /** Returns the priority of the request, 0 being the most urgent. */
  int priority() {
    return Math.clamp(holder.effectivePriority(route), 0, MAX_PRIORITY);
  }

  /** Returns the latency objective of the request, in milliseconds. */
  long goalMillis() {
    return route.goalMillis();
  }

  /** Returns the regions in which the request may run. */
  Homes homes() {
    return homes;
  }

  /**
   * Returns the refusal of a request that would wait in vain, as operators let no replica take it
   * or what they ask is not known.
   *
   * @param now the current monotonic time, in milliseconds
   * @return the refusal, or empty if a replica may take the request now or soon
   */
  Optional<Placement.Refuse> refusal(long now) {
    Candidates candidates = candidates(now);
    countEvacuated(candidates);
    return refusal(candidates);
  }

  private Optional<Placement.Refuse> refusal(Candidates candidates) {
    return context.evacuations().areKnown()
        ? candidates.refusal()
        : Optional.of(
            new Placement.Refuse("the evacuations are not known yet", UNCONFIGURED_RETRY_MILLIS));
  }

  /** Returns the ids of the replicas that may take the request now or once they have a seat. */
  Set<String> replicas(Set<String> excluded) {
    Candidates candidates = candidates(MonotonicClock.millis());
    return Stream.of(candidates.usable(), candidates.starting(), candidates.cold())
        .flatMap(List::stream)
        .map(replica -> replica.entry().id())
        .filter(id -> !excluded.contains(id))
        .collect(Collectors.toSet());
  }

  /**
   * Selects a replica for a request that others precede.
   *
   * @param excluded the ids of replicas that must not be selected
   * @param reserved the ids of replicas for which the others wait
   * @param remaining the time until the deadline, in milliseconds
   * @param now the current monotonic time, in milliseconds
   */
  Placement choose(Set<String> excluded, Set<String> reserved, long remaining, long now) {
    if (reserved.isEmpty()) {
      return choose(excluded, remaining, now);
    }
    Optional<Placement.Refuse> refusal = refusal(now);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    Set<String> all = new HashSet<>(excluded);
    all.addAll(reserved);
    return choose(all, remaining, now) instanceof Placement.Send send ? send : BEHIND_OTHERS;
  }

  /**
   * Selects a replica.
   *
   * @param excluded the ids of replicas that must not be selected
   * @param remaining the time until the deadline, in milliseconds
   * @param now the current monotonic time, in milliseconds
   */
  Placement choose(Set<String> excluded, long remaining, long now) {
    Candidates candidates = candidates(now);
    count(candidates);
    Optional<Service> target = target();
    return decide(
        candidates, replicas -> place(target, replicas, excluded, remaining, now), excluded, now);
  }

  /**
   * Returns where the request would go now. Nothing is counted or remembered, as it is not sent.
   *
   * @param remaining the time until the deadline, in milliseconds
   * @param now the current monotonic time, in milliseconds
   */
  Placement preview(long remaining, long now) {
    Optional<Service> target = target();
    return decide(
        candidates(now),
        replicas ->
            target.isPresent() && target.get() instanceof Service.Engines && prompt.isPresent()
                ? previewOnEngine(replicas, remaining, now)
                : place(target, replicas, Set.of(), remaining, now),
        Set.of(),
        now);
  }

  private Placement previewOnEngine(List<Replica> replicas, long remaining, long now) {
    return unknownWeights()
        .orElseGet(
            () ->
                context
                    .enginePlacement()
                    .decide(
                        estimates(replicas, now).stream()
                            .filter(EngineEstimate::isVersionAllowed)
                            .findFirst(),
                        route.goalMillis(),
                        remaining));
  }

  /**
   * Returns the predictions for a request with a prompt at engines, the best ones first; none if
   * the service has no engines.
   */
  List<EngineEstimate> estimates(List<Replica> replicas, long now) {
    return prompt.isPresent() && target().orElse(null) instanceof Service.Engines engines
        ? context
            .enginePlacement()
            .estimates(
                prompt.get(),
                this::salt,
                engines,
                replicas,
                weightPreference(prompt.get().model()),
                cacheStores(),
                priority(),
                now)
        : List.of();
  }

  /** Decides among the candidates, by a function that places the request on some of them. */
  private Placement decide(
      Candidates candidates,
      Function<List<Replica>, Placement> placing,
      Set<String> excluded,
      long now) {
    Optional<Placement.Refuse> refusal = refusal(candidates);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    List<Replica> usable = candidates.usable();
    if (usable.isEmpty() && !candidates.isAnyLimited()) {
      OptionalLong deferral = candidates.deferralMillis(now);
      if (deferral.isPresent()) {
        return new Placement.Refuse(
            "all replicas want no requests for " + deferral.getAsLong() + " ms",
            deferral.getAsLong());
      }
    }
    Placement placement = placing.apply(usable);
    if (!(placement instanceof Placement.Send) && !candidates.starting().isEmpty()) {
      placement = placing.apply(candidates.usableOrStarting());
    }
    return candidates.orWait(placement, excluded);
  }

  private Placement place(
      Optional<Service> target,
      List<Replica> replicas,
      Set<String> excluded,
      long remaining,
      long now) {
    return target.isPresent() && target.get() instanceof Service.Engines engines
        ? placeOnEngine(engines, replicas, excluded, remaining, now)
        : context.plainPlacement().choose(replicas, excluded, now);
  }

  private Candidates candidates(long now) {
    return Candidates.of(
        context.replicas().replicasOf(service), replica -> exclusion(replica, now));
  }

  private void count(Candidates candidates) {
    countEvacuated(candidates);
    if (candidates.isAnyLimited()) {
      context.metrics().withheldFromStarted();
    }
    if (!candidates.cold().isEmpty() && !isCountedAsKeptFromCold) {
      isCountedAsKeptFromCold = true;
      context.metrics().keptFromCold();
    }
  }

  private void countEvacuated(Candidates candidates) {
    if (candidates.isAnyEvacuated() && context.evacuations().areKnown() && !isCountedAsKept) {
      isCountedAsKept = true;
      context.metrics().keptFromEvacuated();
    }
  }

  /**
   * Returns the first reason for which a replica may not get the request now.
   *
   * @param replica the replica
   * @param now the current monotonic time, in milliseconds
   * @return the reason, or empty if it may get the request
   */
  Optional<Exclusion> exclusion(Replica replica, long now) {
    return replica.isLeaving() || isHome(replica.entry().domain())
        ? context.exclusion(replica, now)
        : Optional.of(Exclusion.OUTSIDE_HOMES);
  }

  private boolean isHome(String domain) {
    return homes.isEverywhere()
        || homes.allows(Optional.ofNullable(context.settings().domainRegions().get(domain)));
  }

  /** Returns the stores to and from which parts of the request's prompt may be moved. */
  Collection<CacheStoreState> cacheStores() {
    return homes.isEverywhere()
        ? context.cacheStores()
        : context.cacheStores().stream().filter(s -> isHome(s.store().domain())).toList();
  }

  /** Returns whether a request that was placed at a replica must not be sent to it any more. */
  boolean isWithdrawn(Replica replica, long now) {
    return exclusion(replica, now).filter(Exclusion::isWithdrawal).isPresent();
  }

  private Optional<Service> target() {
    return context.service(service);
  }

  /**
   * Selects the replica that receives a copy of a run.
   *
   * @param run the replica that executes the run
   * @param excluded the ids of replicas that must not be selected
   * @param now the current monotonic time, in milliseconds
   * @return the replica or why there is none, or empty if there are no copies on the route or the
   *     service
   */
  Optional<CopyPlacement.Choice> chooseCopyHolder(Replica run, Set<String> excluded, long now) {
    if (prompt.isEmpty()
        || !(target().orElse(null) instanceof Service.Engines engines)
        || !CopyPlacement.isOffered(route, engines)) {
      return Optional.empty();
    }
    if (!CopyPlacement.isWanted(route, engines, prompt.get())) {
      return Optional.of(new CopyPlacement.Choice.None(CopyPlacement.Reason.LONG_PROMPT));
    }
    return Optional.of(
        context
            .copyPlacement()
            .choose(
                prompt.get(),
                engines,
                run,
                context.replicas().replicasOf(service),
                replica -> !excluded.contains(replica.entry().id()) && mayReceive(replica, now),
                now));
  }

  /** Returns whether a replica may get the request now. */
  boolean mayReceive(Replica replica, long now) {
    return context.evacuations().areKnown() && exclusion(replica, now).isEmpty();
  }

  private Placement placeOnEngine(
      Service.Engines engines,
      List<Replica> usable,
      Set<String> excluded,
      long remaining,
      long now) {
    Optional<Placement> unknown = unknownWeights();
    if (unknown.isPresent()) {
      return unknown.get();
    }
    if (prompt.isEmpty()) {
      List<Replica> allowed = usable.stream().filter(this::isEveryVersionAllowed).toList();
      return context.plainPlacement().choose(allowed, excluded, now);
    }
    return context
        .enginePlacement()
        .choose(
            prompt.get(),
            this::salt,
            engines,
            usable,
            weightPreference(prompt.get().model()),
            cacheStores(),
            excluded,
            priority(),
            route.goalMillis(),
            remaining,
            now);
  }

  private Optional<Placement> unknownWeights() {
    return context.weights().isListed()
        ? Optional.empty()
        : Optional.of(
            new Placement.Refuse(
                "the requested weights are not known yet", UNCONFIGURED_RETRY_MILLIS));
  }

  private boolean isEveryVersionAllowed(Replica engine) {
    return engine.entry().weightVersions().keySet().stream()
        .allMatch(model -> weightPreference(model).allows(engine.version(model), 0));
  }

  /** Returns the preference for new weights of a model at this moment. */
  WeightPreference weightPreference(String model) {
    return WeightPreference.of(
        context.weights().target(model), Moment.now(), context.settings().weightsChangeMillis());
  }

  /**
   * Returns the salt of the cache keys of the request's parts under a version of the weights. The
   * customer may have been isolated since the request arrived.
   */
  String salt(int version) {
    String model = prompt.map(PromptShape::model).orElse("");
    return new CacheSalt(model, version, CacheNamespaces.within(namespace(), homes)).text();
  }

  private String namespace() {
    KnownConfiguration known = context.configuration();
    if (!context.keyFreshness().mayAcceptKeys(known.ageMillis(Moment.now()))) {
      return CacheNamespaces.outdatedNamespace(holder.customer());
    }
    return known
        .configuration()
        .map(Configuration::cacheNamespaces)
        .orElse(CacheNamespaces.SHARED_BY_ALL)
        .namespace(holder.customer());
  }
}
