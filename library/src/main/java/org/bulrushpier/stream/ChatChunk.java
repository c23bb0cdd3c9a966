package org.bulrushpier.stream;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * An event of a streamed answer, in the chat completion format that model clients use, extended by
 * the weight version and the offset of the token.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the attempt (from engines) or of the request (to callers)
 * @param object the constant {@code chat.completion.chunk}
 * @param model the model or deployment
 * @param weightVersion the version of the weights that generated the token
 * @param offset the 0-based position of the token in the answer; in the last event, the number of
 *     tokens of the whole answer
 * @param choices a list with a single choice
 * @param usage the token counts, present only in the last event
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ChatChunk(
    String id,
    String object,
    String model,
    @JsonProperty("weight_version") String weightVersion,
    int offset,
    List<Choice> choices,
    Usage usage) {

  /** The value of {@code object} in streamed events. */
  public static final String OBJECT = "chat.completion.chunk";

  /**
   * Creates the event of a token.
   *
   * @param id the id of the attempt or request
   * @param model the model or deployment
   * @param version the weight version
   * @param offset the 0-based position of the token
   * @param content the text of the token
   * @return the event
   */
  public static ChatChunk token(
      String id, String model, String version, int offset, String content) {
    Choice choice = new Choice(0, new Delta(content), null);
    return new ChatChunk(id, OBJECT, model, version, offset, List.of(choice), null);
  }

  /**
   * Creates the last event of an answer.
   *
   * @param id the id of the attempt or request
   * @param model the model or deployment
   * @param version the weight version
   * @param offset the number of tokens of the whole answer
   * @param usage the token counts
   * @return the event
   */
  public static ChatChunk end(String id, String model, String version, int offset, Usage usage) {
    Choice choice = new Choice(0, new Delta(null), "stop");
    return new ChatChunk(id, OBJECT, model, version, offset, List.of(choice), usage);
  }

  /**
   * Returns the text of the token.
   *
   * @return the text, empty for the last event
   */
  public String content() {
    if (choices == null || choices.isEmpty() || choices.get(0).delta() == null) {
      return "";
    }
    String content = choices.get(0).delta().content();
    return content == null ? "" : content;
  }

  /**
   * Returns whether this event ends the answer.
   *
   * @return true for the last event
   */
  public boolean isEnd() {
    return choices != null && !choices.isEmpty() && choices.get(0).finishReason() != null;
  }

  /**
   * A choice of an event.
   *
   * @param index always 0
   * @param delta the text added by the event
   * @param finishReason the reason for the end of the answer, or null before the end
   */
  public record Choice(
      int index, Delta delta, @JsonProperty("finish_reason") String finishReason) {}

  /**
   * The text added by an event.
   *
   * @param content the text, or null in the last event
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Delta(String content) {}

  /**
   * The token counts of an answer.
   *
   * @param promptTokens the number of prompt tokens
   * @param completionTokens the number of generated tokens
   * @param cachedTokens the number of prompt tokens read from a cache
   */
  public record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("cached_tokens") int cachedTokens) {}
}
