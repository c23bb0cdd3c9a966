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
import org.bulrushpier.daemon.http.HttpServer;
import org.bulrushpier.peer.PeerTable;
import org.bulrushpier.platform.ListedInstance;
import org.bulrushpier.platform.PlatformUnavailableException;
import org.bulrushpier.routing.Rendezvous;
import org.bulrushpier.routing.Router;
import org.bulrushpier.routing.RoutingPolicy;
import org.bulrushpier.settings.EntrySettings;
import org.bulrushpier.timeline.HybridClock;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An entry instance: the gateway process that accepts requests from callers and operators over
 * HTTP, calls upstreams over HTTP and exchanges TCP frames with the other entries, its peers.
 *
 * <pre>{@code
 * EntryProcess process = EntryProcess.start(settings);
 * ...
 * process.shutDown();
 * }</pre>
 *
 * <p>All entries run the same program and have no persistent state. Thread-safe.
 */
public final class EntryProcess {

  private static final Logger log = LoggerFactory.getLogger("entry");
  private static final int WATCHERS_PER_DOMAIN = 2;
  private static final long WATCH_WAIT_MILLIS = 10_000;
  private static final long WATCH_RETRY_MILLIS = 500;
  private static final long LIST_INTERVAL_MILLIS = 1_000;
  private static final long NON_WATCHER_LIST_INTERVAL_MILLIS = 10_000;
  private static final long LOAD_POLL_INTERVAL_MILLIS = 250;
  private static final int POLLS_PER_PUBLISH = 2;
  private static final int HEARTBEATS_PER_PRUNE = 600;
  private static final long ORDER_INTERVAL_MILLIS = 300;
  private static final long DRAIN_POLL_MILLIS = 50;
  private static final long MAX_DRAIN_MILLIS = 120_000;

  private final EntrySettings entry;
  private final Clock clock = Clock.system();
  private final Timeline timeline;
  private final HttpCaller caller = HttpCaller.start();
  private final PlatformClient platform;
  private final SettingsManager settingsManager;
  private final Peers peers;
  private final UpstreamTable upstreams;
  private final AdmissionController admission;
  private final ChatHandler chat;
  private final ServiceHandler services;
  private final AdminHandler admin;
  private final LedgerCommitter ledger;
  private final LoadPoller loads;
  private final WeightOrderReconciler orders;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final AtomicBoolean isStopped = new AtomicBoolean();
  private HttpServer http;

  private EntryProcess(EntrySettings entry) {
    this.entry = entry;
    timeline = Timeline.of(entry.name(), HybridClock.of(clock));
    platform = PlatformClient.of(caller, entry.platformAddress());
    settingsManager = new SettingsManager(platform, timeline);
    upstreams = new UpstreamTable(entry.domain(), clock, timeline);
    settingsManager.onChange((newer, source) -> upstreams.update(settingsManager.settings()));
    peers = new Peers(entry, clock, settingsManager, timeline, platform::isReachable);
    peers.setUpstreamListener(
        (name, leaving) -> {
          if (leaving) {
            upstreams.markLeaving(name, "a peer");
          }
        });
    admission = new AdmissionController(clock, settingsManager);
    ledger = new LedgerCommitter(entry.name(), platform, clock, peers, settingsManager);
    CacheCounters counters = new CacheCounters(registry);
    CacheTransferManager transfers =
        new CacheTransferManager(
            caller, upstreams, settingsManager, peers, clock, timeline, counters);
    ChatRunner runner =
        new ChatRunner(
            caller,
            upstreams,
            settingsManager,
            Router.of(RoutingPolicy.of(entry.policy())),
            transfers,
            new CacheAffinityTable(clock),
            counters,
            clock,
            timeline,
            () -> peers.table().live().size(),
            peers::announceUpstream);
    chat = new ChatHandler(settingsManager, admission, runner, clock, timeline);
    services =
        new ServiceHandler(
            caller,
            settingsManager,
            upstreams,
            admission,
            ledger,
            clock,
            timeline,
            peers::announceUpstream);
    StatusReporter status =
        new StatusReporter(
            entry,
            settingsManager,
            peers,
            upstreams,
            admission,
            platform,
            clock,
            isLeaving::get,
            platform::isReachable);
    admin =
        new AdminHandler(
            new AccessControl(entry.rootKeySha256()), settingsManager, status, timeline);
    loads = new LoadPoller(entry.name(), caller, upstreams, peers, clock);
    orders =
        new WeightOrderReconciler(
            entry.name(), caller, platform, settingsManager, peers, upstreams, timeline);
    registry.gauge("bulrushpier.requests.in.flight", admission, AdmissionController::inFlight);
  }

  /**
   * Starts an entry.
   *
   * @param entry the settings of the process
   * @return the running entry
   */
  public static EntryProcess start(EntrySettings entry) {
    EntryProcess process = new EntryProcess(entry);
    process.startThread("settings-watch", process::watchSettings);
    process.startThread("instance-list", process::readInstanceList);
    process.startThread("heartbeat", process::sendHeartbeats);
    process.startThread("engine-load", process::readLoads);
    process.startThread("orders", process::reconcileOrders);
    process.http = HttpServer.start(entry.callerAddress(), process::handle);
    log.info("entry: {} is listening on {}", entry.name(), entry.callerAddress());
    process.timeline.add("entry", entry.name(), "started");
    return process;
  }

  /**
   * Fails the readiness check, waits for the load balancer to react and for running requests to
   * finish, then stops.
   */
  public void shutDown() {
    if (!isLeaving.compareAndSet(false, true)) {
      return;
    }
    log.info("entry: {} is shutting down", entry.name());
    timeline.add("entry", entry.name(), "leaves");
    peers.heartbeat(true, admission.measureDemand());
    sleep(entry.drainMillis());
    long limit = clock.millis() + MAX_DRAIN_MILLIS;
    while (http.activeRequests() > 0 && clock.millis() < limit) {
      sleep(DRAIN_POLL_MILLIS);
    }
    isStopped.set(true);
    http.stop();
    peers.links().stop();
    log.info("entry: {} stopped", entry.name());
  }

  private void handle(Call call) {
    String path = call.path();
    if (path.equals("/v1/chat/completions") && call.method().equals("POST")) {
      chat.handle(call);
    } else if (ServiceHandler.handles(path)) {
      services.handle(call);
    } else if (AdminHandler.handles(path)) {
      admin.handle(call);
    } else if (path.equals("/healthz")) {
      call.send(200, "text/plain", Hash.utf8("ok\n"));
    } else if (path.equals("/readyz")) {
      sendReadiness(call);
    } else if (path.equals("/metrics")) {
      call.send(200, "text/plain; version=0.0.4", Hash.utf8(registry.scrape()));
    } else {
      throw BulrushpierException.notRun(
          ErrorCode.NOT_FOUND, call.method() + " " + path + ": no such resource");
    }
  }

  private void sendReadiness(Call call) {
    boolean isReady = !isLeaving.get() && settingsManager.tree().newestVersion() > 0;
    call.send(isReady ? 200 : 503, "text/plain", Hash.utf8(isReady ? "ready\n" : "not ready\n"));
  }

  private void watchSettings() {
    long cursor = 0;
    while (!isStopped.get()) {
      boolean isFirst = cursor == 0;
      if (!isFirst && !isWatcher()) {
        sleep(WATCH_RETRY_MILLIS);
        continue;
      }
      try {
        long wait = isFirst ? 0 : WATCH_WAIT_MILLIS;
        cursor =
            settingsManager.acceptObjects(
                platform.watch(SettingsManager.PREFIX, cursor, wait), Math.max(cursor, 0));
        if (isFirst && cursor == 0) {
          sleep(WATCH_RETRY_MILLIS);
        }
      } catch (PlatformUnavailableException | BulrushpierException e) {
        log.warn("settings: watch failed: {}", e.getMessage());
        sleep(WATCH_RETRY_MILLIS);
      }
    }
  }

  /**
   * A few entries in each failure domain watch the settings at the platform; the others receive
   * changes from them.
   */
  private boolean isWatcher() {
    List<String> order = Rendezvous.order("settings-watch", peers.table().liveInDomain());
    return order.subList(0, Math.min(WATCHERS_PER_DOMAIN, order.size())).contains(entry.name());
  }

  private void readInstanceList() {
    while (!isStopped.get()) {
      try {
        List<ListedInstance> instances = platform.instances();
        peers.table().updateFromList(instances);
        upstreams
            .updateFromInstanceList(instances)
            .forEach(name -> peers.announceUpstream(name, true));
      } catch (PlatformUnavailableException e) {
        log.debug("entry: cannot read the instance list", e);
      }
      sleep(isWatcher() ? LIST_INTERVAL_MILLIS : NON_WATCHER_LIST_INTERVAL_MILLIS);
    }
  }

  private void sendHeartbeats() {
    for (int round = 1; !isStopped.get(); round++) {
      peers.heartbeat(isLeaving.get(), admission.measureDemand());
      admission.updateShares(peers.table().peers());
      if (round % HEARTBEATS_PER_PRUNE == 0) {
        ledger.prune();
      }
      sleep(PeerTable.HEARTBEAT_MILLIS);
    }
  }

  private void readLoads() {
    for (int round = 0; !isStopped.get(); round++) {
      loads.poll();
      if (round % POLLS_PER_PUBLISH == 0) {
        loads.publish();
      }
      sleep(LOAD_POLL_INTERVAL_MILLIS);
    }
  }

  private void reconcileOrders() {
    while (!isStopped.get()) {
      orders.reconcile();
      sleep(ORDER_INTERVAL_MILLIS);
    }
  }

  private void startThread(String name, Runnable work) {
    Thread.ofVirtual()
        .name(name)
        .uncaughtExceptionHandler(
            (t, e) -> log.error("entry: thread {} terminated unexpectedly", name, e))
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
