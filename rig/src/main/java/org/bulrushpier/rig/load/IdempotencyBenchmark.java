package org.bulrushpier.rig.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.bulrushpier.Hash;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.service.ServiceFake;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;

/**
 * Measures the cost of idempotency keys: platform writes per call, added latency and calls that a
 * service executed more than once.
 *
 * <p>Immutable and thread-safe.
 */
final class IdempotencyBenchmark {

  private static final int[] CALLS_PER_SECOND = {50, 200};
  private static final int DURATION_SECONDS = 20;
  private static final double REPEATED_SHARE = 0.05;
  private static final long MAX_LATENCY_MILLIS = 60_000;
  private static final double NANOS_PER_MILLI = 1e6;

  private final SitePlan plan;
  private final long seed;

  IdempotencyBenchmark(SitePlan plan, long seed) {
    this.plan = plan;
    this.seed = seed;
  }

  /** The results at one call rate, with latencies in milliseconds. */
  record Row(
      int callsPerSecond,
      boolean isKeyed,
      long calls,
      long notDone,
      double platformWritesPerCall,
      long p50,
      long p95,
      long runTwice) {}

  List<Row> run() {
    List<Row> rows = new ArrayList<>();
    for (int callsPerSecond : CALLS_PER_SECOND) {
      rows.add(measure(callsPerSecond, false));
      rows.add(measure(callsPerSecond, true));
    }
    return rows;
  }

  private record PlatformCounts(long reads, long writes) {}

  private Row measure(int callsPerSecond, boolean isKeyed) {
    try (Site site = Site.start(plan)) {
      Histogram latency = new ConcurrentHistogram(MAX_LATENCY_MILLIS, 3);
      AtomicLong notDone = new AtomicLong();
      warmUp(site, isKeyed);
      long writesBefore = site.read("platform", "/counts", PlatformCounts.class).writes();
      long calls = runLoad(site, callsPerSecond, isKeyed, latency, notDone);
      long writes = site.read("platform", "/counts", PlatformCounts.class).writes() - writesBefore;
      return new Row(
          callsPerSecond,
          isKeyed,
          calls,
          notDone.get(),
          Rounded.of((double) writes / calls),
          latency.getValueAtPercentile(50),
          latency.getValueAtPercentile(95),
          countRepeatedExecutions(site));
    }
  }

  private static void warmUp(Site site, boolean isKeyed) {
    for (int i = 0; i < 40; i++) {
      String entry = site.entries().get(i % site.entries().size());
      call(site, entry, "warm-up-" + i, isKeyed);
    }
  }

  private long runLoad(
      Site site, int callsPerSecond, boolean isKeyed, Histogram latency, AtomicLong notDone) {
    Random random = new Random(seed);
    List<Thread> threads = new ArrayList<>();
    long startNanos = System.nanoTime();
    double offsetMillis = 0;
    int nextDefect = 0;
    while (offsetMillis < DURATION_SECONDS * 1_000.0) {
      long intendedNanos = startNanos + (long) (offsetMillis * NANOS_PER_MILLI);
      Faults.sleep((long) ((intendedNanos - System.nanoTime()) / NANOS_PER_MILLI));
      boolean isRepeat = isKeyed && nextDefect > 0 && random.nextDouble() < REPEATED_SHARE;
      String defect = "defect-" + (isRepeat ? random.nextInt(nextDefect) : nextDefect++);
      String entry = site.entries().get(random.nextInt(site.entries().size()));
      threads.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    if (!call(site, entry, defect, isKeyed)) {
                      notDone.incrementAndGet();
                    }
                    long latencyMillis =
                        Math.round((System.nanoTime() - intendedNanos) / NANOS_PER_MILLI);
                    latency.recordValue(Math.min(MAX_LATENCY_MILLIS, Math.max(0, latencyMillis)));
                  }));
      offsetMillis += -Math.log(1 - random.nextDouble()) / callsPerSecond * 1_000;
    }
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return threads.size();
  }

  private static boolean call(Site site, String entry, String defect, boolean isKeyed) {
    OutgoingCall call =
        OutgoingCall.of("POST", site.address(entry), "/services/records/defects")
            .withHeader("Authorization", "Bearer " + Site.customerKey(1))
            .withBody("text/plain", Hash.utf8(defect));
    try {
      Reply reply = site.caller().call(isKeyed ? call.withHeader("Idempotency-Key", defect) : call);
      return reply.isOk();
    } catch (CallFailedException e) {
      return false;
    }
  }

  private long countRepeatedExecutions(Site site) {
    Map<String, Integer> executionsByBody = new TreeMap<>();
    for (int i = 1; i <= plan.services(); i++) {
      Arrays.stream(site.read("records-" + i, "/record", ServiceFake.Execution[].class))
          .filter(execution -> execution.method().equals("POST"))
          .forEach(execution -> executionsByBody.merge(execution.body(), 1, Integer::sum));
    }
    return executionsByBody.values().stream().filter(times -> times > 1).count();
  }
}
