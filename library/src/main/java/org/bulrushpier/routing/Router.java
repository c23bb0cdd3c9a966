package org.bulrushpier.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.bulrushpier.Upstream;
import org.bulrushpier.cache.PrefixChain;

/**
 * Selects the engine for a prompt.
 *
 * <pre>{@code
 * Router router = Router.of(new RoutingPolicy.LeastCost());
 * Optional<Route> route = router.choose(request, engines);
 * }</pre>
 *
 * <p>Thread-safe. The only state is the position of the round-robin policy.
 */
public final class Router {

  /**
   * The increase of the time between tokens by each additional stream at an engine, in
   * milliseconds.
   */
  private static final double DECODE_MILLIS_PER_STREAM = 1.0;

  /** The relative increase of the prefill time at an engine that also runs streams. */
  private static final double BASE_SLOWDOWN = 0.35;

  /** The additional relative increase of the prefill time by each running stream. */
  private static final double SLOWDOWN_PER_STREAM = 0.015;

  /**
   * The number of streams that an engine can run before the time between tokens approaches its
   * target.
   */
  private static final int UNCROWDED_STREAMS = 24;

  /** The cost of each stream above {@link #UNCROWDED_STREAMS}, in milliseconds. */
  private static final double CROWDING_COST_MILLIS = 40.0;

  /** The additional delay of an engine in another failure domain, in milliseconds. */
  private static final double REMOTE_DELAY_MILLIS = 2.0;

  /** The round-trip time of an import, in addition to the transfer, in milliseconds. */
  private static final double IMPORT_ROUND_TRIP_MILLIS = 4.0;

  /**
   * The cost advantage of a conversation's home engine, in milliseconds. It decides between engines
   * with nearly the same cost, so that all instances select the same one.
   */
  private static final double HOME_BONUS_MILLIS = 5.0;

  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final double BYTES_PER_MEGABYTE = 1_000_000.0;

  private final RoutingPolicy policy;
  private final AtomicLong nextEngine = new AtomicLong();

  private Router(RoutingPolicy policy) {
    this.policy = policy;
  }

  /**
   * Creates a router.
   *
   * @param policy the routing policy
   * @return the router
   */
  public static Router of(RoutingPolicy policy) {
    return new Router(policy);
  }

  /** Returns the routing policy, never null. */
  public RoutingPolicy policy() {
    return policy;
  }

  /**
   * Selects an engine.
   *
   * @param request the prompt
   * @param engines all engines that serve the model of the deployment
   * @return the route, or empty if no engine is usable
   */
  public Optional<Route> choose(RoutingRequest request, List<EngineState> engines) {
    List<EngineState> usable = engines.stream().filter(EngineState::isUsable).toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    return switch (policy) {
      case RoutingPolicy.LeastCost p -> leastCost(request, usable);
      case RoutingPolicy.RoundRobin p ->
          routeWithoutTransfer(
              usable.get((int) (nextEngine.getAndIncrement() % usable.size())), request);
      case RoutingPolicy.LeastLoad p -> routeWithoutTransfer(leastLoaded(usable), request);
      case RoutingPolicy.ConsistentHash p -> routeWithoutTransfer(home(request, usable), request);
      case RoutingPolicy.PrefixAffinity p ->
          routeWithoutTransfer(
              lastEngine(request, usable).orElseGet(() -> leastLoaded(usable)), request);
    };
  }

  private static Optional<EngineState> lastEngine(
      RoutingRequest request, List<EngineState> usable) {
    return usable.stream().filter(e -> e.engine().name().equals(request.lastEngine())).findFirst();
  }

  private static EngineState leastLoaded(List<EngineState> usable) {
    Comparator<EngineState> byLoad =
        Comparator.comparingDouble(e -> queueMillis(e) + e.running() * DECODE_MILLIS_PER_STREAM);
    return usable.stream().min(byLoad).orElseThrow();
  }

  private static EngineState home(RoutingRequest request, List<EngineState> usable) {
    String name = homeName(request, usable);
    return usable.stream().filter(e -> e.engine().name().equals(name)).findFirst().orElseThrow();
  }

  private static String homeName(RoutingRequest request, List<EngineState> usable) {
    return Rendezvous.first(
        request.chain().conversationKey(),
        usable.stream().map(e -> e.engine().name()).collect(Collectors.toList()));
  }

  private static Optional<Route> routeWithoutTransfer(EngineState engine, RoutingRequest request) {
    int resident = residentBlocks(engine, request);
    Route.Source source = resident > 0 ? Route.Source.ENGINE : Route.Source.RECOMPUTE;
    long uncached = uncachedTokens(request, resident);
    double millis = queueMillis(engine) + prefillMillis(engine.engine(), uncached);
    return Optional.of(new Route(engine.engine(), source, millis, uncached));
  }

  private Optional<Route> leastCost(RoutingRequest request, List<EngineState> usable) {
    String home = homeName(request, usable);
    Route best = null;
    double bestCost = Double.MAX_VALUE;
    for (EngineState engine : usable) {
      for (Route.Source source : Route.Source.values()) {
        Route route = estimate(engine, request, source);
        double cost = cost(route, engine, request, home);
        if (cost < bestCost) {
          best = route;
          bestCost = cost;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private static Route estimate(EngineState engine, RoutingRequest request, Route.Source source) {
    int resident = residentBlocks(engine, request);
    int stored = request.stored().blocks().size();
    int blocks =
        switch (source) {
          case ENGINE -> resident;
          case STORE -> Math.max(resident, stored);
          case RECOMPUTE -> Math.min(resident, request.sharedBlocks());
        };
    long uncached = uncachedTokens(request, blocks);
    double transfer = source == Route.Source.STORE ? importMillis(engine, request) : 0;
    double queue = queueMillis(engine);
    double remoteDelay = engine.isLocal() ? 0 : REMOTE_DELAY_MILLIS;
    double prefill = prefillMillis(engine.engine(), uncached) * slowdown(engine.running());
    double millis = Math.max(queue, transfer) + prefill + remoteDelay;
    return new Route(engine.engine(), source, millis, uncached);
  }

  private static double cost(Route route, EngineState engine, RoutingRequest request, String home) {
    double recomputed =
        route.prefillTokens() * request.deployment().prices().millisPerRecomputedToken();
    double link =
        route.source() == Route.Source.STORE
            ? missingBytes(engine, request)
                / BYTES_PER_MEGABYTE
                * request.deployment().prices().millisPerLinkMegabyte()
            : 0;
    double crowding = Math.max(0, engine.running() - UNCROWDED_STREAMS) * CROWDING_COST_MILLIS;
    double batch = engine.running() * DECODE_MILLIS_PER_STREAM;
    double homeBonus = engine.engine().name().equals(home) ? HOME_BONUS_MILLIS : 0;
    return route.estimateMillis() + recomputed + link + crowding + batch - homeBonus;
  }

  /**
   * Estimates how many leading blocks of the prompt the engine holds. The engine that last served
   * the conversation holds its blocks until the survival time has passed.
   */
  private static int residentBlocks(EngineState engine, RoutingRequest request) {
    int resident = engine.isWarm() ? request.sharedBlocks() : 0;
    String name = engine.engine().name();
    if (name.equals(request.lastEngine()) && request.sinceLastMillis() < engine.survivalMillis()) {
      resident = Math.max(resident, request.lastBlocks());
    }
    if (name.equals(request.stored().engine())
        && request.stored().ageMillis() < engine.survivalMillis()) {
      resident = Math.max(resident, request.stored().blocks().size());
    }
    return Math.min(resident, request.chain().keys().size());
  }

  private static double importMillis(EngineState engine, RoutingRequest request) {
    double seconds = missingBytes(engine, request) / request.linkBytesPerSecond();
    return IMPORT_ROUND_TRIP_MILLIS + seconds * MILLIS_PER_SECOND;
  }

  private static double missingBytes(EngineState engine, RoutingRequest request) {
    int stored = request.stored().blocks().size();
    int missing = Math.max(0, stored - residentBlocks(engine, request));
    return stored == 0 ? 0 : (double) request.stored().bytes() / stored * missing;
  }

  private static long uncachedTokens(RoutingRequest request, int blocks) {
    return Math.max(1, request.chain().tokens() - (long) blocks * PrefixChain.BLOCK_TOKENS);
  }

  private static double prefillMillis(Upstream.Engine engine, long tokens) {
    return tokens * MILLIS_PER_SECOND / engine.prefillTokensPerSecond();
  }

  /**
   * Returns the factor by which prefill slows down at an engine that also runs streams, whose
   * decode steps are scheduled between the chunks of a prompt.
   *
   * @param running the number of running streams
   * @return the factor, at least 1
   */
  public static double slowdown(int running) {
    return running == 0 ? 1 : 1 + BASE_SLOWDOWN + running * SLOWDOWN_PER_STREAM;
  }

  private static double queueMillis(EngineState engine) {
    return prefillMillis(engine.engine(), engine.backlogTokens()) * slowdown(engine.running());
  }
}
