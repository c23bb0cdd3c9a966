package org.bulrushpier.rig.load;

import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;

/**
 * Measures whether an overload by one customer affects the latency of the other customers.
 *
 * <p>Immutable and thread-safe.
 */
final class IsolationBenchmark {

  private static final int DURATION_SECONDS = 40;
  private static final long WARM_UP_MILLIS = 8_000;
  private static final int CUSTOMERS = 6;
  private static final int LIMIT_PER_SECOND = 20;
  private static final int NOISY_FACTOR = 10;
  private static final int NOISY_CUSTOMER = CUSTOMERS;

  private final SitePlan plan;
  private final long seed;

  IsolationBenchmark(SitePlan plan, long seed) {
    this.plan = plan.withCustomers(CUSTOMERS, LIMIT_PER_SECOND);
    this.seed = seed;
  }

  /**
   * The results of the other customers without ({@code quiet}) and with the noisy customer ({@code
   * noisy}), the ratio of their p95 ({@code noisy} to {@code quiet}), and the noisy customer's
   * admitted rate, its rate limit and the ratio of the two.
   */
  record Report(
      ChatLoadGenerator.Results quiet,
      ChatLoadGenerator.Results noisy,
      double firstTokenP95Ratio,
      double admittedPerSecond,
      int limitPerSecond,
      double admittedToLimit) {}

  Report run() {
    Workload otherCustomers = workload(CUSTOMERS - 1, 12.0, seed, 0);
    final ChatLoadGenerator.Results quiet = runLoad(otherCustomers, turn -> true);
    Workload noisyCustomer =
        workload(1, LIMIT_PER_SECOND * NOISY_FACTOR, seed + 1, NOISY_CUSTOMER - 1);
    List<Workload.Turn> allTurns = new ArrayList<>(otherCustomers.turns());
    allTurns.addAll(noisyCustomer.turns());
    allTurns.sort(java.util.Comparator.comparingLong(Workload.Turn::atMillis));
    List<ChatLoadGenerator> loads = new ArrayList<>();
    try (Site site = Site.start(plan)) {
      loads.add(new ChatLoadGenerator(site, otherCustomers, WARM_UP_MILLIS, turn -> true));
      loads.add(new ChatLoadGenerator(site, noisyCustomer, WARM_UP_MILLIS, turn -> true));
      List<Thread> threads = loads.stream().map(l -> Thread.ofVirtual().start(l::run)).toList();
      for (Thread thread : threads) {
        thread.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    ChatLoadGenerator.Results noisy = loads.get(0).results();
    double seconds = DURATION_SECONDS - WARM_UP_MILLIS / 1_000.0;
    double admitted = loads.get(1).results().answered() / seconds;
    return new Report(
        quiet,
        noisy,
        Rounded.of((double) noisy.firstTokenP95() / Math.max(1, quiet.firstTokenP95())),
        Rounded.of(admitted),
        LIMIT_PER_SECOND,
        Rounded.of(admitted / LIMIT_PER_SECOND));
  }

  private ChatLoadGenerator.Results runLoad(
      Workload workload, java.util.function.Predicate<Workload.Turn> isMeasured) {
    try (Site site = Site.start(plan)) {
      ChatLoadGenerator load = new ChatLoadGenerator(site, workload, WARM_UP_MILLIS, isMeasured);
      load.run();
      return load.results();
    }
  }

  private static Workload workload(
      int customers, double startsPerSecond, long seed, int customerOffset) {
    Workload.Parameters parameters =
        new Workload.Parameters(
            DURATION_SECONDS, startsPerSecond, customers, 300, 100, 600, 1, 5_000, 5_000, 40);
    List<Workload.Turn> turns =
        Workload.of(parameters, seed).turns().stream()
            .map(
                t ->
                    new Workload.Turn(
                        t.atMillis(),
                        t.customer() + customerOffset,
                        t.entry(),
                        t.messages(),
                        t.answerTokens(),
                        t.isReturning()))
            .toList();
    return new Workload(turns);
  }
}
