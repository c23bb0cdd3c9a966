package org.bulrushpier.rig.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.service.ServiceFake;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;

/**
 * Measures how a dead or hanging service affects the latency of prompts, and how often it is
 * called.
 *
 * <p>Immutable and thread-safe.
 */
final class ServiceOutageBenchmark {

  private static final int DURATION_SECONDS = 30;
  private static final long WARM_UP_MILLIS = 6_000;
  private static final int CALLS_PER_SECOND = 40;
  private static final long MAX_LATENCY_MILLIS = 60_000;
  private static final double NANOS_PER_MILLI = 1e6;

  private final SitePlan plan;
  private final long seed;

  ServiceOutageBenchmark(SitePlan plan, long seed) {
    this.plan = plan;
    this.seed = seed;
  }

  /**
   * The results for one state of the service, with latencies in milliseconds. Tries count the calls
   * that reached a replica.
   */
  record Row(
      String state,
      ChatLoadGenerator.Results chats,
      double firstTokenP95Ratio,
      long serviceCalls,
      long serviceDone,
      double triesPerCall,
      long serviceP95) {}

  List<Row> run() throws InterruptedException {
    List<Row> rows = new ArrayList<>();
    Row healthy = measure("healthy", 1);
    rows.add(healthy);
    long healthyP95 = Math.max(1, healthy.chats().firstTokenP95());
    rows.add(measure("dead", healthyP95));
    rows.add(measure("hanging", healthyP95));
    return rows;
  }

  private Row measure(String state, long healthyP95) throws InterruptedException {
    Workload.Parameters parameters =
        new Workload.Parameters(DURATION_SECONDS, 6, 4, 300, 100, 800, 1, 5_000, 5_000, 40);
    try (Site site = Site.start(plan)) {
      injectFault(site, state);
      ChatLoadGenerator load =
          new ChatLoadGenerator(site, Workload.of(parameters, seed), WARM_UP_MILLIS, turn -> true);
      Thread chats = Thread.ofVirtual().start(load::run);
      Histogram latency = new ConcurrentHistogram(MAX_LATENCY_MILLIS, 3);
      AtomicLong done = new AtomicLong();
      long calls = callServices(site, latency, done);
      chats.join();
      ChatLoadGenerator.Results results = load.results();
      return new Row(
          state,
          results,
          Rounded.of(state.equals("healthy") ? 1 : (double) results.firstTokenP95() / healthyP95),
          calls,
          done.get(),
          Rounded.of((double) tries(site, state) / calls),
          latency.getValueAtPercentile(95));
    }
  }

  private void injectFault(Site site, String state) {
    for (int i = 1; i <= plan.services(); i++) {
      if (state.equals("dead")) {
        site.signal("records-" + i, "KILL");
      } else if (state.equals("hanging")) {
        site.setFault("records-" + i, "slow-ms", MAX_LATENCY_MILLIS);
      }
    }
  }

  private long callServices(Site site, Histogram latency, AtomicLong done)
      throws InterruptedException {
    Random random = new Random(seed);
    List<Thread> threads = new ArrayList<>();
    long startNanos = System.nanoTime();
    for (double offsetMillis = 0; offsetMillis < DURATION_SECONDS * 1_000.0; ) {
      long intendedNanos = startNanos + (long) (offsetMillis * NANOS_PER_MILLI);
      Faults.sleep((long) ((intendedNanos - System.nanoTime()) / NANOS_PER_MILLI));
      String entry = site.entries().get(random.nextInt(site.entries().size()));
      threads.add(
          Thread.ofVirtual().start(() -> readFrame(site, entry, intendedNanos, latency, done)));
      offsetMillis += -Math.log(1 - random.nextDouble()) / CALLS_PER_SECOND * 1_000;
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return threads.size();
  }

  private static void readFrame(
      Site site, String entry, long intendedNanos, Histogram latency, AtomicLong done) {
    OutgoingCall call =
        OutgoingCall.get(site.address(entry), "/services/records/frames/1")
            .withHeader("Authorization", "Bearer " + Site.customerKey(1));
    try {
      if (site.caller().call(call).isOk()) {
        done.incrementAndGet();
      }
    } catch (CallFailedException e) {
      return;
    }
    long latencyMillis = Math.round((System.nanoTime() - intendedNanos) / NANOS_PER_MILLI);
    latency.recordValue(Math.min(MAX_LATENCY_MILLIS, Math.max(0, latencyMillis)));
  }

  private long tries(Site site, String state) {
    if (state.equals("dead")) {
      return 0;
    }
    long tries = 0;
    for (int i = 1; i <= plan.services(); i++) {
      ServiceFake.Arrivals arrivals =
          site.read("records-" + i, "/arrivals", ServiceFake.Arrivals.class);
      tries += arrivals.count();
    }
    return tries;
  }
}
