package org.bulrushpier.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Clock;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Hash;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.HttpService;
import org.bulrushpier.peer.PeerTable;
import org.bulrushpier.platform.ListedInstance;
import org.bulrushpier.platform.PlatformUnavailable;
import org.bulrushpier.routing.Rendezvous;
import org.bulrushpier.routing.Router;
import org.bulrushpier.routing.RoutingPolicy;
import org.bulrushpier.settings.EntrySettings;
import org.bulrushpier.timeline.HybridClock;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One entry instance: HTTP for callers, operators and upstreams, TCP frames for its peers.
 *
 * <pre>{@code
 * EntryProcess process = EntryProcess.start(settings);
 * ...
 * process.shutDown();
 * }</pre>
 *
 * <p>Every entry runs the same program and keeps nothing. Thread-safe.
 */
public final class EntryProcess {

  private static final Logger log = LoggerFactory.getLogger("entry");
  private static final int WATCHERS_PER_DOMAIN = 2;
  private static final long WATCH_MILLIS = 10_000;
  private static final long IDLE_WATCH_MILLIS = 500;
  private static final long LIST_MILLIS = 1_000;
  private static final long RARE_LIST_MILLIS = 10_000;
  private static final long LOAD_MILLIS = 250;
  private static final int POLLS_PER_TELL = 2;
  private static final int HEARTBEATS_PER_PRUNE = 600;
  private static final long ORDER_MILLIS = 300;
  private static final long DRAIN_POLL_MILLIS = 50;
  private static final long LONGEST_DRAIN_MILLIS = 120_000;

  private final EntrySettings entry;
  private final Clock clock = Clock.system();
  private final Timeline timeline;
  private final HttpCaller caller = HttpCaller.start();
  private final PlatformClient platform;
  private final SettingsKeeper keeper;
  private final Peers peers;
  private final UpstreamTable upstreams;
  private final Gate gate;
  private final ChatHandler chat;
  private final ServiceHandler services;
  private final AdminHandler admin;
  private final LedgerDesk ledger;
  private final LoadPoller loads;
  private final OrderKeeper orders;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final AtomicBoolean isStopped = new AtomicBoolean();
  private HttpService http;

  private EntryProcess(EntrySettings entry) {
    this.entry = entry;
    timeline = Timeline.of(entry.name(), HybridClock.of(clock));
    platform = PlatformClient.of(caller, entry.platformAddress());
    keeper = new SettingsKeeper(platform, timeline);
    upstreams = new UpstreamTable(entry.domain(), clock, timeline);
    keeper.onChange((newer, source) -> upstreams.update(keeper.settings()));
    peers = new Peers(entry, clock, keeper, timeline, platform::isReachable);
    peers.setUpstreamListener(
        (name, leaving) -> {
          if (leaving) {
            upstreams.leaving(name, "a peer");
          }
        });
    gate = new Gate(clock, keeper);
    ledger = new LedgerDesk(entry.name(), platform, clock, peers, keeper);
    CacheCounters counters = new CacheCounters(registry);
    CacheMover mover = new CacheMover(caller, upstreams, keeper, peers, clock, timeline, counters);
    ChatRunner runner =
        new ChatRunner(
            caller,
            upstreams,
            keeper,
            Router.of(RoutingPolicy.of(entry.policy())),
            mover,
            new WarmTable(clock),
            counters,
            clock,
            timeline,
            () -> peers.table().live().size(),
            peers::tellUpstream);
    chat = new ChatHandler(keeper, gate, runner, clock, timeline);
    services =
        new ServiceHandler(
            caller, keeper, upstreams, gate, ledger, clock, timeline, peers::tellUpstream);
    StatusReporter status =
        new StatusReporter(
            entry,
            keeper,
            peers,
            upstreams,
            gate,
            platform,
            clock,
            isLeaving::get,
            platform::isReachable);
    admin = new AdminHandler(new Access(entry.rootKeySha256()), keeper, status, timeline);
    loads = new LoadPoller(entry.name(), caller, upstreams, peers, clock);
    orders = new OrderKeeper(entry.name(), caller, platform, keeper, peers, upstreams, timeline);
    registry.gauge("bulrushpier.requests.in.flight", gate, Gate::inFlight);
  }

  /**
   * Starts an entry.
   *
   * @param entry the process's settings
   * @return the running entry
   */
  public static EntryProcess start(EntrySettings entry) {
    EntryProcess process = new EntryProcess(entry);
    process.background("settings-watch", process::watchSettings);
    process.background("instance-list", process::readInstanceList);
    process.background("heartbeat", process::sendHeartbeats);
    process.background("engine-load", process::readLoads);
    process.background("orders", process::reconcileOrders);
    process.http = HttpService.start(entry.callerAddress(), process::answer);
    log.info("entry: {} serves at {}.", entry.name(), entry.callerAddress());
    process.timeline.add("entry", entry.name(), "started");
    return process;
  }

  /** Fails readiness, waits for the balancer and for running requests, then stops. */
  public void shutDown() {
    if (!isLeaving.compareAndSet(false, true)) {
      return;
    }
    log.info("entry: {} leaves.", entry.name());
    timeline.add("entry", entry.name(), "leaves");
    peers.heartbeat(true, gate.measure());
    sleep(entry.drainMillis());
    long limit = clock.millis() + LONGEST_DRAIN_MILLIS;
    while (http.active() > 0 && clock.millis() < limit) {
      sleep(DRAIN_POLL_MILLIS);
    }
    isStopped.set(true);
    http.stop();
    peers.links().stop();
    log.info("entry: {} stopped.", entry.name());
  }

  private void answer(Call call) {
    String path = call.path();
    if (path.equals("/v1/chat/completions") && call.method().equals("POST")) {
      chat.answer(call);
    } else if (ServiceHandler.isFor(path)) {
      services.answer(call);
    } else if (AdminHandler.isFor(path)) {
      admin.answer(call);
    } else if (path.equals("/healthz")) {
      call.send(200, "text/plain", Hash.utf8("ok\n"));
    } else if (path.equals("/readyz")) {
      ready(call);
    } else if (path.equals("/metrics")) {
      call.send(200, "text/plain; version=0.0.4", Hash.utf8(registry.scrape()));
    } else {
      throw BulrushpierException.notRun(
          ErrorCode.NOT_FOUND, call.method() + " " + path + ": no such resource");
    }
  }

  private void ready(Call call) {
    boolean isReady = !isLeaving.get() && keeper.tree().newestVersion() > 0;
    call.send(isReady ? 200 : 503, "text/plain", Hash.utf8(isReady ? "ready\n" : "not ready\n"));
  }

  private void watchSettings() {
    long cursor = 0;
    while (!isStopped.get()) {
      boolean isFirst = cursor == 0;
      if (!isFirst && !isWatcher()) {
        sleep(IDLE_WATCH_MILLIS);
        continue;
      }
      try {
        long wait = isFirst ? 0 : WATCH_MILLIS;
        cursor =
            keeper.acceptStored(
                platform.watch(SettingsKeeper.PREFIX, cursor, wait), Math.max(cursor, 0));
        if (isFirst && cursor == 0) {
          sleep(IDLE_WATCH_MILLIS);
        }
      } catch (PlatformUnavailable | BulrushpierException e) {
        log.warn("settings: watch failed: {}", e.getMessage());
        sleep(IDLE_WATCH_MILLIS);
      }
    }
  }

  /** A few entries of each failure domain watch; the others hear of changes from them. */
  private boolean isWatcher() {
    List<String> order = Rendezvous.order("settings-watch", peers.table().liveInDomain());
    return order.subList(0, Math.min(WATCHERS_PER_DOMAIN, order.size())).contains(entry.name());
  }

  private void readInstanceList() {
    while (!isStopped.get()) {
      try {
        List<ListedInstance> instances = platform.instances();
        peers.table().updateFromList(instances);
        upstreams.listed(instances).forEach(name -> peers.tellUpstream(name, true));
      } catch (PlatformUnavailable e) {
        log.debug("entry: the instance list is out of reach.", e);
      }
      sleep(isWatcher() ? LIST_MILLIS : RARE_LIST_MILLIS);
    }
  }

  private void sendHeartbeats() {
    for (int round = 1; !isStopped.get(); round++) {
      peers.heartbeat(isLeaving.get(), gate.measure());
      gate.update(peers.table().peers());
      if (round % HEARTBEATS_PER_PRUNE == 0) {
        ledger.prune();
      }
      sleep(PeerTable.HEARTBEAT_MILLIS);
    }
  }

  private void readLoads() {
    for (int round = 0; !isStopped.get(); round++) {
      loads.poll();
      if (round % POLLS_PER_TELL == 0) {
        loads.tell();
      }
      sleep(LOAD_MILLIS);
    }
  }

  private void reconcileOrders() {
    while (!isStopped.get()) {
      orders.reconcile();
      sleep(ORDER_MILLIS);
    }
  }

  private void background(String name, Runnable work) {
    Thread.ofVirtual()
        .name(name)
        .uncaughtExceptionHandler((t, e) -> log.error("entry: {} ended.", name, e))
        .start(work);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
