package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

class PrefillRateTest {

  @Test
  void ignoresSamplesWithLittlePrefill() {
    PrefillRate rate = new PrefillRate();
    double before = rate.tokensPerMilli();
    for (int i = 0; i < 100; i++) {
      rate.sample(100, 100);
      rate.sample(8_000, 0);
    }
    assertThat(rate.tokensPerMilli()).isEqualTo(before);

    for (int i = 0; i < 200; i++) {
      rate.sample(8_000, 100);
    }

    assertThat(rate.tokensPerMilli()).isCloseTo(80, Offset.offset(1.0));
    assertThat(rate.millis(800)).isCloseTo(10, Offset.offset(0.2));
  }
}
