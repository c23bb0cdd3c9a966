package org.bulrushpier.stream;

import java.util.Optional;

/**
 * Assembles a streamed answer from the events of one or more attempts at engines.
 *
 * <pre>{@code
 * Answer answer = Answer.of("7");
 * answer.begin("attempt-1");
 * switch (answer.accept(chunk)) { ... }
 * }</pre>
 *
 * <p>Invariant: the text contains the token of each offset exactly once and in order, and a token
 * is accepted only from the current attempt and the expected weight version. Not thread-safe; an
 * answer is confined to one worker.
 */
public final class Answer {

  private final String weightVersion;
  private final StringBuilder text = new StringBuilder();
  private String attempt = "";
  private int tokens;
  private int dropped;
  private ChatChunk.Usage usage;

  private Answer(String weightVersion) {
    this.weightVersion = weightVersion;
  }

  /**
   * Creates an empty answer.
   *
   * @param weightVersion the weight version that must have generated every token
   * @return the answer
   */
  public static Answer of(String weightVersion) {
    return new Answer(weightVersion);
  }

  /**
   * Starts an attempt. Events of earlier attempts are ignored from now on.
   *
   * @param attemptId the id of the attempt
   */
  public void begin(String attemptId) {
    attempt = attemptId;
  }

  /**
   * Processes an event.
   *
   * @param chunk the event
   * @return the effect of the event on the answer
   */
  public Step accept(ChatChunk chunk) {
    if (!attempt.equals(chunk.id())) {
      dropped++;
      return new Step.Ignored("event belongs to another attempt: " + chunk.id());
    }
    if (!weightVersion.equals(chunk.weightVersion())) {
      return new Step.Interrupted(
          "unexpected weight version " + chunk.weightVersion() + " in the stream");
    }
    if (chunk.isEnd()) {
      return end(chunk);
    }
    if (chunk.offset() < tokens) {
      dropped++;
      return new Step.Ignored("offset " + chunk.offset() + " was already received");
    }
    if (chunk.offset() > tokens) {
      return new Step.Interrupted("offset " + chunk.offset() + " received, expected " + tokens);
    }
    tokens++;
    text.append(chunk.content());
    return new Step.Token(chunk.content());
  }

  private Step end(ChatChunk chunk) {
    if (chunk.offset() != tokens) {
      return new Step.Interrupted(
          "end of answer at offset " + chunk.offset() + ", expected " + tokens);
    }
    usage = chunk.usage();
    return new Step.End();
  }

  /**
   * Returns the text received so far.
   *
   * @return the text, never null
   */
  public String text() {
    return text.toString();
  }

  /**
   * Returns the number of tokens received so far.
   *
   * @return the number of tokens
   */
  public int tokens() {
    return tokens;
  }

  /**
   * Returns the number of dropped events, which were duplicates or belonged to another attempt.
   *
   * @return the number of events
   */
  public int dropped() {
    return dropped;
  }

  /**
   * Returns the token counts that the last event reported.
   *
   * @return the counts, or empty before the end of the answer
   */
  public Optional<ChatChunk.Usage> usage() {
    return Optional.ofNullable(usage);
  }

  /** The effect of an event on the answer. All kinds are immutable and thread-safe. */
  public sealed interface Step {

    /**
     * A token was appended to the answer.
     *
     * @param content the text of the token
     */
    record Token(String content) implements Step {}

    /** The answer is complete. */
    record End() implements Step {}

    /**
     * The event was ignored, because it was a duplicate or belonged to another attempt.
     *
     * @param reason why the event was ignored
     */
    record Ignored(String reason) implements Step {}

    /**
     * The attempt violated the protocol and must not be continued.
     *
     * @param reason the violation
     */
    record Interrupted(String reason) implements Step {}
  }
}
