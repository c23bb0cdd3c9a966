package org.bulrushpier.survival;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bulrushpier.survival.SilenceWatch.Verdict.ASK;
import static org.bulrushpier.survival.SilenceWatch.Verdict.GONE;
import static org.bulrushpier.survival.SilenceWatch.Verdict.WAIT;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bulrushpier.survival.SilenceWatch.Verdict;
import org.junit.jupiter.api.Test;

class SilenceWatchTest {

  private static final long TICK_MILLIS = 25;

  private final SilenceWatch watch = SilenceWatch.of(800);
  private final Inquiry run = new Inquiry();
  private final Inquiry holder = new Inquiry();

  private Verdict judge(long nowMillis) {
    return watch.judge(0, run, holder, nowMillis);
  }

  @Test
  void replicaIsAskedAfterHalfOfTheExpectedPause() {
    assertThat(judge(399)).isEqualTo(WAIT);
    assertThat(judge(400)).isEqualTo(ASK);
  }

  @Test
  void goneReplicaIsLeftBeforeTheExpectedPauseIsOver() {
    run.asked(400);
    holder.asked(400);
    holder.answered(405);

    assertThat(judge(599)).isEqualTo(WAIT);
    assertThat(judge(600)).isEqualTo(GONE);
  }

  @Test
  void replicaThatAnswersIsNotGoneAndIsAskedAgain() {
    run.asked(400);
    run.answered(410);
    holder.asked(400);
    holder.answered(410);

    assertThat(judge(799)).isEqualTo(WAIT);
    assertThat(judge(800)).isEqualTo(ASK);
  }

  @Test
  void silenceOfBothProvesNothing() {
    run.asked(400);
    holder.asked(400);

    assertThat(judge(700)).isEqualTo(WAIT);
    assertThat(judge(800)).isEqualTo(ASK);
  }

  @Test
  void answerOfHolderToAnEarlierQuestionProvesNothing() {
    holder.asked(300);
    holder.answered(310);
    run.asked(400);

    assertThat(judge(650)).isEqualTo(WAIT);
    assertThat(judge(700)).isEqualTo(ASK);
  }

  @Test
  void questionOfBeforeTheSilenceProvesNothing() {
    run.asked(350);
    holder.answered(360);

    assertThat(watch.judge(400, run, holder, 800)).isEqualTo(ASK);
  }

  @Test
  void questionThatCouldNotBePutProvesNothingAndIsRepeated() {
    run.asked(400);
    run.withdrawn();
    holder.asked(400);
    holder.answered(405);

    assertThat(judge(700)).isEqualTo(WAIT);
    assertThat(judge(800)).isEqualTo(ASK);
    run.asked(800);
    holder.asked(800);
    holder.answered(805);
    assertThat(judge(1_000)).isEqualTo(GONE);
  }

  @Test
  void timeForAnAnswerBeginsAnewWithTheConnectionThatCarriesTheQuestion() {
    run.asked(400);
    holder.asked(400);
    holder.answered(405);
    run.askedAgain(590);

    assertThat(judge(789)).isEqualTo(WAIT);
    assertThat(judge(790)).isEqualTo(GONE);
  }

  @Test
  void defaultAppliesToRouteWithoutExpectedPause() {
    assertThat(SilenceWatch.of(0).isSuspicious(0, 399)).isFalse();
    assertThat(SilenceWatch.of(0).isSuspicious(0, 400)).isTrue();
  }

  /**
   * Plays silences of both replicas: the run's replica is taken to be gone only if it answered no
   * question while the holder did, and a replica that answers in time never is.
   */
  @Property
  void replicaThatAnswersInTimeIsNeverGone(
      @ForAll @IntRange(max = 250) int answerMillis,
      @ForAll @IntRange(max = 250) int holderMillis,
      @ForAll @IntRange(min = 500, max = 4_000) int silenceMillis) {
    Inquiry asked = new Inquiry();
    Inquiry askedHolder = new Inquiry();
    long runDue = Long.MAX_VALUE;
    long holderDue = Long.MAX_VALUE;
    for (long now = 0; now < silenceMillis; now += TICK_MILLIS) {
      if (runDue <= now) {
        asked.answered(runDue);
        runDue = Long.MAX_VALUE;
      }
      if (holderDue <= now) {
        askedHolder.answered(holderDue);
        holderDue = Long.MAX_VALUE;
      }
      Verdict verdict = watch.judge(0, asked, askedHolder, now);
      if (verdict == ASK) {
        if (asked.isDue(SilenceWatch.REPEAT_MILLIS, now)) {
          asked.asked(now);
          runDue = now + answerMillis;
        }
        if (askedHolder.isDue(SilenceWatch.REPEAT_MILLIS, now)) {
          askedHolder.asked(now);
          holderDue = now + holderMillis;
        }
      }
      if (answerMillis <= SilenceWatch.ANSWER_MILLIS - TICK_MILLIS) {
        assertThat(verdict).isNotEqualTo(GONE);
      }
    }
  }
}
