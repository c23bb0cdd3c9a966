package org.bulrushpier.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bulrushpier.Moment;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.WeightAge;
import org.junit.jupiter.api.Test;

class WeightInquiryTest {

  private static final long CHANGE_MILLIS = 8_000;

  private final TargetWeights watched = new TargetWeights();
  private final TargetWeights restarted = new TargetWeights();
  private final WeightInquiry watching = WeightInquiry.of(watched, 0);
  private final WeightInquiry asking = WeightInquiry.of(restarted, 40);

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }

  private static RequestInterval between(long from, long to) {
    return new RequestInterval(at(from), at(to));
  }

  private static boolean allows(TargetWeights weights, int served, long millis) {
    return WeightPreference.of(weights.target("m"), at(millis), CHANGE_MILLIS).allows(served, 0);
  }

  private void ask(long askedMillis, long answeredMillis, long receivedMillis) {
    FleetMessage.WeightQuestion question =
        asking.nextQuestion(at(askedMillis), CHANGE_MILLIS).orElseThrow();
    asking.apply(watching.answer(question, at(answeredMillis)), at(receivedMillis));
  }

  @Test
  void restartGivesOutdatedEnginesNoMoreTimeIfAnotherInstanceKnowsTheRequest() {
    watched.update("m", 1, RequestInterval.before(at(0)));
    watched.update("m", 2, between(19_000, 20_000));
    restarted.update("m", 2, RequestInterval.before(at(27_500)));
    assertThat(allows(restarted, 1, 27_500)).isTrue();

    ask(27_500, 27_510, 27_520);

    assertThat(allows(restarted, 1, 27_530)).isFalse();
    assertThat(allows(restarted, 2, 27_530)).isTrue();
    assertThat(asking.nextQuestion(at(28_000), CHANGE_MILLIS)).isEmpty();
  }

  @Test
  void restartDoesNotExcludeOutdatedEnginesEarlyIfAnotherInstanceKnowsTheRequest() {
    watched.update("m", 2, between(26_000, 26_100));
    restarted.update("m", 2, RequestInterval.before(at(27_500)));

    ask(27_500, 27_510, 27_520);

    assertThat(allows(restarted, 1, 33_000)).isTrue();
    assertThat(allows(restarted, 1, 33_400)).isFalse();
  }

  @Test
  void versionThatNobodyCanDateIsOutdatedSoonAfterItWasSeen() {
    restarted.update("m", 2, RequestInterval.before(at(27_500)));

    assertThat(allows(restarted, 1, 28_900)).isTrue();
    assertThat(allows(restarted, 1, 29_100)).isFalse();
  }

  @Test
  void engineBehindTwoVersionsIsJudgedByTheFirstOfThemAfterRestart() {
    watched.update("m", 1, RequestInterval.before(at(0)));
    watched.update("m", 2, between(20_000, 20_100));
    watched.update("m", 3, between(26_000, 26_100));
    restarted.update("m", 3, RequestInterval.before(at(27_500)));

    ask(27_500, 27_510, 27_520);

    assertThat(allows(restarted, 1, 27_530)).isFalse();
    assertThat(allows(restarted, 2, 27_530)).isTrue();
  }

  /** The answer waits in the socket of a process that is suspended for 6 s. */
  @Test
  void delayOfAnswerMakesNoVersionYounger() {
    watched.update("m", 2, between(19_900, 20_000));
    restarted.update("m", 2, RequestInterval.before(at(24_000)));

    ask(24_000, 24_010, 30_000);

    assertThat(allows(restarted, 1, 30_010)).isFalse();
  }

  @Test
  void questionsAreRepeatedAndEndAfterSomeTime() {
    restarted.update("m", 2, RequestInterval.before(at(1_000)));

    assertThat(asking.nextQuestion(at(1_000), CHANGE_MILLIS)).isPresent();
    assertThat(asking.nextQuestion(at(1_050), CHANGE_MILLIS)).isEmpty();
    assertThat(asking.nextQuestion(at(1_100), CHANGE_MILLIS)).isPresent();
    assertThat(asking.nextQuestion(at(4_100), CHANGE_MILLIS)).isEmpty();
  }

  @Test
  void answersToNoRecentQuestionAndImplausibleOnesAreIgnored() {
    restarted.update("m", 2, RequestInterval.before(at(1_000)));
    final Optional<FleetMessage.WeightQuestion> question =
        asking.nextQuestion(at(1_000), CHANGE_MILLIS);
    WeightAge age = new WeightAge("m", 2, 500, 400);

    assertThat(asking.apply(new FleetMessage.WeightAnswer(77, List.of(age)), at(1_010))).isEmpty();
    assertThat(
            asking.apply(
                new FleetMessage.WeightAnswer(
                    question.orElseThrow().id(), List.of(new WeightAge("m", 2, 400, 500))),
                at(1_010)))
        .isEmpty();
    assertThat(restarted.target("m").requested()).isEqualTo(RequestInterval.before(at(1_000)));
  }

  @Test
  void versionBetweenIsAskedForAlthoughTheNewestIsKnown() {
    watched.update("m", 2, between(20_000, 20_100));
    watched.update("m", 3, between(28_000, 28_100));
    restarted.update("m", 2, RequestInterval.before(at(27_500)));
    restarted.update("m", 3, between(27_900, 28_050));

    ask(28_100, 28_110, 28_120);

    assertThat(allows(restarted, 1, 28_130)).isFalse();
    assertThat(allows(restarted, 2, 34_500)).isTrue();
  }

  /** The time of day of the answering instance steps forward by 5 s after the request. */
  @Test
  void clockStepOfOneInstanceDoesNotMakeAnswersUseless() {
    watched.update("m", 2, between(20_000, 20_100));
    restarted.update("m", 2, RequestInterval.before(at(21_000)));
    FleetMessage.WeightQuestion question =
        asking.nextQuestion(at(21_000), CHANGE_MILLIS).orElseThrow();

    asking.apply(watching.answer(question, new Moment(21_010, 26_010)), at(21_020));
    assertThat(allows(restarted, 1, 21_030)).isTrue();
    watched.refine("m", 2, restarted.target("m").requested(), at(21_030));

    FleetMessage.WeightAnswer answer = watching.answer(question, at(21_040));
    assertThat(answer.ages()).allMatch(WeightAge::isPlausible);
  }
}
