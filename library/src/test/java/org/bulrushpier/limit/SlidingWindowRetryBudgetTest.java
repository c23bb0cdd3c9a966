package org.bulrushpier.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class SlidingWindowRetryBudgetTest {

  private static final long WINDOW_MILLIS = 10_000;
  private static final double RATIO = 0.2;
  private static final double MINIMUM = 6;

  /**
   * Each step is the time to the next event: a first attempt if it is even, a retry if it is odd.
   */
  @Property
  void retriesStayWithinBudgetInEveryWindow(
      @ForAll @Size(max = 300) List<@IntRange(max = 400) Integer> steps) {
    SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.of(RATIO, MINIMUM, WINDOW_MILLIS);
    List<Long> firstAttempts = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      now += step;
      if (step % 2 == 0) {
        budget.recordFirstAttempt(now);
        firstAttempts.add(now);
      } else if (budget.tryRetry(now)) {
        retries.add(now);
        long start = now - WINDOW_MILLIS;
        long firstAttemptCount = firstAttempts.stream().filter(time -> time > start).count();
        long retryCount = retries.stream().filter(time -> time > start).count();
        assertThat((double) retryCount).isLessThanOrEqualTo(RATIO * firstAttemptCount + MINIMUM);
      }
    }
  }

  /**
   * A site with more instances than assumed once spent more than the minimum: 1,514 retries in 10 s
   * where 1,497 were allowed.
   */
  @Property
  void sharesOfAllInstancesStayWithinMinimumOfSite(
      @ForAll @IntRange(min = 1, max = 400) int count) {
    double minimum = 216;
    int retries = 0;
    int firstAttempts = 0;
    for (int i = 0; i < count; i++) {
      SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.of(RATIO, 0, WINDOW_MILLIS);
      budget.minimum(SlidingWindowRetryBudget.minimumShare(minimum, count));
      for (int request = 0; request < 37; request++) {
        budget.recordFirstAttempt(request);
        firstAttempts++;
      }
      while (budget.tryRetry(100)) {
        retries++;
      }
    }
    assertThat((double) retries).isLessThanOrEqualTo(RATIO * firstAttempts + minimum);
  }
}
