package org.bulrushpier.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AnswerTest {

  private static final ChatChunk.Usage USAGE = new ChatChunk.Usage(10, 2, 0);

  private final Answer answer = Answer.of("7");

  private Answer.Step token(String attempt, int offset, String text) {
    return answer.accept(ChatChunk.token(attempt, "m", "7", offset, text));
  }

  @Test
  void answerContainsEachOffsetOnce() {
    answer.begin("a");
    token("a", 0, "x ");
    assertThat(token("a", 0, "x ")).isInstanceOf(Answer.Step.Ignored.class);
    token("a", 1, "y ");
    assertThat(answer.accept(ChatChunk.end("a", "m", "7", 2, USAGE)))
        .isInstanceOf(Answer.Step.End.class);
    assertThat(answer.text()).isEqualTo("x y ");
    assertThat(answer.dropped()).isEqualTo(1);
  }

  @Test
  void eventsOfAnotherAttemptAreDropped() {
    answer.begin("a");
    assertThat(token("other", 0, "x ")).isInstanceOf(Answer.Step.Ignored.class);
    answer.begin("b");
    assertThat(token("a", 0, "late ")).isInstanceOf(Answer.Step.Ignored.class);
    assertThat(answer.text()).isEmpty();
  }

  @Test
  void missingOffsetBreaksTheAttempt() {
    answer.begin("a");
    assertThat(token("a", 1, "y ")).isInstanceOf(Answer.Step.Interrupted.class);
  }

  @Test
  void endBeforeAllTokensArrivedBreaksTheAttempt() {
    answer.begin("a");
    token("a", 0, "x ");
    assertThat(answer.accept(ChatChunk.end("a", "m", "7", 2, USAGE)))
        .isInstanceOf(Answer.Step.Interrupted.class);
  }

  @Test
  void anotherWeightVersionBreaksTheAttempt() {
    answer.begin("a");
    assertThat(answer.accept(ChatChunk.token("a", "m", "8", 0, "x ")))
        .isInstanceOf(Answer.Step.Interrupted.class);
    assertThat(answer.text()).isEmpty();
  }

  @Test
  void nextAttemptContinuesAtOffsetOfTheBrokenOne() {
    answer.begin("a");
    token("a", 0, "x ");
    answer.begin("b");
    assertThat(token("b", 1, "y ")).isInstanceOf(Answer.Step.Token.class);
    assertThat(answer.text()).isEqualTo("x y ");
  }
}
