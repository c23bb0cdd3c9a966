package org.bulrushpier.call;

import java.util.List;

/**
 * What a generation asks of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model
 * @param inputTokens tokens of the prompt
 * @param maxOutputTokens tokens that may be generated at most
 * @param expectedOutputTokens the caller's estimate, or the maximum without one
 * @param parts the prompt's parts in order; equal parts of several prompts can share cache memory
 */
public record PromptShape(
    String model,
    int inputTokens,
    int maxOutputTokens,
    int expectedOutputTokens,
    List<PromptPart> parts) {

  /** Copies the list. */
  public PromptShape {
    parts = List.copyOf(parts);
  }

  /**
   * Returns the tokens that the request occupies when it ends.
   *
   * @return tokens of the prompt and of the expected output
   */
  public int totalTokens() {
    return inputTokens + expectedOutputTokens;
  }
}
