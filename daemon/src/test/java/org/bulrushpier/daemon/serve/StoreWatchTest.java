package org.bulrushpier.daemon.serve;

import static org.assertj.core.api.Assertions.assertThat;

import org.bulrushpier.Moment;
import org.junit.jupiter.api.Test;

class StoreWatchTest {

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }

  @Test
  void emptyWatchProvesTheStateUntilTheEndOfItsWait() {
    assertThat(StoreWatch.provenAt(true, 3_000, at(1_000), at(4_005))).isEqualTo(at(4_000));
    assertThat(StoreWatch.provenAt(true, 0, at(1_000), at(1_005))).isEqualTo(at(1_000));
  }

  @Test
  void watchThatWasCutOffOrReturnedChangesProvesTheStateOnlyWhenItWasSent() {
    assertThat(StoreWatch.provenAt(true, 3_000, at(1_000), at(2_500))).isEqualTo(at(1_000));
    assertThat(StoreWatch.provenAt(false, 3_000, at(1_000), at(4_200))).isEqualTo(at(1_000));
  }

  @Test
  void stepOfTheTimeOfDayDoesNotMakeAnEarlyAnswerWhole() {
    Moment received = new Moment(1_200, 6_200);
    assertThat(StoreWatch.provenAt(true, 3_000, at(1_000), received)).isEqualTo(at(1_000));
  }
}
