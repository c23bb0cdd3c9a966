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
 * Measures what a dead or hanging service costs prompts, and how often it is tried.
 *
 * <p>Immutable and thread-safe.
 */
final class ServiceDown {

  private static final int SECONDS = 30;
  private static final long WARM_UP_MILLIS = 6_000;
  private static final int CALLS_PER_SECOND = 40;
  private static final long LONGEST_MILLIS = 60_000;
  private static final double NANOS_PER_MILLI = 1e6;

  private final SitePlan plan;
  private final long seed;

  ServiceDown(SitePlan plan, long seed) {
    this.plan = plan;
    this.seed = seed;
  }

  /** The figures of one state of the service; tries count calls that reached a replica. */
  record Row(
      String state,
      ChatLoad.Figures chats,
      double firstTokenP95Ratio,
      long serviceCalls,
      long serviceDone,
      double triesPerCall,
      long serviceP95) {}

  List<Row> run() throws InterruptedException {
    List<Row> rows = new ArrayList<>();
    Row healthy = row("healthy", 1);
    rows.add(healthy);
    long base = Math.max(1, healthy.chats().firstTokenP95());
    rows.add(row("dead", base));
    rows.add(row("hanging", base));
    return rows;
  }

  private Row row(String state, long base) throws InterruptedException {
    Workload.Shape shape = new Workload.Shape(SECONDS, 6, 4, 300, 100, 800, 1, 5_000, 5_000, 40);
    try (Site site = Site.start(plan)) {
      disturb(site, state);
      ChatLoad load = new ChatLoad(site, Workload.of(shape, seed), WARM_UP_MILLIS, turn -> true);
      Thread chats = Thread.ofVirtual().start(load::run);
      Histogram latency = new ConcurrentHistogram(LONGEST_MILLIS, 3);
      AtomicLong done = new AtomicLong();
      long calls = callServices(site, latency, done);
      chats.join();
      ChatLoad.Figures figures = load.figures();
      return new Row(
          state,
          figures,
          Rounded.of(state.equals("healthy") ? 1 : (double) figures.firstTokenP95() / base),
          calls,
          done.get(),
          Rounded.of((double) tries(site, state) / calls),
          latency.getValueAtPercentile(95));
    }
  }

  private void disturb(Site site, String state) {
    for (int i = 1; i <= plan.services(); i++) {
      if (state.equals("dead")) {
        site.signal("records-" + i, "KILL");
      } else if (state.equals("hanging")) {
        site.fault("records-" + i, "slow-ms", LONGEST_MILLIS);
      }
    }
  }

  private long callServices(Site site, Histogram latency, AtomicLong done)
      throws InterruptedException {
    Random random = new Random(seed);
    List<Thread> threads = new ArrayList<>();
    long begun = System.nanoTime();
    for (double at = 0; at < SECONDS * 1_000.0; ) {
      long due = begun + (long) (at * NANOS_PER_MILLI);
      Faults.sleep((long) ((due - System.nanoTime()) / NANOS_PER_MILLI));
      String entry = site.entries().get(random.nextInt(site.entries().size()));
      threads.add(Thread.ofVirtual().start(() -> look(site, entry, due, latency, done)));
      at += -Math.log(1 - random.nextDouble()) / CALLS_PER_SECOND * 1_000;
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return threads.size();
  }

  private static void look(Site site, String entry, long due, Histogram latency, AtomicLong done) {
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
    long took = Math.round((System.nanoTime() - due) / NANOS_PER_MILLI);
    latency.recordValue(Math.min(LONGEST_MILLIS, Math.max(0, took)));
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
