package org.bulrushpier.daemon.serve;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.daemon.serve.GatewayStatus.SettingsStatus;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.limit.SlidingWindowRetryBudget;
import org.bulrushpier.placing.CacheStoreState;
import org.bulrushpier.placing.EnginePlacement;
import org.bulrushpier.placing.PartTerms;
import org.bulrushpier.placing.PlacementQueue;
import org.bulrushpier.placing.PlainPlacement;
import org.bulrushpier.placing.PrefillRate;
import org.bulrushpier.placing.ReplicaClock;
import org.bulrushpier.placing.StallDetector;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaTable;
import org.bulrushpier.rollout.TargetWeights;
import org.bulrushpier.rollout.WeightInquiry;
import org.bulrushpier.settings.GatewaySettings;
import org.bulrushpier.site.Evacuations;
import org.bulrushpier.site.KeyFreshness;
import org.bulrushpier.site.KnownConfiguration;
import org.bulrushpier.site.Service;
import org.bulrushpier.survival.CopyPlacement;

/**
 * State that all requests of an instance share: the known configuration and replicas, placement
 * policies and connection pools.
 *
 * <p>Guarded by the loop's lock.
 */
final class GatewayContext {

  /** Maximum time that an idle connection is kept, in milliseconds. */
  private static final long MAX_IDLE_MILLIS = 10_000;

  private final EventLoop loop;
  private final Supplier<GatewaySettings> settings;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final KnownConfiguration configuration = new KnownConfiguration();
  private final ReplicaTable replicas = new ReplicaTable();
  private final TargetWeights weights = new TargetWeights();
  private final Evacuations evacuations = new Evacuations();
  private final Confirmations confirmations = new Confirmations();
  private final WeightInquiry weightInquiry =
      WeightInquiry.of(weights, ThreadLocalRandom.current().nextLong());
  private final ReplicaClock replicaClock = new ReplicaClock();
  private final PartTerms partTerms = PartTerms.of(replicaClock);
  private final PrefillRate prefillRate = new PrefillRate();
  private final PeerLoads peerLoads = new PeerLoads();
  private final LoadGroup loadGroup = new LoadGroup();
  private final EnginePlacement enginePlacement;
  private final PlainPlacement plainPlacement;
  private final ConnectionPool upstreamPool;
  private final ConnectionPool controlPool;
  private final ControlClient client;
  private final EngineReports reports;
  private final ReplicaInquiries inquiries;
  private final CopyPlacement copyPlacement;
  private final Map<String, CacheStoreState> cacheStores = new LinkedHashMap<>();
  private final Set<Replica> unverified = new HashSet<>();
  private final EventLog log = new EventLog();
  private final ColdGuard cold = new ColdGuard(this);
  private final PaceGuard paces = new PaceGuard(this);
  private final PoisonGuard poison = new PoisonGuard(log, metrics);
  private final StoreEras storeEras = new StoreEras(log, metrics);
  private final Map<String, SlidingWindowRetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, PlacementQueue<QueueWait>> placementQueues = new HashMap<>();
  private final StallDetector stalls = new StallDetector();
  private SettingsStatus settingsStatus = SettingsStatus.SOUND;
  private int liveInstances = 1;
  private int mostInstances = 1;
  private long configurationChangedMillis = MonotonicClock.millis();

  GatewayContext(EventLoop loop, Supplier<GatewaySettings> settings) {
    this.loop = loop;
    this.settings = settings;
    String domain = settings.get().domain();
    SplittableRandom random = new SplittableRandom();
    enginePlacement =
        EnginePlacement.of(domain, prefillRate, peerLoads, loadGroup, partTerms, random);
    plainPlacement = PlainPlacement.of(domain, peerLoads, loadGroup, random);
    upstreamPool = ConnectionPool.of(loop, MAX_IDLE_MILLIS);
    controlPool = ConnectionPool.of(loop, MAX_IDLE_MILLIS);
    client = new ControlClient(loop, controlPool);
    reports = new EngineReports(client, log);
    inquiries = new ReplicaInquiries(loop, controlPool);
    copyPlacement = CopyPlacement.of(peerLoads, loadGroup, ThreadLocalRandom.current());
  }

  EventLoop loop() {
    return loop;
  }

  GatewaySettings settings() {
    return settings.get();
  }

  /** Returns what was found in the settings file when it was last read. */
  SettingsStatus settingsStatus() {
    return settingsStatus;
  }

  /** Records what was found in the settings file. */
  void recordSettings(SettingsStatus status) {
    settingsStatus = status;
  }

  /** Returns the bounds on the age of the configuration according to the settings in force. */
  KeyFreshness keyFreshness() {
    return KeyFreshness.of(settings().keyRevocationMillis());
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  KnownConfiguration configuration() {
    return configuration;
  }

  /** Records that another configuration is in force from now on. */
  void configurationChanged() {
    configurationChangedMillis = MonotonicClock.millis();
  }

  /** Returns the time since the configuration changed or the process started, in milliseconds. */
  long sinceConfigurationMillis() {
    return MonotonicClock.millis() - configurationChangedMillis;
  }

  ReplicaTable replicas() {
    return replicas;
  }

  TargetWeights weights() {
    return weights;
  }

  /** Returns the failure domains whose replicas must get no requests. */
  Evacuations evacuations() {
    return evacuations;
  }

  /** Returns when what is known of the store's objects was last confirmed. */
  Confirmations confirmations() {
    return confirmations;
  }

  /**
   * Returns the first reason for which a replica may get no request now, whatever the request.
   *
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the reason, or empty if it may get requests
   */
  Optional<Exclusion> exclusion(Replica replica, long nowMillis) {
    if (replica.isLeaving()) {
      return Optional.of(Exclusion.LEAVING);
    }
    if (!evacuations.mayReceive(replica.entry().domain())) {
      return Optional.of(Exclusion.EVACUATED);
    }
    return replica
        .exclusion(nowMillis)
        .or(() -> cold.exclusion(replica, nowMillis))
        .or(() -> paces.exclusion(replica, nowMillis));
  }

  WeightInquiry weightInquiry() {
    return weightInquiry;
  }

  /** Returns the detector of stalls of this process. */
  StallDetector stalls() {
    return stalls;
  }

  /** Returns the clock that replicas and cache stores share. */
  ReplicaClock replicaClock() {
    return replicaClock;
  }

  /** Returns until when cached parts may be fetched, and from when on they may be freed. */
  PartTerms partTerms() {
    return partTerms;
  }

  PrefillRate prefillRate() {
    return prefillRate;
  }

  /** Returns the load that other instances put on upstreams. */
  PeerLoads peerLoads() {
    return peerLoads;
  }

  /** Returns the instances with which this one shares engines at a large site. */
  LoadGroup loadGroup() {
    return loadGroup;
  }

  EnginePlacement enginePlacement() {
    return enginePlacement;
  }

  PlainPlacement plainPlacement() {
    return plainPlacement;
  }

  ConnectionPool upstreamPool() {
    return upstreamPool;
  }

  ControlClient client() {
    return client;
  }

  /** Returns what asks engines for their state. */
  EngineReports reports() {
    return reports;
  }

  /** Returns what engines were asked to find out whether they are alive. */
  ReplicaInquiries inquiries() {
    return inquiries;
  }

  CopyPlacement copyPlacement() {
    return copyPlacement;
  }

  /** Returns the guard against prompt parts that crash engines. */
  PoisonGuard poison() {
    return poison;
  }

  /** Returns the guard of replicas that have just started or recovered. */
  PaceGuard paces() {
    return paces;
  }

  /** Returns a service of the known configuration, if it has one of that name. */
  Optional<Service> service(String name) {
    return configuration.configuration().flatMap(known -> known.service(name));
  }

  /** Returns what replicas of a service bear after their start, as far as it is configured. */
  Service.ColdStart coldStart(String service) {
    return service(service).map(Service::coldStart).orElse(Service.ColdStart.NONE);
  }

  /** Returns the guard of cold replicas. */
  ColdGuard cold() {
    return cold;
  }

  /** Returns what is known of the era of the metadata store. */
  StoreEras storeEras() {
    return storeEras;
  }

  EventLog log() {
    return log;
  }

  /** Logs a change of the known state. */
  void logChange(String event, String id, Object detail) {
    log.event(event, "id", id, "detail", detail);
  }

  /**
   * Returns the state of a cache store. A state is kept by the store's name, so a later change of
   * the store's address has no effect on it.
   */
  CacheStoreState cacheStore(Service.CacheStore store) {
    return cacheStores.computeIfAbsent(store.name(), name -> new CacheStoreState(store));
  }

  Collection<CacheStoreState> cacheStores() {
    return cacheStores.values();
  }

  /** Marks a replica whose weights may differ from the known ones. */
  void markUnverified(Replica replica) {
    unverified.add(replica);
  }

  /** Returns the replicas whose weights must be verified. */
  Set<Replica> unverified() {
    return unverified;
  }

  /** Returns the requests that wait for an engine of a service. */
  PlacementQueue<QueueWait> placementQueue(String service) {
    return placementQueues.computeIfAbsent(service, name -> new PlacementQueue<>());
  }

  /** Returns the queues of all services by the name of the service. */
  Map<String, PlacementQueue<QueueWait>> placementQueues() {
    return placementQueues;
  }

  /** Returns this instance's share of the retries allowed for a service. */
  SlidingWindowRetryBudget retryBudget(String service) {
    SlidingWindowRetryBudget budget =
        retryBudgets.computeIfAbsent(
            service,
            name ->
                SlidingWindowRetryBudget.of(
                    settings().retryRatio(), 0, settings().retryWindowMillis()));
    budget.minimum(SlidingWindowRetryBudget.minimumShare(settings().retryMinimum(), mostInstances));
    return budget;
  }

  /** Returns the number of live instances, this one included. */
  int liveInstances() {
    return liveInstances;
  }

  /** Records the number of live instances, among which the minimum number of retries is divided. */
  void recordInstances(int instances) {
    liveInstances = instances;
    mostInstances = Math.max(mostInstances, instances);
  }
}
