package org.bulrushpier.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.NotEmpty;
import org.junit.jupiter.api.Test;

class PrefixChainTest {

  private static List<ChatMessage> conversation(int words) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < words; i++) {
      text.append('w').append(i).append(' ');
    }
    return List.of(new ChatMessage("system", text.toString()), new ChatMessage("user", "hello"));
  }

  private static PrefixChain chain(String customer, String version, List<ChatMessage> messages) {
    return PrefixChain.of(customer, version, Prompt.of(messages));
  }

  @Property(tries = 200)
  void promptWithItsAnswerIsThePrefixOfTheNextTurn(
      @ForAll @IntRange(max = 400) int words, @ForAll @IntRange(max = 200) int answerWords) {
    List<ChatMessage> messages = conversation(words);
    String answer = "a ".repeat(answerWords);
    PrefixChain before = PrefixChain.of("c", "7", Prompt.of(messages).withAnswer(answer));
    List<ChatMessage> next = new ArrayList<>(messages);
    next.add(new ChatMessage("assistant", answer));
    next.add(new ChatMessage("user", "and now"));
    PrefixChain after = chain("c", "7", next);
    assertThat(after.keys().subList(0, before.keys().size())).isEqualTo(before.keys());
    assertThat(after.conversationKey()).isEqualTo(chain("c", "7", messages).conversationKey());
  }

  @Property(tries = 200)
  void differentCustomersNeverShareKeys(
      @ForAll @AlphaChars @NotEmpty String first, @ForAll @AlphaChars @NotEmpty String second) {
    List<ChatMessage> messages = conversation(200);
    List<String> keys = chain(first, second, messages).keys();
    List<String> concatenated = chain(first + second, "", messages).keys();
    List<String> swapped = chain(second, first, messages).keys();
    assertThat(keys).doesNotContainAnyElementsOf(concatenated);
    if (!first.equals(second)) {
      assertThat(keys).doesNotContainAnyElementsOf(swapped);
    }
  }

  @Test
  void differentWeightVersionsNeverShareKeys() {
    assertThat(chain("c", "7", conversation(200)).keys())
        .doesNotContainAnyElementsOf(chain("c", "8", conversation(200)).keys());
  }

  @Test
  void shortPromptHasNoKey() {
    assertThat(chain("c", "7", conversation(10)).keys()).isEmpty();
  }
}
