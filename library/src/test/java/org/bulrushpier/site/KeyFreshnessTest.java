package org.bulrushpier.site;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class KeyFreshnessTest {

  private static final long REVOCATION = 5_000;

  private final KeyFreshness freshness = KeyFreshness.of(REVOCATION);

  /** A calm day: watches follow each other, each answered a little after its wait. */
  @Test
  void instanceStaysReadyWhileWatchesEndInTime() {
    long answer = 150;
    long proof = 0;
    for (long sent = 0; sent < 60_000; sent += freshness.watchMillis() + answer) {
      long ends = sent + freshness.watchMillis() + answer;
      assertThat(freshness.isReady(ends - proof)).isTrue();
      proof = sent;
    }
  }

  @Test
  void oneLostWatchDoesNotEndTheHonouringOfKeys() {
    long lost = freshness.watchMillis() + 700;
    long probe = 600;

    assertThat(freshness.isHonoured(freshness.watchMillis() + lost + probe)).isTrue();
  }

  @Test
  void keysAreNotHonouredOnceOneCouldHaveBeenTakenAway() {
    assertThat(freshness.isHonoured(4_600)).isTrue();
    assertThat(freshness.isHonoured(4_601)).isFalse();
    assertThat(freshness.isHonoured(Long.MAX_VALUE)).isFalse();
    assertThat(freshness.isReady(3_000)).isFalse();
  }
}
