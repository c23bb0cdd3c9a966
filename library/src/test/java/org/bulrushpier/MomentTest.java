package org.bulrushpier;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MomentTest {

  @Test
  void ageIncludesTimeDuringWhichHostWasSuspended() {
    Moment before = new Moment(1_000, 50_000);
    Moment afterSuspension = new Moment(1_100, 57_100);

    assertThat(before.ageMillis(afterSuspension)).isEqualTo(7_100);
  }

  @Test
  void ageIsNotUnderstatedWhenWallClockStepsBack() {
    Moment before = new Moment(1_000, 50_000);
    Moment afterStep = new Moment(4_000, 48_000);

    assertThat(before.ageMillis(afterStep)).isEqualTo(3_000);
  }

  @Test
  void ageIsNeverNegative() {
    assertThat(new Moment(5, 5).ageMillis(new Moment(5, 1))).isZero();
  }
}
