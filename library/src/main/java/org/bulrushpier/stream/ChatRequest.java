package org.bulrushpier.stream;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.cache.ChatMessage;

/**
 * The body of a chat completion request, in the format that model clients use.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the deployment (from callers) or the model (to engines)
 * @param messages the conversation, oldest message first
 * @param isStream true to stream the answer token by token
 * @param maxTokens the maximum length of the answer in tokens, or null for the default
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ChatRequest(
    String model,
    List<ChatMessage> messages,
    @JsonProperty("stream") boolean isStream,
    @JsonProperty("max_tokens") Integer maxTokens) {

  /** The maximum length of an answer in tokens if the caller does not specify one. */
  public static final int DEFAULT_MAX_TOKENS = 256;

  private static final int LARGEST_MAX_TOKENS = 100_000;

  /**
   * Validates the fields of this request.
   *
   * @return this request
   * @throws BulrushpierException with {@link ErrorCode#BAD_REQUEST} and the name of the field, if a
   *     field is missing or invalid
   */
  public ChatRequest validated() {
    check(model != null && !model.isBlank(), "model: is missing");
    check(messages != null && !messages.isEmpty(), "messages: is missing or empty");
    for (int i = 0; i < messages.size(); i++) {
      ChatMessage message = messages.get(i);
      check(message != null && message.role() != null, "messages[" + i + "].role: is missing");
      check(
          message.role().matches("[a-z]{1,20}"),
          "messages[" + i + "].role: must match [a-z]{1,20}");
      check(message.content() != null, "messages[" + i + "].content: is missing");
    }
    check(
        maxTokens == null || (maxTokens >= 1 && maxTokens <= LARGEST_MAX_TOKENS),
        "max_tokens: " + maxTokens + " is not within 1.." + LARGEST_MAX_TOKENS);
    return this;
  }

  /**
   * Returns the maximum length of the answer.
   *
   * @return the number of tokens, at least 1
   */
  public int maxAnswerTokens() {
    return maxTokens == null ? DEFAULT_MAX_TOKENS : maxTokens;
  }

  private static void check(boolean isValid, String message) {
    if (!isValid) {
      throw BulrushpierException.notRun(ErrorCode.BAD_REQUEST, message);
    }
  }
}
