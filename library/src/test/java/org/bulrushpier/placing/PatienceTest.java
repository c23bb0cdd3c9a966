package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PatienceTest {

  private static final long SENT = 10_000;

  @Test
  void upstreamThatSaysNothingIsGivenUpAfterTwiceTheGoal() {
    Patience patience = Patience.of(100, 600);

    assertThat(patience.isOver(SENT, SENT - 50, SENT + 1_200)).isFalse();
    assertThat(patience.isOver(SENT, SENT - 50, SENT + 1_201)).isTrue();
  }

  @Test
  void callThatIsPredictedToWaitIsLeftToWait() {
    assertThat(Patience.of(900, 600).isOver(SENT, SENT, SENT + 1_500)).isFalse();
  }

  /** Busy engines: 40 calls wait 1.5 s each while the engine goes on answering others. */
  @Test
  void callsAtBusyEngineThatAnswersOthersAreNotSentTwice() {
    Patience patience = Patience.of(300, 600);
    int sentAgain = 0;
    for (int call = 0; call < 40; call++) {
      long sent = SENT + call * 50L;
      for (long now = sent; now < sent + 1_500; now += 25) {
        long heard = now - now % 200;
        if (patience.isOver(sent, heard, now)) {
          sentAgain++;
          break;
        }
      }
    }
    assertThat(sentAgain).isZero();
  }

  @Test
  void lostAnswerOfLivingEngineIsStillMadeGood() {
    assertThat(Patience.of(300, 600).isOver(SENT, SENT + 1_900, SENT + 1_901)).isTrue();
  }
}
