package org.bulrushpier.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class RetryAllowanceTest {

  private static final long WINDOW = 10_000;
  private static final double RATIO = 0.2;
  private static final double MINIMUM = 6;

  /** Steps are times between events; even ones are first tries, odd ones wanted repeats. */
  @Property
  void repeatsStayWithinTheirShareInEveryWindow(
      @ForAll @Size(max = 300) List<@IntRange(max = 400) Integer> steps) {
    RetryAllowance allowance = RetryAllowance.of(RATIO, MINIMUM, WINDOW);
    List<Long> firstTries = new ArrayList<>();
    List<Long> repeats = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      now += step;
      if (step % 2 == 0) {
        allowance.firstTry(now);
        firstTries.add(now);
      } else if (allowance.tryRepeat(now)) {
        repeats.add(now);
        long start = now - WINDOW;
        long tries = firstTries.stream().filter(time -> time > start).count();
        long again = repeats.stream().filter(time -> time > start).count();
        assertThat((double) again).isLessThanOrEqualTo(RATIO * tries + MINIMUM);
      }
    }
  }
}
