package org.bulrushpier.rig.load;

import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;

/**
 * Measures goodput below and above the capacity of a site. Goodput counts the answers whose first
 * token arrives within the deadline.
 *
 * <p>Immutable and thread-safe.
 */
final class OverloadBenchmark {

  private static final double[] CAPACITY_FACTORS = {0.5, 1, 2, 4};
  private static final int DURATION_SECONDS = 25;
  private static final long WARM_UP_MILLIS = 6_000;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final int PROMPT_WORDS = 1_500;
  private static final int ENGINES = 3;
  private static final double PREFILL_TOKENS_PER_SECOND = 8_000;

  private final long seed;

  OverloadBenchmark(long seed) {
    this.seed = seed;
  }

  /** The results at one multiple of the capacity. */
  record Row(
      double factor,
      double offeredPerSecond,
      double goodPerSecond,
      ChatLoadGenerator.Results chats) {}

  List<Row> run() {
    double capacity = ENGINES * PREFILL_TOKENS_PER_SECOND / (PROMPT_WORDS + 100) * 0.8;
    List<Row> rows = new ArrayList<>();
    for (double factor : CAPACITY_FACTORS) {
      rows.add(measure(factor, capacity * factor));
    }
    return rows;
  }

  private Row measure(double factor, double perSecond) {
    Workload.Parameters parameters =
        new Workload.Parameters(
            DURATION_SECONDS, perSecond, 4, 60, PROMPT_WORDS, PROMPT_WORDS, 1, 5_000, 5_000, 30);
    SitePlan plan =
        SitePlan.small().withEntries(3).withUpstreams(ENGINES, 1, 1).withCustomers(4, 1_000);
    try (Site site = Site.start(plan.withDeadline(DEADLINE_MILLIS))) {
      ChatLoadGenerator load =
          new ChatLoadGenerator(site, Workload.of(parameters, seed), WARM_UP_MILLIS, t -> true);
      load.setDeadline(DEADLINE_MILLIS);
      load.run();
      ChatLoadGenerator.Results results = load.results();
      double seconds = DURATION_SECONDS - WARM_UP_MILLIS / 1_000.0;
      return new Row(
          factor, Rounded.of(perSecond), Rounded.of(results.inDeadline() / seconds), results);
    }
  }
}
