package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallerPatienceTest {

  private static final long LAST_EVENT = 10_000;

  private static void assertExhaustedAfter(long millis, CallerPatience patience) {
    assertThat(patience.isExhausted(LAST_EVENT, LAST_EVENT + millis - 1)).isFalse();
    assertThat(patience.isExhausted(LAST_EVENT, LAST_EVENT + millis)).isTrue();
  }

  @Test
  void longestOfThreeTimesCounts() {
    assertExhaustedAfter(2_000, CallerPatience.of(300, 0));
    assertExhaustedAfter(2_400, CallerPatience.of(600, 200));
    assertExhaustedAfter(4_000, CallerPatience.of(600, 500));
  }
}
