package org.bulrushpier.daemon.serve;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.daemon.serve.GatewayStatus.ConfigurationStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.EvacuatedDomain;
import org.bulrushpier.daemon.serve.GatewayStatus.EvacuationsStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.ReplicaStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.ReplicasStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.RequestedVersion;
import org.bulrushpier.daemon.serve.GatewayStatus.WeightsStatus;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.RequestInterval;
import org.bulrushpier.site.Configuration;
import org.bulrushpier.site.Evacuations;

/**
 * Tells what the instance believes now.
 *
 * <p>Changes nothing, and asks nobody. Guarded by the loop's lock.
 */
final class StatusReporter {

  private static final String UNKNOWN_EVACUATIONS = "waiting for the evacuations to be known";

  private final GatewayContext context;
  private final Supplier<List<String>> unready;

  /**
   * Creates the reporter.
   *
   * @param context the state of the instance
   * @param unready returns why the instance is not ready
   */
  StatusReporter(GatewayContext context, Supplier<List<String>> unready) {
    this.context = context;
    this.unready = unready;
  }

  /** Returns the status at this moment. */
  GatewayStatus status() {
    Moment now = Moment.now();
    return new GatewayStatus(
        context.settings().name(),
        context.settings().domain(),
        unready.get(),
        context.settingsStatus(),
        configuration(now),
        weights(now),
        evacuations(now),
        replicas(now));
  }

  private ConfigurationStatus configuration(Moment now) {
    Optional<Configuration> known = context.configuration().configuration();
    return known.isEmpty()
        ? new ConfigurationStatus(GatewayStatus.UNKNOWN, GatewayStatus.UNKNOWN)
        : new ConfigurationStatus(known.get().version(), context.configuration().ageMillis(now));
  }

  private WeightsStatus weights(Moment now) {
    return new WeightsStatus(
        context.weights().isListed(),
        age(StoreFormat.WEIGHTS, now),
        context.weights().models().stream().sorted().map(model -> requested(model, now)).toList());
  }

  private RequestedVersion requested(String model, Moment now) {
    RequestInterval requested = context.weights().target(model).requested();
    return new RequestedVersion(
        model,
        context.weights().target(model).version(),
        requested.isDated() ? requested.notBefore().ageMillis(now) : GatewayStatus.UNKNOWN);
  }

  private EvacuationsStatus evacuations(Moment now) {
    Evacuations known = context.evacuations();
    return new EvacuationsStatus(
        known.isWatched(),
        known.areKnown(),
        age(StoreFormat.EVACUATIONS, now),
        known.domains().stream().sorted().map(this::evacuated).toList());
  }

  private EvacuatedDomain evacuated(String domain) {
    int running =
        context.replicas().all().stream()
            .filter(replica -> replica.entry().domain().equals(domain))
            .mapToInt(Replica::ownRequests)
            .sum();
    OptionalLong revision = context.evacuations().revision(domain);
    return new EvacuatedDomain(domain, revision.orElse(GatewayStatus.UNKNOWN), running);
  }

  private ReplicasStatus replicas(Moment now) {
    long nowMillis = MonotonicClock.millis();
    return new ReplicasStatus(
        context.replicas().isListed(),
        context.replicas().isListed() && context.replicas().isCurrent(nowMillis),
        age(StoreFormat.REPLICAS, now),
        context.replicas().all().stream()
            .map(replica -> replica(replica, nowMillis))
            .sorted(
                Comparator.comparing(ReplicaStatus::service)
                    .thenComparing(ReplicaStatus::domain)
                    .thenComparing(ReplicaStatus::id))
            .toList());
  }

  private ReplicaStatus replica(Replica replica, long nowMillis) {
    Map<String, Integer> weights = new TreeMap<>();
    replica
        .entry()
        .weightVersions()
        .keySet()
        .forEach(model -> weights.put(model, replica.version(model)));
    long heard = replica.lastActivityMillis();
    return new ReplicaStatus(
        replica.entry().id(),
        replica.entry().service(),
        replica.entry().domain(),
        context.exclusion(replica, nowMillis).map(this::description).orElse(""),
        replica.coldSpell().leftMillis(nowMillis),
        context.cold().share(replica, nowMillis).orElse((int) GatewayStatus.UNKNOWN),
        replica.coldSpell().sends(nowMillis),
        weights,
        replica.ownRequests(),
        heard <= 0 ? GatewayStatus.UNKNOWN : nowMillis - heard);
  }

  private String description(Exclusion exclusion) {
    return exclusion == Exclusion.EVACUATED && !context.evacuations().areKnown()
        ? UNKNOWN_EVACUATIONS
        : exclusion.description();
  }

  private long age(String kind, Moment now) {
    return context.confirmations().ageMillis(kind, now).orElse(GatewayStatus.UNKNOWN);
  }
}
