package org.bulrushpier.placing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.WeightPreference;
import org.bulrushpier.routing.Rendezvous;
import org.bulrushpier.site.Service;

/**
 * Selects the engine with the lowest predicted time to first token for a generation.
 *
 * <p>Designed for long prompts of returning sessions, of which an engine holds only a handful in
 * memory, mixed with many short prompts. The prediction adds up the prefill queued at the engine,
 * the uncached part of this prompt, and a wait if running requests fill its memory or its slots.
 * Instances do not see each other's requests; they agree on a home engine for each session by
 * rendezvous hashing, which decides between engines with nearly the same cost.
 *
 * <p>At a site with so many instances that load reports are older than requests last, instances
 * prefer the engines of their {@link LoadGroup}, whose load they know. Among the others they select
 * at random with a preference for those that looked idle, as all of them have the same old reports.
 * How far they prefer their group depends on how busy the others were on the whole, which old
 * reports tell well: callers may all be in one domain while the engines of the others are idle.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class EnginePlacement {

  /**
   * How long the load reported with a response remains valid, in milliseconds: a few times the
   * interval between responses.
   */
  private static final long LOAD_VALIDITY_MILLIS = 700;

  /**
   * The assumed share of the uncached shared tokens that a session's home engine holds after all,
   * as other instances send the session there.
   */
  private static final double HOME_CACHED_SHARE = 0.4;

  /** The cost of crossing failure domains, in tokens: about a millisecond of prefill. */
  private static final int CROSSING_COST_TOKENS = 60;

  /**
   * The cost of repeating the prefill of a shared token, in addition to its duration, in
   * milliseconds.
   */
  private static final double SHARED_PREFILL_COST_MILLIS = 0.12;

  /**
   * The wait for memory or a slot to become free, in milliseconds: about the duration of one
   * generation.
   */
  private static final double CAPACITY_WAIT_MILLIS = 400;

  /**
   * The cost of each overdue request at a replica, in milliseconds, since it may never be answered.
   */
  private static final double OVERDUE_COST_MILLIS = 700;

  /** The share of failed requests up to which an engine is not considered faulty. */
  private static final double TOLERATED_FAILURE_SHARE = 0.1;

  /**
   * The cost of failures, in milliseconds, which is multiplied by the share of failed requests
   * above the tolerated share.
   */
  private static final double FAILURE_COST_MILLIS = 3_000;

  /**
   * The cost of an engine that recently refused a connection or was silent, in milliseconds. It
   * decides between engines and is no part of the prediction, as the engine may go on at any time.
   */
  private static final double UNREACHABLE_COST_MILLIS = 2_000;

  /**
   * The highest cost of an engine outside the group of this instance, in milliseconds, for what
   * other instances may have sent there since their last reports.
   */
  private static final double MAX_OUTSIDE_GROUP_COST_MILLIS = 100;

  /** The share of the other instances whose reports tell how busy a domain's engines are. */
  private static final double REPORTING_SHARE = 0.8;

  /** The mean of the random cost of an engine outside the group, in milliseconds. */
  private static final double OUTSIDE_GROUP_SPREAD_MILLIS = 100;

  /**
   * The delay of the first token caused by each running request, in milliseconds, since decoding
   * slows down with the number of running requests.
   */
  private static final double DELAY_PER_REQUEST_MILLIS = 0.6;

  /** The share of less urgent prompts that an engine is expected to read before a new one. */
  private static final double LESS_URGENT_SHARE = 0.5;

  /** The most tokens of less urgent prompts that it reads before a new one: half a piece. */
  private static final double MAX_LESS_URGENT_TOKENS = 1_024;

  /**
   * The wait that is accepted for a request whose own prefill already takes most of its latency
   * objective, as a share of the objective. Without it, only long prompts would be held back.
   */
  private static final double MIN_WAIT_SHARE = 0.5;

  /**
   * The memory up to which requests are planned, as a share of an engine's memory. It may exceed 1
   * since requests have prompt parts in common and need the memory of their output only at the end.
   */
  private static final double MAX_MEMORY_SHARE = 1.05;

  /** The factor by which the wait before a transfer may exceed its prediction. */
  private static final double WAIT_TOLERANCE = 1.5;

  /** The factor by which a transfer may exceed its prediction. */
  private static final double TRANSFER_TOLERANCE = 2;

  /** Added to the time for a transfer, for the way of the request to its engine, in ms. */
  private static final double FETCH_MARGIN_MILLIS = 50;

  /** The lower bound of the retry delay given to callers, in milliseconds. */
  private static final long MIN_RETRY_MILLIS = 100;

  private final String domain;
  private final PrefillRate rate;
  private final PeerLoads peers;
  private final LoadGroup group;
  private final FetchBound fetchBound;
  private final RandomGenerator random;
  private final RequestSizes sizes = new RequestSizes();

  private EnginePlacement(
      String domain,
      PrefillRate rate,
      PeerLoads peers,
      LoadGroup group,
      FetchBound fetchBound,
      RandomGenerator random) {
    this.domain = domain;
    this.rate = rate;
    this.peers = peers;
    this.group = group;
    this.fetchBound = fetchBound;
    this.random = random;
  }

  /**
   * Creates the placement policy of an instance that is in no group.
   *
   * @param domain the failure domain of the instance
   * @param rate the learned prefill rate
   * @param peers the load of the other instances
   * @return the policy
   */
  public static EnginePlacement of(String domain, PrefillRate rate, PeerLoads peers) {
    return of(domain, rate, peers, new LoadGroup(), FetchBound.NONE, RandomGenerator.getDefault());
  }

  /**
   * Creates the placement policy of an instance.
   *
   * @param domain the failure domain of the instance
   * @param rate the learned prefill rate
   * @param peers the load of the other instances
   * @param group the instances with which this one shares engines
   * @param fetchBound whether parts may be fetched from stores that free them when told to
   * @param random the source of randomness
   * @return the policy
   */
  public static EnginePlacement of(
      String domain,
      PrefillRate rate,
      PeerLoads peers,
      LoadGroup group,
      FetchBound fetchBound,
      RandomGenerator random) {
    return new EnginePlacement(domain, rate, peers, group, fetchBound, random);
  }

  /**
   * Selects an engine.
   *
   * @param prompt the prompt of the generation
   * @param salts maps a weight version to the salt under which its parts are cached
   * @param service the service that the engines belong to
   * @param engines the candidates, all of them usable
   * @param weights the preference for new weights
   * @param stores the cache stores
   * @param excluded the ids of replicas to which this request was already sent
   * @param priority the priority of the request, 0 being the most urgent
   * @param goalMillis the time within which the caller expects the first token, in milliseconds
   * @param leftMillis the time that remains until the caller's deadline, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the selected engine, a wait if it is saturated, or a refusal if it cannot start the
   *     request before the deadline
   */
  public Placement choose(
      PromptShape prompt,
      IntFunction<String> salts,
      Service.Engines service,
      List<Replica> engines,
      WeightPreference weights,
      Collection<CacheStoreState> stores,
      Set<String> excluded,
      int priority,
      long goalMillis,
      long leftMillis,
      long nowMillis) {
    Terms terms = new Terms(prompt, salts, service, engines, weights, stores, priority, nowMillis);
    sizes.sampleInFlight(engines);
    EngineEstimate best = null;
    for (Replica engine : engines) {
      if (excluded.contains(engine.entry().id())) {
        continue;
      }
      EngineEstimate estimate = terms.estimate(engine);
      if (estimate.isVersionAllowed() && (best == null || estimate.cost() < best.cost())) {
        best = estimate;
      }
    }
    Placement placement = decide(Optional.ofNullable(best), goalMillis, leftMillis);
    if (placement instanceof Placement.Send send) {
      sizes.samplePrefill(send.cache().prefillTokens());
    }
    return placement;
  }

  /**
   * Returns the predictions by which engines are compared for a request, without selecting one.
   *
   * @param prompt the prompt of the generation
   * @param salts maps a weight version to the salt under which its parts are cached
   * @param service the service that the engines belong to
   * @param engines the engines
   * @param weights the preference for new weights
   * @param stores the cache stores
   * @param priority the priority of the request, 0 being the most urgent
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the predictions, those with the lowest costs first
   */
  public List<EngineEstimate> estimates(
      PromptShape prompt,
      IntFunction<String> salts,
      Service.Engines service,
      List<Replica> engines,
      WeightPreference weights,
      Collection<CacheStoreState> stores,
      int priority,
      long nowMillis) {
    Terms terms = new Terms(prompt, salts, service, engines, weights, stores, priority, nowMillis);
    return engines.stream()
        .map(terms::estimate)
        .sorted(Comparator.comparingDouble(EngineEstimate::cost))
        .toList();
  }

  /** What the predictions for all engines have in common for one request. */
  private final class Terms {
    private final PromptShape prompt;
    private final IntFunction<String> salts;
    private final Service.Engines service;
    private final WeightPreference weights;
    private final Collection<CacheStoreState> stores;
    private final int priority;
    private final long nowMillis;
    private final boolean isGrouped;
    private final String home;
    private final Map<String, Double> waits = new HashMap<>();
    private final Map<String, Double> outsideCosts;
    private final Map<Integer, PartSources> sources = new HashMap<>();

    Terms(
        PromptShape prompt,
        IntFunction<String> salts,
        Service.Engines service,
        List<Replica> engines,
        WeightPreference weights,
        Collection<CacheStoreState> stores,
        int priority,
        long nowMillis) {
      this.prompt = prompt;
      this.salts = salts;
      this.service = service;
      this.weights = weights;
      this.stores = stores;
      this.priority = priority;
      this.nowMillis = nowMillis;
      isGrouped = group.isInForce();
      home = isGrouped ? "" : home(prompt, engines);
      if (isGrouped) {
        engines.forEach(engine -> waits.put(engine.entry().id(), predictWait(engine)));
      }
      outsideCosts = isGrouped && isSiteKnown() ? outsideCosts(engines) : Map.of();
    }

    /**
     * Returns the costs of the engines outside the group, by domain: the mean of their waits in the
     * last reports, which is what a request finds at an engine whose load is not known.
     */
    private Map<String, Double> outsideCosts(List<Replica> engines) {
      return engines.stream()
          .filter(engine -> !group.hasEngine(engine.entry().id()))
          .collect(
              Collectors.groupingBy(
                  engine -> engine.entry().domain(),
                  Collectors.averagingDouble(engine -> waits.get(engine.entry().id()))));
    }

    private double outsideGroupCost(Replica engine) {
      double unknown =
          Math.min(
              outsideCosts.getOrDefault(engine.entry().domain(), MAX_OUTSIDE_GROUP_COST_MILLIS),
              MAX_OUTSIDE_GROUP_COST_MILLIS);
      return unknown + OUTSIDE_GROUP_SPREAD_MILLIS * random.nextExponential();
    }

    private double predictWait(Replica engine) {
      double duration = engine.workDurationFactor(nowMillis);
      return EnginePlacement.this.predictWait(
          prompt, service, engine, priority, duration, nowMillis);
    }

    EngineEstimate estimate(Replica engine) {
      int version = engine.version(prompt.model());
      String salt = salts.apply(version);
      PartSources versionSources =
          sources.computeIfAbsent(
              version,
              v -> PartSources.of(prompt.parts(), salt, fetchableStores(version), nowMillis));
      CachePlan plan = CachePlanner.plan(prompt, salt, service, engine, versionSources);
      double duration = engine.workDurationFactor(nowMillis);
      double wait = isGrouped ? waits.get(engine.entry().id()) : predictWait(engine);
      double own = ownMillis(plan, duration);
      double fault = faultCost(engine, nowMillis);
      double millis = own + wait + fault;
      double cost =
          millis
              + (engine.isUnreachable(nowMillis) ? UNREACHABLE_COST_MILLIS : 0)
              + cacheCost(engine, plan, home)
              + (isGrouped && !group.hasEngine(engine.entry().id()) ? outsideGroupCost(engine) : 0)
              + weights.penaltyMillis(version);
      return new EngineEstimate(
          engine, plan, version, weights.allows(version, millis), wait, own, fault, cost);
    }

    private Collection<CacheStoreState> fetchableStores(int version) {
      return fetchBound.mayFetch(prompt.model(), version, nowMillis)
          ? stores
          : stores.stream().filter(store -> !store.store().isManaged()).toList();
    }
  }

  /**
   * Decides whether a request is sent to the best engine, waits for one, or is refused.
   *
   * @param best the allowed engine with the lowest cost, or empty if there is none
   * @param goalMillis the time within which the caller expects the first token, in milliseconds
   * @param leftMillis the time that remains until the caller's deadline, in milliseconds
   * @return the decision
   */
  public Placement decide(Optional<EngineEstimate> best, long goalMillis, long leftMillis) {
    return best.map(estimate -> decide(estimate, goalMillis, leftMillis))
        .orElse(new Placement.Refuse("no engine can take it", MIN_RETRY_MILLIS));
  }

  private Placement decide(EngineEstimate best, long goalMillis, long leftMillis) {
    double total = best.totalMillis();
    if (total > leftMillis) {
      return new Placement.Refuse(
          "predicted first token after " + (long) total + " ms",
          Math.max(MIN_RETRY_MILLIS, (long) (total - leftMillis)));
    }
    double limit = Math.max(goalMillis - best.ownMillis(), goalMillis * MIN_WAIT_SHARE);
    if (best.waitMillis() > limit) {
      return new Placement.Wait(
          "predicted wait at the best engine is " + (long) best.waitMillis() + " ms");
    }
    return new Placement.Send(
        best.engine(),
        best.plan(),
        (long) Math.ceil(total),
        (long) maxFetchMillis(best.plan(), best.waitMillis()),
        isAlone(best.engine()));
  }

  /** Returns whether nearly all other instances have reported their load of late. */
  private boolean isSiteKnown() {
    return peers.size() >= REPORTING_SHARE * (group.instances() - 1);
  }

  /** Returns whether no other request is known to wait at an engine whose load is well known. */
  private boolean isAlone(Replica engine) {
    return (!group.isInForce() || group.hasEngine(engine.entry().id()))
        && engine.pendingPrefillTokens() == 0
        && engine.transferMillis() == 0
        && peers.at(engine.entry().id(), Integer.MAX_VALUE).pendingTokens() == 0;
  }

  /** Returns the cost of crossing failure domains and of repeating prefill, in milliseconds. */
  private double cacheCost(Replica engine, CachePlan plan, String home) {
    double tokens = engine.entry().domain().equals(domain) ? 0 : CROSSING_COST_TOKENS;
    double sharedTokens = plan.sharedPrefillTokens();
    if (engine.entry().id().equals(home)) {
      tokens -= HOME_CACHED_SHARE * sharedTokens;
      sharedTokens *= 1 - HOME_CACHED_SHARE;
    }
    return rate.millis(tokens) + sharedTokens * SHARED_PREFILL_COST_MILLIS;
  }

  /**
   * Returns how long to wait for cached parts, in milliseconds. A link may be much slower than
   * configured; a transfer that takes as long as the prefill of its parts is given up, so that it
   * costs no more than twice the best choice.
   */
  private double maxFetchMillis(CachePlan plan, double waitMillis) {
    double prefill = rate.millis(plan.fetchedTokens() + plan.residentTokens());
    return rate.startMillis()
        + waitMillis * WAIT_TOLERANCE
        + Math.max(prefill, plan.transferMillis() * TRANSFER_TOLERANCE)
        + FETCH_MARGIN_MILLIS;
  }

  /** Predicts the time to the first token of a request that waits for no other, in milliseconds. */
  private double ownMillis(CachePlan plan, double duration) {
    double work = rate.startMillis() + rate.millis(plan.prefillTokens());
    return duration * work + plan.transferMillis();
  }

  /**
   * Predicts how long a request waits at an engine before its own prefill begins, in milliseconds.
   * Less urgent requests are counted with the piece of a prompt that the engine may be reading, as
   * it serves the rest of them later.
   */
  private double predictWait(
      PromptShape prompt,
      Service.Engines service,
      Replica engine,
      int priority,
      double duration,
      long nowMillis) {
    PeerLoads.Total known = peers.at(engine.entry().id(), priority);
    int unknown = unknownRequests(engine, known, nowMillis);
    int unknownWaiting = Math.min(unknown, engine.reportedLoad().waiting());
    double pendingTokens =
        engine.pendingPrefillTokens(priority)
            + known.pendingTokens()
            + unknownWaiting * sizes.prefillTokens()
            + Math.min(
                MAX_LESS_URGENT_TOKENS,
                LESS_URGENT_SHARE * lessUrgentTokens(engine, known, priority));
    int requests = engine.ownRequests() + known.requests() + unknown;
    double work = rate.millis(pendingTokens) + requests * DELAY_PER_REQUEST_MILLIS;
    double millis = duration * work + engine.transferMillis();
    double held =
        engine.reservedTokens()
            + known.memoryTokens()
            + unknown * sizes.memoryTokens()
            + prompt.totalTokens();
    double memoryLimit = service.memoryTokens() * MAX_MEMORY_SHARE;
    if (held > memoryLimit) {
      millis += CAPACITY_WAIT_MILLIS * held / memoryLimit;
    }
    if (service.slots() > 0 && requests >= service.slots()) {
      millis += CAPACITY_WAIT_MILLIS * (requests + 1 - service.slots()) / service.slots();
    }
    return millis;
  }

  /** Returns the prompt tokens that an engine has been sent with less urgent requests. */
  private static long lessUrgentTokens(Replica engine, PeerLoads.Total known, int priority) {
    return engine.pendingPrefillTokens()
        - engine.pendingPrefillTokens(priority)
        + known.lessUrgentTokens();
  }

  /** Estimates the requests at an engine that belong to instances whose load is not known. */
  private static int unknownRequests(Replica engine, PeerLoads.Total known, long nowMillis) {
    int others = engine.otherRequests(nowMillis, LOAD_VALIDITY_MILLIS);
    return Math.max(0, others - known.requests());
  }

  /** Returns the cost of an engine that may not answer, in milliseconds. */
  private static double faultCost(Replica engine, long nowMillis) {
    double failures = Math.max(0, engine.failureShare(nowMillis) - TOLERATED_FAILURE_SHARE);
    return engine.overdueRequests(nowMillis) * OVERDUE_COST_MILLIS + failures * FAILURE_COST_MILLIS;
  }

  /**
   * Returns the engine that every instance selects for a session in the absence of other
   * information.
   */
  private static String home(PromptShape prompt, List<Replica> engines) {
    int parts = prompt.parts().size();
    if (parts == 0 || engines.isEmpty()) {
      return "";
    }
    String session = prompt.parts().get(Math.max(0, parts - 2)).id();
    List<String> ids = engines.stream().map(engine -> engine.entry().id()).toList();
    return Rendezvous.first(session, ids);
  }
}
