package org.bulrushpier.placing;

/**
 * How fast engines read prompts, learned from the times to first tokens.
 *
 * <p>Samples where little was read say nothing and are left out. Not thread-safe.
 */
public final class ReadingRate {

  /** The rate assumed before any sample, in tokens per millisecond: a mid-sized model's engine. */
  private static final double FIRST_RATE = 40;

  /** The weight of a new sample: about twenty samples make the estimate. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** Reads shorter than this, in tokens, are ruled by fixed costs. */
  private static final int MIN_TOKENS = 1_500;

  private static final double MIN_RATE = 2;
  private static final double MAX_RATE = 400;

  private double tokensPerMilli = FIRST_RATE;

  /**
   * Takes note of a first token.
   *
   * @param tokens the tokens that were read before it, of all calls ahead
   * @param millis how long it took
   */
  public void sample(long tokens, long millis) {
    if (tokens >= MIN_TOKENS && millis > 0) {
      double rate = Math.clamp(tokens / (double) millis, MIN_RATE, MAX_RATE);
      tokensPerMilli += SAMPLE_WEIGHT * (rate - tokensPerMilli);
    }
  }

  /**
   * Estimates how long reading takes.
   *
   * @param tokens the tokens
   * @return milliseconds
   */
  public double millis(double tokens) {
    return tokens / tokensPerMilli;
  }

  /**
   * Returns the rate.
   *
   * @return tokens per millisecond
   */
  public double tokensPerMilli() {
    return tokensPerMilli;
  }
}
