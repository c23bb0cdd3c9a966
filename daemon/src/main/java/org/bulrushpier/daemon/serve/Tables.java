package org.bulrushpier.daemon.serve;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.NetLoop;
import org.bulrushpier.limit.SlidingWindowRetryBudget;
import org.bulrushpier.placing.CacheStoreState;
import org.bulrushpier.placing.EnginePlacement;
import org.bulrushpier.placing.PlainPlacement;
import org.bulrushpier.placing.ReadingRate;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaTable;
import org.bulrushpier.rollout.WantedWeights;
import org.bulrushpier.settings.GatewaySettings;
import org.bulrushpier.site.ConfigurationBelief;
import org.bulrushpier.site.KeyFreshness;
import org.bulrushpier.site.Service;

/**
 * What all exchanges of an instance share: beliefs, policies and connections.
 *
 * <p>Confined to the loop's lock.
 */
final class Tables {

  /** Idle connections are kept this long at most, in milliseconds. */
  private static final long IDLE_MILLIS = 10_000;

  /**
   * The instances among which the minimum of retries is split: the 24 of a grown site, and some
   * that replace others. Instances do not know their number, so each takes the smaller part.
   */
  private static final int RETRY_PARTS = 32;

  private final NetLoop loop;
  private final Supplier<GatewaySettings> settings;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final ConfigurationBelief configuration = new ConfigurationBelief();
  private final ReplicaTable replicas = new ReplicaTable();
  private final WantedWeights weights = new WantedWeights();
  private final ReadingRate readingRate = new ReadingRate();
  private final EnginePlacement engines;
  private final PlainPlacement plain;
  private final ConnectionPool upstreams;
  private final ConnectionPool control;
  private final StoreClient client;
  private final Map<String, CacheStoreState> stores = new LinkedHashMap<>();
  private final Set<Replica> doubtful = new HashSet<>();
  private final EventLog log = new EventLog();
  private final Map<String, SlidingWindowRetryBudget> allowances = new HashMap<>();

  Tables(NetLoop loop, Supplier<GatewaySettings> settings) {
    this.loop = loop;
    this.settings = settings;
    engines = EnginePlacement.of(settings.get().domain(), readingRate);
    plain = PlainPlacement.of(settings.get().domain());
    upstreams = ConnectionPool.of(loop, IDLE_MILLIS);
    control = ConnectionPool.of(loop, IDLE_MILLIS);
    client = new StoreClient(loop, control);
  }

  NetLoop loop() {
    return loop;
  }

  GatewaySettings settings() {
    return settings.get();
  }

  /** How old the configuration may be, by the settings in force. */
  KeyFreshness keyFreshness() {
    return KeyFreshness.of(settings().keyRevocationMillis());
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  ConfigurationBelief configuration() {
    return configuration;
  }

  ReplicaTable replicas() {
    return replicas;
  }

  WantedWeights weights() {
    return weights;
  }

  ReadingRate readingRate() {
    return readingRate;
  }

  EnginePlacement engines() {
    return engines;
  }

  PlainPlacement plain() {
    return plain;
  }

  ConnectionPool upstreams() {
    return upstreams;
  }

  StoreClient client() {
    return client;
  }

  EventLog log() {
    return log;
  }

  /** Writes a line for a changed belief. */
  void belief(String event, String id, Object detail) {
    log.event(event, "id", id, "detail", detail);
  }

  /** The state of a store of cache parts; a store at another address is another one. */
  CacheStoreState store(Service.CacheStore store) {
    return stores.computeIfAbsent(store.name(), name -> new CacheStoreState(store));
  }

  Collection<CacheStoreState> stores() {
    return stores.values();
  }

  /** Takes note that a replica's weights are not those believed. */
  void doubtful(Replica replica) {
    doubtful.add(replica);
  }

  /** The replicas whose weights are to be asked for. */
  Set<Replica> doubtful() {
    return doubtful;
  }

  /** This instance's part of the retries at a service. */
  SlidingWindowRetryBudget allowance(String service) {
    return allowances.computeIfAbsent(
        service,
        name ->
            SlidingWindowRetryBudget.of(
                settings().retryRatio(),
                settings().retryMinimum() / RETRY_PARTS,
                settings().retryWindowMillis()));
  }
}
