package org.bulrushpier.cache;

import java.util.ArrayList;
import java.util.List;

/**
 * The tokens of a conversation in the order in which an engine processes them.
 *
 * <p>Each message is represented by its role in angle brackets, its words and an end token. The
 * prompt ends with the role token of the assistant's answer:
 *
 * <pre>{@code
 * Prompt prompt = Prompt.of(List.of(new ChatMessage("user", "two swings")));
 * prompt.tokens(); // <user> two swings <end> <assistant>
 * }</pre>
 *
 * <p>A prompt with its answer is a prefix of the prompt of the next turn. Immutable and
 * thread-safe.
 */
public final class Prompt {

  private static final String END = "<end>";
  private static final String ANSWER = "<assistant>";

  private final List<String> tokens;
  private final int openingTokens;

  private Prompt(List<String> tokens, int openingTokens) {
    this.tokens = tokens;
    this.openingTokens = openingTokens;
  }

  /**
   * Creates the prompt of a conversation.
   *
   * @param messages the messages, oldest first; not null
   * @return the prompt
   */
  public static Prompt of(List<ChatMessage> messages) {
    List<String> tokens = new ArrayList<>();
    int opening = 0;
    for (ChatMessage message : messages) {
      tokens.add("<" + message.role() + ">");
      addWords(tokens, message.content());
      tokens.add(END);
      if (opening == 0 && message.role().equals("user")) {
        opening = tokens.size();
      }
    }
    tokens.add(ANSWER);
    return new Prompt(tokens, opening == 0 ? tokens.size() : opening);
  }

  /**
   * Returns this prompt followed by its answer.
   *
   * @param answer the complete text of the answer
   * @return the extended prompt
   */
  public Prompt withAnswer(String answer) {
    List<String> extended = new ArrayList<>(tokens);
    addWords(extended, answer);
    extended.add(END);
    return new Prompt(extended, openingTokens);
  }

  /**
   * Returns the tokens.
   *
   * @return an unmodifiable list
   */
  public List<String> tokens() {
    return java.util.Collections.unmodifiableList(tokens);
  }

  /**
   * Returns the length of the opening, which ends with the first user message and is the same in
   * every later turn. Without a user message, the opening is the whole prompt.
   *
   * @return the number of tokens, at least 1
   */
  public int openingTokens() {
    return openingTokens;
  }

  private static void addWords(List<String> tokens, String text) {
    int start = -1;
    for (int i = 0; i <= text.length(); i++) {
      boolean isSpace = i == text.length() || Character.isWhitespace(text.charAt(i));
      if (!isSpace && start < 0) {
        start = i;
      } else if (isSpace && start >= 0) {
        tokens.add(text.substring(start, i));
        start = -1;
      }
    }
  }
}
