package org.bulrushpier;

/**
 * States whether a rejected or failed request was executed.
 *
 * <p>Immutable and thread-safe.
 */
public enum Certainty {
  /** No upstream executed any part of the request; it is safe to retry. */
  NOT_RUN("not-run"),
  /** An upstream may have executed the request. */
  OUTCOME_UNKNOWN("outcome-unknown"),
  /** An upstream executed the request and it failed. */
  FAILED("failed");

  private final String text;

  Certainty(String text) {
    this.text = text;
  }

  /**
   * Returns the value as written in responses to callers.
   *
   * @return lower-case words joined by hyphens
   */
  public String text() {
    return text;
  }
}
