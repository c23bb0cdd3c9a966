package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StallDetectorTest {

  private final StallDetector detector = new StallDetector();

  @Test
  void regularTicksAreNoStall() {
    for (long now = 5_000; now < 7_000; now += 25) {
      assertThat(detector.tick(now)).isZero();
      assertThat(detector.isRecovering(now)).isFalse();
    }
  }

  @Test
  void silenceProvesNothingRightAfterStall() {
    detector.tick(5_000);

    assertThat(detector.tick(8_000)).isEqualTo(3_000);
    assertThat(detector.isRecovering(8_000)).isTrue();
    assertThat(detector.tick(8_025)).isZero();
    assertThat(detector.isRecovering(8_025)).isTrue();
    assertThat(detector.isRecovering(9_000)).isFalse();
  }
}
