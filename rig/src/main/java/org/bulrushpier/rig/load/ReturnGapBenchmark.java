package org.bulrushpier.rig.load;

import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;

/**
 * Measures conversations whose turns are further apart than their context stays in an engine's
 * cache.
 *
 * <p>Immutable and thread-safe.
 */
final class ReturnGapBenchmark {

  private static final List<String> POLICIES =
      List.of("round-robin", "least-load", "consistent-hash", "prefix-affinity", "least-cost");
  private static final long WARM_UP_MILLIS = 15_000;
  private static final long PREFILL_TOKENS_PER_SECOND = 8_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double STARTS_PER_SECOND_PER_ENGINE = 0.4;

  private final SitePlan plan;
  private final long seed;
  private final int seconds;
  private final boolean isInjectingFaults;

  ReturnGapBenchmark(SitePlan plan, long seed, int seconds, boolean isInjectingFaults) {
    this.plan = plan;
    this.seed = seed;
    this.seconds = seconds;
    this.isInjectingFaults = isInjectingFaults;
  }

  /** The results of one routing policy. */
  record Row(String policy, ChatLoadGenerator.Results chats, LinkMonitor.Usage links) {}

  /**
   * The results of all policies and the lower bounds that apply to each of them: the share of
   * prompt tokens that must be computed, and the time in milliseconds that an idle engine takes to
   * compute those of the arrival at the 95th percentile.
   */
  record Report(int arrivals, double unseenShare, long leastFirstTokenP95, List<Row> rows) {}

  Report run(String policy) throws InterruptedException {
    Workload.Parameters parameters =
        new Workload.Parameters(
            seconds,
            plan.engines() * STARTS_PER_SECOND_PER_ENGINE,
            plan.customers(),
            600,
            300,
            4_000,
            4,
            8_000,
            8_000,
            40);
    Workload workload = Workload.of(parameters, seed);
    List<Row> rows = new ArrayList<>();
    for (String name : policy.equals("all") ? POLICIES : List.of(policy)) {
      rows.add(measure(name, workload));
    }
    Workload.Unseen unseen = workload.unseen(WARM_UP_MILLIS);
    long leastMillis = unseen.tokensP95() * MILLIS_PER_SECOND / PREFILL_TOKENS_PER_SECOND;
    return new Report(workload.turns().size(), Rounded.of(unseen.share()), leastMillis, rows);
  }

  private Row measure(String policy, Workload workload) throws InterruptedException {
    try (Site site = Site.start(plan.withPolicy(policy))) {
      LinkMonitor monitor = LinkMonitor.start(site, plan.stores(), plan.linkBytesPerSecond());
      ChatLoadGenerator load = new ChatLoadGenerator(site, workload, WARM_UP_MILLIS, turn -> true);
      Thread faults = Thread.ofVirtual().unstarted(() -> injectFaults(site));
      if (isInjectingFaults) {
        faults.start();
      }
      load.run();
      return new Row(policy, load.results(), monitor.stop());
    }
  }

  /**
   * Half-way through the run, kills one store and reduces the other's link to a tenth of its
   * bandwidth.
   */
  private void injectFaults(Site site) {
    Faults.sleep(seconds * 500L);
    site.signal("store-1", "KILL");
    site.setFault("store-2", "link-slowdown", 10);
  }
}
