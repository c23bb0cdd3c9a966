package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ResponseTimeoutTest {

  private static final long SENT = 10_000;

  @Test
  void callTimesOutAfterTwiceTheGoalAtUpstreamThatNeverAnswers() {
    ResponseTimeout timeout = ResponseTimeout.of(100, 600);

    assertThat(timeout.isExpired(SENT, SENT - 50, SENT + 1_200)).isFalse();
    assertThat(timeout.isExpired(SENT, SENT - 50, SENT + 1_201)).isTrue();
  }

  @Test
  void callDoesNotTimeOutWithinItsPredictedWait() {
    assertThat(ResponseTimeout.of(900, 600).isExpired(SENT, SENT, SENT + 1_500)).isFalse();
  }

  /**
   * A busy engine answers other calls every 200 ms while 40 calls wait 1.5 s each. Timing out would
   * send them twice and add load.
   */
  @Test
  void callsAtBusyEngineThatAnswersOthersAreNotSentAgain() {
    ResponseTimeout timeout = ResponseTimeout.of(300, 600);
    int timedOut = 0;
    for (int call = 0; call < 40; call++) {
      long sent = SENT + call * 50L;
      for (long now = sent; now < sent + 1_500; now += 25) {
        long lastActivity = now - now % 200;
        if (timeout.isExpired(sent, lastActivity, now)) {
          timedOut++;
          break;
        }
      }
    }
    assertThat(timedOut).isZero();
  }

  @Test
  void callTimesOutIfItsAnswerIsLostAtLiveEngine() {
    assertThat(ResponseTimeout.of(300, 600).isExpired(SENT, SENT + 1_900, SENT + 1_901)).isTrue();
  }
}
