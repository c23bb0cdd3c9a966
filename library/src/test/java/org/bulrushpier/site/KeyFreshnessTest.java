package org.bulrushpier.site;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class KeyFreshnessTest {

  private static final long REVOCATION = 5_000;

  private final KeyFreshness freshness = KeyFreshness.of(REVOCATION);

  /**
   * Watch requests follow one another, each answered 150 ms after its wait has ended, as in normal
   * operation.
   */
  @Test
  void instanceStaysReadyWhileWatchesEndInTime() {
    long latencyMillis = 150;
    long confirmedAt = 0;
    for (long sentAt = 0; sentAt < 60_000; sentAt += freshness.watchMillis() + latencyMillis) {
      long endsAt = sentAt + freshness.watchMillis() + latencyMillis;
      assertThat(freshness.isReady(endsAt - confirmedAt)).isTrue();
      confirmedAt = sentAt;
    }
  }

  @Test
  void keysAreAcceptedAfterOneLostWatch() {
    long lostMillis = freshness.watchMillis() + 700;
    long probeMillis = 600;

    assertThat(freshness.mayAcceptKeys(freshness.watchMillis() + lostMillis + probeMillis))
        .isTrue();
  }

  @Test
  void keysAreRejectedOnceOneCouldHaveBeenRevoked() {
    assertThat(freshness.mayAcceptKeys(4_600)).isTrue();
    assertThat(freshness.mayAcceptKeys(4_601)).isFalse();
    assertThat(freshness.mayAcceptKeys(Long.MAX_VALUE)).isFalse();
    assertThat(freshness.isReady(3_000)).isFalse();
  }
}
