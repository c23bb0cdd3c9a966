package org.bulrushpier.daemon.serve;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bulrushpier.limit.SlowReaders;
import org.bulrushpier.survival.CopyPlacement;

/**
 * Counters and latency histograms of a gateway. Thread-safe.
 *
 * <p>The number of time series is bounded: outcomes are a fixed set, and routes are not labels.
 */
final class GatewayMetrics {

  /** Latency bucket bounds, from the goal of a plain call to the longest wait for a stream. */
  private static final Duration[] LATENCY_BUCKETS = {
    Duration.ofMillis(25),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(400),
    Duration.ofMillis(600),
    Duration.ofMillis(1_000),
    Duration.ofMillis(2_000),
    Duration.ofMillis(5_000),
    Duration.ofMillis(15_000)
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<String, Counter> outcomes = new HashMap<>();
  private final Map<String, Counter> interrupted = new HashMap<>();
  private final Map<SlowReaders.Kind, Counter> slowReadersCut =
      new EnumMap<>(SlowReaders.Kind.class);
  private final Map<String, Counter> storeWatches = new HashMap<>();
  private final Map<String, Counter> storeSourceChanges = new HashMap<>();
  private final Counter followersServed =
      counter(
          "bulrushpier.store.followers.served", "Watches of other instances that were answered");
  private final Timer answers = timer("bulrushpier.answer", "Time to the end of an answer");
  private final Timer firstEvents =
      timer("bulrushpier.first.event", "Time to the first event of a stream");
  private final Counter sharedRead =
      counter("bulrushpier.prompt.shared.read", "Shared prompt tokens that an engine has to read");
  private final Counter fetched =
      counter("bulrushpier.prompt.fetched", "Prompt tokens fetched from stores");

  /** Bucket bounds for the delays of timers, from one turn of a connection to a stall. */
  private static final Duration[] DELAY_BUCKETS = {
    Duration.ofMillis(2),
    Duration.ofMillis(5),
    Duration.ofMillis(20),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(250),
    Duration.ofMillis(500),
    Duration.ofMillis(1_000)
  };

  private final Timer loopDelays =
      timer(
          "bulrushpier.loop.delay",
          "Time by which timers of the event loop are late",
          DELAY_BUCKETS);

  private final Counter storeEras =
      counter("bulrushpier.store.eras", "Times that the metadata store came back from a copy");
  private final Counter replicaCrashes =
      counter("bulrushpier.replicas.crashed", "Crashes of replicas that broke off an answer");

  private final Counter evacuationsApplied =
      counter(
          "bulrushpier.requests.kept.evacuated",
          "Requests for which replicas of evacuated failure domains were passed over");

  private final Counter crossings =
      counter("bulrushpier.requests.crossed", "Requests sent to replicas of other failure domains");

  private final Counter withheldFromStarted =
      counter(
          "bulrushpier.cold.withheld",
          "Selections that left out replicas that are cold or have just started");

  private final Counter keptFromCold =
      counter(
          "bulrushpier.requests.kept.cold",
          "Requests for which cold replicas were passed over, as this instance had no seat left");

  private final Counter placedAtCold =
      counter("bulrushpier.cold.placed", "Requests placed at cold replicas");

  private final Counter copies =
      counter("bulrushpier.copies.ordered", "Copies of runs ordered at other replicas");
  private final Counter copiedTokens =
      counter("bulrushpier.copies.tokens", "Tokens of the runs whose copies were ordered");
  private final Counter doubtfulCopies =
      counter(
          "bulrushpier.copies.doubtful",
          "Copies of runs ordered at replicas with an overdue response, as no other had room");
  private final Map<CopyPlacement.Reason, Counter> runsWithoutCopy =
      new EnumMap<>(CopyPlacement.Reason.class);
  private final Map<String, Counter> continuations = new HashMap<>();

  private final Timer outdatedWeights =
      timer(
          "bulrushpier.weights.outdated",
          "Time since the request for newer weights when a generation starts on older ones");

  private Timer timer(String name, String description) {
    return timer(name, description, LATENCY_BUCKETS);
  }

  private Timer timer(String name, String description, Duration[] buckets) {
    return Timer.builder(name)
        .description(description)
        .serviceLevelObjectives(buckets)
        .register(registry);
  }

  private Counter counter(String name, String description) {
    return Counter.builder(name).description(description).register(registry);
  }

  /** Registers a gauge whose value is read at each scrape. */
  void gauge(String name, String description, Supplier<Number> value) {
    Gauge.builder(name, value).description(description).register(registry);
  }

  /** Counts a request by its outcome: answered, refused, denied, failed, cut or left. */
  void outcome(String outcome) {
    outcomes
        .computeIfAbsent(
            outcome,
            name ->
                Counter.builder("bulrushpier.requests")
                    .description("Requests by how they ended")
                    .tag("outcome", name)
                    .register(registry))
        .increment();
  }

  /**
   * Counts a caller's connection that ends within a response.
   *
   * @param reason how the last attempt ended, out of a fixed set
   */
  void interrupted(String reason) {
    interrupted
        .computeIfAbsent(
            reason,
            name ->
                Counter.builder("bulrushpier.answers.interrupted")
                    .description("Connections of callers that ended within a response")
                    .tag("reason", name)
                    .register(registry))
        .increment();
  }

  /**
   * Counts a watch by where it was sent.
   *
   * @param source store or reader
   */
  void storeWatched(String source) {
    storeWatches
        .computeIfAbsent(
            source,
            name ->
                Counter.builder("bulrushpier.store.watches")
                    .description("Watches by where they were sent")
                    .tag("source", name)
                    .register(registry))
        .increment();
  }

  /**
   * Counts a change of the source of watches.
   *
   * @param reason the reason, out of a fixed set
   */
  void storeSourceChanged(String reason) {
    storeSourceChanges
        .computeIfAbsent(
            reason,
            name ->
                Counter.builder("bulrushpier.store.source.changes")
                    .description("Changes of the source of watches")
                    .tag("reason", name)
                    .register(registry))
        .increment();
  }

  void followerServed() {
    followersServed.increment();
  }

  void answered(long millis) {
    answers.record(Duration.ofMillis(millis));
  }

  void firstEvent(long millis) {
    firstEvents.record(Duration.ofMillis(millis));
  }

  /** Records by how much a timer of the event loop was late. */
  void loopDelay(long nanos) {
    loopDelays.record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Counts a generation that starts on weights that have been outdated for the given time. */
  void startedOutdated(long outdatedMillis) {
    outdatedWeights.record(Duration.ofMillis(outdatedMillis));
  }

  void withheldFromStarted() {
    withheldFromStarted.increment();
  }

  /** Counts a request that may not be sent to a cold replica. */
  void keptFromCold() {
    keptFromCold.increment();
  }

  void placedAtCold() {
    placedAtCold.increment();
  }

  void storeEraBegan() {
    storeEras.increment();
  }

  void replicaCrashed() {
    replicaCrashes.increment();
  }

  /** Counts a request that may not be sent to replicas of an evacuated failure domain. */
  void keptFromEvacuated() {
    evacuationsApplied.increment();
  }

  /** Counts an attempt to run a request on a replica of another failure domain. */
  void crossed() {
    crossings.increment();
  }

  void copyOrdered(int tokens, boolean isDoubtful) {
    copies.increment();
    copiedTokens.increment(tokens);
    if (isDoubtful) {
      doubtfulCopies.increment();
    }
  }

  /** Counts a run that gets no copy although its route and its service have copies. */
  void withoutCopy(CopyPlacement.Reason reason) {
    runsWithoutCopy
        .computeIfAbsent(
            reason,
            name ->
                Counter.builder("bulrushpier.copies.omitted")
                    .description("Runs without a copy, by the reason")
                    .tag("reason", name.name().toLowerCase(Locale.ROOT))
                    .register(registry))
        .increment();
  }

  /**
   * Counts a caller that was cut as others need the room of what it has not read.
   *
   * @param kind what it loses
   */
  void slowReaderCut(SlowReaders.Kind kind) {
    slowReadersCut
        .computeIfAbsent(
            kind,
            name ->
                Counter.builder("bulrushpier.slow.readers.cut")
                    .description("Callers that were cut as they read slowly, by what they lost")
                    .tag("kind", name.name().toLowerCase(Locale.ROOT))
                    .register(registry))
        .increment();
  }

  /**
   * Counts a run whose replica was lost.
   *
   * @param outcome continued, refused, failed or impossible
   */
  void continuation(String outcome) {
    continuations
        .computeIfAbsent(
            outcome,
            name ->
                Counter.builder("bulrushpier.continuations")
                    .description("Runs with a copy whose replica was lost, by how they went on")
                    .tag("outcome", name)
                    .register(registry))
        .increment();
  }

  void placed(int sharedPrefillTokens, int fetchedTokens) {
    sharedRead.increment(sharedPrefillTokens);
    fetched.increment(fetchedTokens);
  }

  /** Returns all metrics in the Prometheus text format. */
  String scrape() {
    return registry.scrape();
  }
}
