package org.bulrushpier.call;

import java.util.List;

/**
 * The size and composition of the prompt of a generation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the name of the model
 * @param inputTokens the length of the prompt, in tokens
 * @param maxOutputTokens the maximum number of generated tokens
 * @param expectedOutputTokens the caller's estimate of the output length, or the maximum if there
 *     is none
 * @param parts the parts of the prompt in order; prompts can share the cache memory of equal parts
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
   * Returns the number of tokens that the request is expected to occupy when it ends: those of the
   * prompt and of the expected output.
   */
  public int totalTokens() {
    return inputTokens + expectedOutputTokens;
  }

  /**
   * Returns the parts that other prompts may have too: all but the last one, which belongs to the
   * request or to its session.
   */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }
}
