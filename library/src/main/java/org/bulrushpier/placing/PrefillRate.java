package org.bulrushpier.placing;

/**
 * Estimates the prefill rate of engines from observed times to first token.
 *
 * <p>Samples with little prefill carry no information about the rate and are ignored.
 *
 * <p>Not thread-safe.
 */
public final class PrefillRate {

  /**
   * The rate assumed before the first sample, in tokens per millisecond: that of an engine with a
   * medium-sized model.
   */
  private static final double INITIAL_RATE = 40;

  /** The weight of a new sample in the moving average, which thus covers about twenty samples. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** The shortest prefill used as a sample, in tokens; fixed costs dominate shorter ones. */
  private static final int MIN_TOKENS = 1_500;

  /** The lower bound applied to samples, in tokens per millisecond. */
  private static final double MIN_RATE = 2;

  /** The upper bound applied to samples, in tokens per millisecond. */
  private static final double MAX_RATE = 400;

  private double tokensPerMilli = INITIAL_RATE;

  /**
   * Adds a sample.
   *
   * @param tokens the tokens prefilled before the first token, including those of requests queued
   *     ahead
   * @param millis the time to the first token, in milliseconds
   */
  public void sample(long tokens, long millis) {
    if (tokens >= MIN_TOKENS && millis > 0) {
      double rate = Math.clamp(tokens / (double) millis, MIN_RATE, MAX_RATE);
      tokensPerMilli += SAMPLE_WEIGHT * (rate - tokensPerMilli);
    }
  }

  /**
   * Estimates the duration of a prefill.
   *
   * @param tokens the number of tokens
   * @return the duration in milliseconds
   */
  public double millis(double tokens) {
    return tokens / tokensPerMilli;
  }

  /** Returns the estimated rate, in tokens per millisecond. */
  public double tokensPerMilli() {
    return tokensPerMilli;
  }
}
