package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReplicaClockTest {

  private final ReplicaClock clock = new ReplicaClock();

  @Test
  void withoutSampleNothingIsKnown() {
    assertThat(clock.at(100, 100)).isEmpty();
  }

  @Test
  void answerWithTheShortestDelayIsUsed() {
    clock.sample(5_000, 1_080);
    clock.sample(5_100, 1_102);
    clock.sample(5_200, 1_400);

    assertThat(clock.at(2_000, 1_500)).hasValue(5_998);
  }

  /** The local clock stands still while the instance is suspended. */
  @Test
  void firstSampleAfterSuspensionCorrectsTheEstimate() {
    clock.sample(5_000, 1_000);
    clock.sample(9_100, 1_100);

    assertThat(clock.at(1_200, 1_200)).hasValue(9_200);
  }

  @Test
  void oldSamplesExpire() {
    clock.sample(5_000, 1_000);

    assertThat(clock.at(0, 1_000 + 2 * ReplicaClock.WINDOW_MILLIS)).isEmpty();
  }

  @Test
  void negativeTimesAreIgnored() {
    assertThat(clock.sample(-1, 1_000)).isFalse();
    assertThat(clock.at(1_000, 1_000)).isEmpty();
  }
}
