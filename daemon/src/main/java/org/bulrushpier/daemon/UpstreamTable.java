package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushpier.Clock;
import org.bulrushpier.Deployment;
import org.bulrushpier.Upstream;
import org.bulrushpier.platform.ListedInstance;
import org.bulrushpier.routing.EngineState;
import org.bulrushpier.settings.Settings;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The upstream instances in the settings with their states.
 *
 * <p>Thread-safe; no lock is held during calls.
 */
final class UpstreamTable {

  private static final Logger log = LoggerFactory.getLogger("upstream");

  private final String domain;
  private final Clock clock;
  private final Timeline timeline;
  private final Map<String, UpstreamState> states = new ConcurrentHashMap<>();

  UpstreamTable(String domain, Clock clock, Timeline timeline) {
    this.domain = domain;
    this.clock = clock;
    this.timeline = timeline;
  }

  void update(Settings settings) {
    states.keySet().retainAll(settings.upstreams().keySet());
    settings
        .upstreams()
        .forEach(
            (name, upstream) ->
                states
                    .computeIfAbsent(name, n -> new UpstreamState(upstream))
                    .setUpstream(upstream));
  }

  /**
   * Applies the platform's instance list; returns the leaving upstreams that were not yet known to
   * be leaving.
   */
  List<String> updateFromInstanceList(Collection<ListedInstance> instances) {
    List<String> newlyLeaving = new ArrayList<>();
    for (ListedInstance instance : instances) {
      if (instance.isLeaving() && markLeaving(instance.name(), "the instance list")) {
        newlyLeaving.add(instance.name());
      }
    }
    return newlyLeaving;
  }

  /** Excludes an upstream from routing; returns true if it was not known to be leaving. */
  boolean markLeaving(String name, String source) {
    UpstreamState state = states.get(name);
    if (state == null) {
      return false;
    }
    boolean wasLeaving = state.isLeaving(clock.millis());
    state.setLeaving(clock.millis());
    if (wasLeaving) {
      return false;
    }
    log.info("upstream: {} is leaving according to {}", name, source);
    timeline.add("upstream", name, "is leaving according to " + source);
    return true;
  }

  Optional<UpstreamState> state(String name) {
    return Optional.ofNullable(states.get(name));
  }

  Collection<UpstreamState> all() {
    return states.values();
  }

  /** Returns the engines of a deployment's model with their routing state. */
  List<EngineState> engines(
      Settings settings,
      Deployment deployment,
      CacheAffinityTable affinity,
      String customer,
      int entries) {
    List<EngineState> engines = new ArrayList<>();
    long now = clock.millis();
    for (Upstream.Engine engine : settings.engines(deployment.model())) {
      UpstreamState state = states.get(engine.name());
      if (state != null) {
        engines.add(engineState(engine, state, deployment, affinity, customer, now, entries));
      }
    }
    return engines;
  }

  private EngineState engineState(
      Upstream.Engine engine,
      UpstreamState state,
      Deployment deployment,
      CacheAffinityTable affinity,
      String customer,
      long now,
      int entries) {
    boolean servesRequiredVersion = deployment.weightVersion().equals(state.load().weightVersion());
    boolean isUsable =
        servesRequiredVersion && !state.isLeaving(now) && state.breaker().isUsable(now);
    long backlog = state.backlogTokens(now, engine.prefillTokensPerSecond(), entries);
    int running = Math.max(state.load().running(), state.inFlight().get());
    boolean isWarm = affinity.isWarm(engine.name(), customer, state.survivalMillis());
    return new EngineState(
        engine,
        isUsable,
        engine.domain().equals(domain),
        backlog,
        running,
        isWarm,
        state.survivalMillis());
  }

  /** Returns the replicas of a service to which calls may be routed, best first. */
  List<UpstreamState> replicas(Settings settings, String service) {
    long now = clock.millis();
    return settings.services(service).stream()
        .map(replica -> states.get(replica.name()))
        .filter(s -> s != null && !s.isLeaving(now) && s.breaker().isUsable(now))
        .sorted((a, b) -> Integer.compare(rank(a), rank(b)))
        .toList();
  }

  private int rank(UpstreamState state) {
    int remotePenalty = state.upstream().domain().equals(domain) ? 0 : 2;
    return state.inFlight().get() * 2 + remotePenalty;
  }

  /** Returns the names of the usable stores. */
  List<String> stores(Settings settings) {
    long now = clock.millis();
    return settings.stores().stream()
        .filter(
            store ->
                state(store.name())
                    .map(s -> !s.isLeaving(now) && s.breaker().isUsable(now))
                    .orElse(false))
        .map(Upstream.Store::name)
        .toList();
  }
}
