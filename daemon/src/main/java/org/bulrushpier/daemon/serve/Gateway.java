package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.CallFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.call.CallerRequest;
import org.bulrushpier.daemon.net.CallerConnection;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.daemon.net.InboundRequest;
import org.bulrushpier.limit.SlowReaders;
import org.bulrushpier.placing.PlacementQueue;
import org.bulrushpier.placing.PlacementRound;
import org.bulrushpier.settings.GatewaySettings;
import org.bulrushpier.site.CallerLimits;
import org.bulrushpier.site.Configuration;
import org.eclipse.jetty.http.HttpFields;

/**
 * An entry instance on the users' platform.
 *
 * <pre>{@code
 * Gateway gateway = Gateway.start(settings);
 * gateway.shutDown();
 * }</pre>
 *
 * <p>Persists nothing: the configuration, the replicas and the requested weights are watched in the
 * platform's metadata store. Thread-safe; all state is guarded by the loop's lock.
 */
public final class Gateway {

  /** Interval at which running requests check their timeouts, in milliseconds. */
  private static final long TICK_MILLIS = 25;

  /** How long the load balancer may still send connections after a failed check, in ms. */
  private static final long BALANCER_DELAY_MILLIS = 2_500;

  /** Requests are accepted no longer than this after the shutdown signal, in milliseconds. */
  private static final long LAST_REQUEST_MILLIS = 2_800;

  /** Share of the shutdown time after which a further request might not finish in time. */
  private static final double LAST_REQUEST_SHARE = 0.35;

  /** Share of the shutdown time after which requests that are still running are abandoned. */
  private static final double SHUTDOWN_SHARE = 0.88;

  /** Interval at which the settings file is checked for changes, in milliseconds. */
  private static final long SETTINGS_POLL_MILLIS = 2_000;

  /** Pause after a configuration change, in milliseconds: changes come in quick succession. */
  private static final long CONFIGURATION_PAUSE_MILLIS = 50;

  /** A leaving replica must get no requests after 2 s; a silent connection is tolerated for 3 s. */
  private static final StoreWatch.Timing REPLICA_TIMING = new StoreWatch.Timing(2_500, 250);

  /** New weights must be in place within 8 s, of which an order takes a few seconds. */
  private static final StoreWatch.Timing WEIGHTS_TIMING = new StoreWatch.Timing(3_000, 50, true);

  /** The longest wait of a watch for evacuations; a silent connection is tolerated for 3 s. */
  private static final long MAX_EVACUATION_WAIT_MILLIS = 2_500;

  /**
   * The wait of a watch for evacuations as a share of the time within which they must be in force;
   * the rest is for a call on another connection after one that stays silent.
   */
  private static final double EVACUATION_WAIT_SHARE = 0.5;

  /** Pause after changes of evacuations, in milliseconds: several may come together. */
  private static final long EVACUATION_PAUSE_MILLIS = 50;

  /** The lease lists the engines that are changing; stale data only delays requests at those. */
  private static final StoreWatch.Timing LEASE_TIMING = new StoreWatch.Timing(3_000, 150);

  /** Instances that reach each other tell their crashes directly. */
  private static final StoreWatch.Timing CRASH_TIMING = new StoreWatch.Timing(5_000, 50);

  /** Retry delay for callers while there is no room for their requests, in milliseconds. */
  private static final long NO_ROOM_RETRY_MILLIS = 300;

  private static final long SHUTDOWN_POLL_MILLIS = 50;

  /**
   * How long the shutdown waits for leases to be released and for last answers, in milliseconds.
   */
  private static final long RELEASE_MILLIS = 300;

  private volatile GatewaySettings settings;
  private final EventLoop loop = EventLoop.start();
  private final GatewayContext context;
  private final Set<Exchange> exchanges = new LinkedHashSet<>();
  private final Set<CallerConnection> connections = new HashSet<>();
  private final Set<String> overloaded = new HashSet<>();
  private final RolloutCoordinator rollouts;
  private final CacheStorePoller cacheStorePoller;
  private final CrashReportStore crashReports;
  private final StoreSources sources;
  private FleetExchange fleet;
  private boolean isShuttingDown;
  private boolean isStopping;
  private long shutdownStartMillis;
  private boolean wasReady;

  private Gateway(GatewaySettings settings) {
    this.settings = settings;
    context = new GatewayContext(loop, () -> this.settings);
    rollouts = new RolloutCoordinator(context);
    cacheStorePoller = new CacheStorePoller(context);
    crashReports = new CrashReportStore(context);
    sources =
        new StoreSources(
            context,
            settings.fleetAddress().orElse(settings.callerAddress()),
            now -> fleet == null ? List.of() : fleet.liveInDomain(now));
  }

  /**
   * Starts an instance.
   *
   * @param settings its settings
   * @return the running instance
   * @throws IOException if an address cannot be bound
   */
  public static Gateway start(GatewaySettings settings) throws IOException {
    Gateway gateway = new Gateway(settings);
    gateway.loop.listen(settings.readyAddress(), gateway.new ReadinessHandler());
    gateway.loop.listen(settings.callerAddress(), gateway.new CallerHandler());
    gateway.loop.listen(
        settings.metricsAddress(), new OperatorHandler(gateway.context, gateway::unreadyReasons));
    if (settings.fleetAddress().isPresent()) {
      gateway.fleet = FleetExchange.start(settings.fleetAddress().get(), gateway.context);
      if (settings.storeReaders() > 0) {
        gateway.loop.listen(settings.fleetAddress().get(), gateway.sources.relay());
      }
    }
    gateway.loop.run(gateway::startWatches);
    return gateway;
  }

  private void startWatches() {
    context.log().event("started", "instance", settings.name(), "domain", settings.domain());
    loop.observeDelays(context.metrics()::loopDelay);
    context
        .metrics()
        .gauge(
            "bulrushpier.messages.kept.bytes",
            "Bytes of requests, responses and unread output that this process keeps",
            () -> loop.budget().used());
    context
        .metrics()
        .gauge(
            "bulrushpier.output.unread.bytes",
            "Bytes that callers have not read yet",
            () -> loop.budget().unread());
    context.metrics().gauge("bulrushpier.requests.running", "Requests under way", exchanges::size);
    context
        .metrics()
        .gauge(
            "bulrushpier.settings.rejected",
            "1 if the process would not start with the settings file as it is",
            () -> context.settingsStatus().isRejected() ? 1 : 0);
    context
        .metrics()
        .gauge(
            "bulrushpier.settings.findings",
            "Errors in the settings file",
            () -> context.settingsStatus().findings().size());
    context
        .metrics()
        .gauge(
            "bulrushpier.configuration.age.ms",
            "Age of the proof that the configuration is the newest",
            () -> context.configuration().ageMillis(Moment.now()));
    context
        .metrics()
        .gauge(
            "bulrushpier.upstream.connections.opened",
            "Connections opened to upstreams since the start",
            () -> context.upstreamPool().openedConnections());
    context
        .metrics()
        .gauge("bulrushpier.callers.connections", "Connections of callers", connections::size);
    context
        .metrics()
        .gauge(
            "bulrushpier.requests.waiting",
            "Requests that wait for an engine",
            () -> context.placementQueues().values().stream().mapToInt(PlacementQueue::size).sum());
    context
        .metrics()
        .gauge(
            "bulrushpier.fleet.reporting",
            "Other instances whose load is known",
            () -> context.peerLoads().size());
    context
        .metrics()
        .gauge(
            "bulrushpier.fleet.group.engines",
            "Engines that this instance shares with the other members of its group",
            () -> context.loadGroup().engines());
    context
        .metrics()
        .gauge(
            "bulrushpier.weights.outdated.engines",
            "Engines whose weights are older than the requested ones",
            rollouts::outdatedEngines);
    context
        .metrics()
        .gauge(
            "bulrushpier.replicas.cold",
            "Replicas that are cold or were a moment ago",
            () -> context.cold().limitedReplicas());
    context
        .metrics()
        .gauge(
            "bulrushpier.cold.seats",
            "Requests that this instance may send to cold replicas in a second",
            () -> context.cold().seats(MonotonicClock.millis()));
    context
        .metrics()
        .gauge(
            "bulrushpier.cold.seats.used",
            "Requests that this instance has sent to cold replicas in the last second",
            () -> context.cold().usedSeats(MonotonicClock.millis()));
    context
        .metrics()
        .gauge(
            "bulrushpier.replicas.paced",
            "Replicas that have just started or recovered and whose pace is being found",
            () -> context.paces().pacedReplicas());
    long wait = context.keyFreshness().watchMillis();
    watch(StoreFormat.CRASH_REPORTS, CRASH_TIMING, crashReports);
    watch(
        StoreFormat.CONFIGURATIONS,
        new StoreWatch.Timing(wait, CONFIGURATION_PAUSE_MILLIS),
        new ConfigurationWatcher(context));
    watch(StoreFormat.REPLICAS, REPLICA_TIMING, new ReplicaWatcher(context));
    watch(StoreFormat.WEIGHTS, WEIGHTS_TIMING, new WeightsWatcher(context));
    watch(StoreFormat.LEASES, LEASE_TIMING, rollouts);
    context.storeEras().listen(() -> context.evacuations().storeRestored(MonotonicClock.millis()));
    watchEvacuations();
    loop.every(TICK_MILLIS, this::tick);
  }

  /**
   * Polls the settings file, as it may change without a signal.
   *
   * @param file the file
   */
  public void watchSettings(SettingsFile file) {
    loop.run(() -> context.recordSettings(file.status()));
    loop.after(
        SETTINGS_POLL_MILLIS,
        () -> {
          reload(file);
          watchSettings(file);
        });
  }

  /**
   * Reads the settings file again. The addresses that the instance listens on do not change.
   *
   * @param file the file
   */
  public void reload(SettingsFile file) {
    loop.run(
        () -> {
          GatewaySettings newer = file.reread();
          context.recordSettings(file.status());
          if (newer != null) {
            settings = newer;
            if (fleet != null) {
              fleet.seeds(newer.seeds());
            }
            watchEvacuations();
            context.log().event("reloaded", "platform", newer.platformAddress());
          }
        });
  }

  private void watch(String kind, StoreWatch.Timing timing, StoreWatch.Listener listener) {
    new StoreWatch(
            loop,
            context.client(),
            () -> settings.platformAddress(),
            sources,
            kind,
            timing,
            context.confirmations().recording(kind, listener))
        .start();
  }

  /**
   * Starts the watch for evacuations if the settings ask for it. It is never ended: settings that
   * lack it must not send load to a domain that operators have emptied.
   */
  private void watchEvacuations() {
    long millis = settings.evacuationMillis();
    if (millis == 0 || context.evacuations().isWatched()) {
      return;
    }
    long wait = Math.min(MAX_EVACUATION_WAIT_MILLIS, (long) (millis * EVACUATION_WAIT_SHARE));
    watch(
        StoreFormat.EVACUATIONS,
        new StoreWatch.Timing(wait, EVACUATION_PAUSE_MILLIS),
        EvacuationWatcher.of(context));
  }

  private void tick() {
    long now = MonotonicClock.millis();
    long stalledMillis = context.stalls().tick(now);
    if (stalledMillis > 0) {
      context.log().event("stalled", "forMs", stalledMillis, "running", exchanges.size());
    }
    loop.run(loop.budget()::relieve);
    loop.run(() -> context.cold().tick(now));
    loop.run(() -> sources.tick(stalledMillis, now));
    loop.run(() -> context.paces().tick(now));
    // A failure of one step must not keep the others from being taken.
    for (Exchange exchange : List.copyOf(exchanges)) {
      loop.run(() -> exchange.tickOrGiveUp(now));
    }
    Map.copyOf(context.placementQueues())
        .forEach((service, queue) -> loop.run(() -> placeWaiting(service, queue, now)));
    exchanges.removeIf(Exchange::isDone);
    connections.removeIf(CallerConnection::isClosed);
    loop.run(() -> expireReplicas(now));
    loop.run(() -> expireEvacuations(now));
    loop.run(cacheStorePoller::tick);
    if (fleet != null) {
      loop.run(() -> fleet.tick(now));
    }
    loop.run(() -> guardEngines(now));
    loop.run(() -> rollouts.tick(isShuttingDown));
  }

  /** Learns from crashes, and withdraws requests that would crash further engines. */
  private void guardEngines(long nowMillis) {
    if (context.poison().tick(nowMillis)) {
      List.copyOf(exchanges).forEach(Exchange::withdrawIfBarred);
    }
    crashReports.tick(fleet != null && fleet.isComplete(nowMillis));
  }

  private void expireReplicas(long nowMillis) {
    context
        .replicas()
        .expire(nowMillis)
        .forEach(
            id -> context.logChange("replica-gone", id, "not registered again after the outage"));
  }

  private void expireEvacuations(long nowMillis) {
    context
        .evacuations()
        .expire(nowMillis)
        .forEach(domain -> context.logChange("evacuation-withdrawn", domain, "lost by the store"));
  }

  /** Places waiting requests as far as engines can take them, and refuses those that expired. */
  private void placeWaiting(String service, PlacementQueue<QueueWait> queue, long nowMillis) {
    queue.removeExpired(nowMillis).forEach(waiting -> waiting.expired(nowMillis));
    PlacementRound.run(queue.waiting());
    if (queue.isStanding(nowMillis) && overloaded.add(service)) {
      context.log().event("overload", "service", service, "waiting", queue.size());
    } else if (!queue.isStanding(nowMillis) && overloaded.remove(service)) {
      context.log().event("overload-ended", "service", service);
    }
  }

  private boolean isReady() {
    List<String> reasons = unreadyReasons();
    boolean isReady = reasons.isEmpty();
    if (isReady != wasReady) {
      wasReady = isReady;
      context
          .log()
          .event(isReady ? "ready" : "not-ready", "leaving", isShuttingDown, "reasons", reasons);
    }
    return isReady;
  }

  /** Returns why the instance is not ready; empty if it is. */
  private List<String> unreadyReasons() {
    List<String> reasons = new ArrayList<>();
    if (isShuttingDown) {
      reasons.add("this instance is shutting down");
    }
    long age = context.configuration().ageMillis(Moment.now());
    if (context.configuration().configuration().isEmpty()) {
      reasons.add("no configuration is known yet");
    } else if (!context.keyFreshness().isReady(age)) {
      reasons.add("the configuration was last confirmed " + age + " ms ago");
    }
    if (!context.weights().isListed()) {
      reasons.add("the requested weights are not known yet");
    }
    if (!context.evacuations().areKnown()) {
      reasons.add("the evacuations are not known yet");
    }
    if (!context.replicas().isListed()) {
      reasons.add("the replicas are not known yet");
    }
    return reasons;
  }

  /** Shuts down gracefully: reports that it is not ready, and waits for running requests. */
  public void shutDown() {
    long start = MonotonicClock.millis();
    loop.run(
        () -> {
          isShuttingDown = true;
          shutdownStartMillis = start;
          context.log().event("leaving", "running", exchanges.size());
        });
    long deadline = start + (long) (settings.shutdownMillis() * SHUTDOWN_SHARE);
    awaitUntil(
        deadline, () -> MonotonicClock.millis() - start > BALANCER_DELAY_MILLIS && stopIfIdle());
    loop.run(() -> isStopping = true);
    releaseLeases();
    awaitUntil(deadline, this::isIdle);
    abandonRequests();
    loop.run(() -> context.log().event("stopped", "running", exchanges.size()));
  }

  private boolean isTooLateForRequests() {
    long limit =
        Math.min(LAST_REQUEST_MILLIS, (long) (settings.shutdownMillis() * LAST_REQUEST_SHARE));
    return isShuttingDown && MonotonicClock.millis() - shutdownStartMillis > limit;
  }

  /** Gives the requests that are still under way an answer before the process ends. */
  private void abandonRequests() {
    loop.run(
        () ->
            List.copyOf(exchanges)
                .forEach(exchange -> exchange.abandon("this instance is shutting down")));
    awaitUntil(MonotonicClock.millis() + RELEASE_MILLIS, this::isIdle);
  }

  /** Refuses all further requests if none is under way, as none could be finished any more. */
  private boolean stopIfIdle() {
    loop.run(() -> isStopping = isIdle());
    return isStopping;
  }

  /**
   * Releases the order leases, so that another instance need not wait for the end of their term.
   */
  private void releaseLeases() {
    loop.run(rollouts::stop);
    awaitUntil(MonotonicClock.millis() + RELEASE_MILLIS, () -> !isLeaseHolder());
  }

  private boolean isLeaseHolder() {
    boolean[] isHolder = new boolean[1];
    loop.run(() -> isHolder[0] = rollouts.isHolder());
    return isHolder[0];
  }

  /** Waits until the condition holds, the time is over or the thread is interrupted. */
  private static void awaitUntil(long deadlineMillis, BooleanSupplier condition) {
    while (MonotonicClock.millis() < deadlineMillis && !condition.getAsBoolean()) {
      try {
        TimeUnit.MILLISECONDS.sleep(SHUTDOWN_POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Stops immediately; open connections are closed. */
  public void stop() {
    if (fleet != null) {
      fleet.stop();
    }
    loop.stop();
  }

  private boolean isIdle() {
    boolean[] isIdle = new boolean[1];
    loop.run(
        () -> {
          exchanges.removeIf(Exchange::isDone);
          connections.forEach(CallerConnection::closeIfIdle);
          isIdle[0] =
              exchanges.isEmpty() && connections.stream().noneMatch(CallerConnection::isAnswering);
        });
    return isIdle[0];
  }

  /** Answers the load balancer's readiness checks. */
  private final class ReadinessHandler implements CallerConnection.Handler {
    @Override
    public void requestReceived(CallerConnection connection, InboundRequest request) {
      connection.respond(isReady() ? 200 : 503, HttpFields.EMPTY, new byte[0]);
    }
  }

  /** Handles callers' requests. */
  private final class CallerHandler implements CallerConnection.Handler {

    @Override
    public void requestReceived(CallerConnection connection, InboundRequest inbound) {
      connections.add(connection);
      if (isStopping || isTooLateForRequests()) {
        context.log().event("refused", "reason", "this instance is shutting down");
        HttpFields fields = CallFormat.gatewayResponse("", "this instance is shutting down", 0);
        connection.respond(503, fields, new byte[0]);
        return;
      }
      CallerRequest request;
      try {
        request = CallFormat.request(inbound.method(), inbound.target(), inbound.fields());
      } catch (IllegalArgumentException e) {
        context.log().event("unreadable", "detail", e.getMessage());
        connection.respond(400, CallFormat.gatewayResponse("", e.getMessage(), -1), new byte[0]);
        return;
      }
      Exchange exchange = new Exchange(context, connection, inbound, request);
      connection.attach(exchange);
      exchanges.add(exchange);
      exchange.beginOrGiveUp();
    }

    @Override
    public void callerDisconnected(CallerConnection connection) {
      connections.remove(connection);
      if (connection.attachment() instanceof Exchange exchange) {
        exchange.callerDisconnected();
      }
    }

    @Override
    public void slowReaderCut(SlowReaders.Kind kind) {
      context.metrics().slowReaderCut(kind);
    }

    @Override
    public CallerLimits limits() {
      return context
          .configuration()
          .configuration()
          .map(Configuration::limits)
          .orElse(CallerLimits.DEFAULT);
    }

    @Override
    public HttpFields refusedForLackOfRoom() {
      context.metrics().outcome("refused");
      context.log().event("refused", "reason", "no room for the request");
      return CallFormat.gatewayResponse("", "no room for the request", NO_ROOM_RETRY_MILLIS);
    }

    @Override
    public boolean isShuttingDown() {
      return isShuttingDown;
    }
  }
}
