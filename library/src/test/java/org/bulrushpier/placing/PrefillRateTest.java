package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

class PrefillRateTest {

  private final PrefillRate rate = new PrefillRate();
  private final Random random = new Random(1);

  private void sampleEngine(int count, double startMillis, double tokensPerMilli) {
    for (int i = 0; i < count; i++) {
      int tokens = random.nextInt(10) < 7 ? random.nextInt(800) : random.nextInt(12_000);
      rate.sample(tokens, Math.round(startMillis + tokens / tokensPerMilli));
    }
  }

  /** The fixed time must not be taken for prefill: it would make the rate of short prompts low. */
  @Test
  void separatesFixedTimeFromRate() {
    sampleEngine(300, 110, 70);

    assertThat(rate.tokensPerMilli()).isCloseTo(70, Offset.offset(4.0));
    assertThat(rate.startMillis()).isCloseTo(110, Offset.offset(4.0));
  }

  @Test
  void samplesWithoutDurationAreIgnored() {
    final double before = rate.tokensPerMilli();
    for (int i = 0; i < 100; i++) {
      rate.sample(8_000, 0);
      rate.sample(-1, 100);
      rate.sample(100, 60_000);
    }

    assertThat(rate.tokensPerMilli()).isEqualTo(before);
  }

  @Test
  void shortPromptsAloneHardlyChangeRate() {
    for (int i = 0; i < 1_000; i++) {
      rate.sample(100, 100);
    }

    assertThat(rate.tokensPerMilli()).isBetween(20.0, 80.0);
    assertThat(rate.millis(0)).isZero();
  }

  @Test
  void followsEngineThatBecomesSlower() {
    sampleEngine(300, 60, 120);
    sampleEngine(300, 60, 30);

    assertThat(rate.tokensPerMilli()).isCloseTo(30, Offset.offset(3.0));
  }
}
