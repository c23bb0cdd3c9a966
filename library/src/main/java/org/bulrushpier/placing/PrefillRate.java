package org.bulrushpier.placing;

/**
 * Estimates how long engines take from the arrival of a request to its first token: a fixed time
 * and a time per prefilled token, by a linear regression over recent samples.
 *
 * <p>Only requests that waited for nothing else may be used as samples. Otherwise waits under load
 * would count as a lower rate, and the fixed time would make short prompts look slow.
 *
 * <p>Not thread-safe.
 */
public final class PrefillRate {

  /** The rate assumed before the first sample, in tokens per millisecond. */
  private static final double INITIAL_RATE = 40;

  /** The fixed time assumed before the first sample, in milliseconds. */
  private static final double INITIAL_START_MILLIS = 30;

  /** The length of the assumed samples, in tokens, the other one having a length of 0. */
  private static final double INITIAL_TOKENS = 8_000;

  /** The weight of each assumed sample, which never decays. */
  private static final double INITIAL_WEIGHT = 0.5;

  /** The factor by which the weight of older samples decays with each new one. */
  private static final double DECAY = 0.97;

  /** The lower bound of the rate, in tokens per millisecond. */
  private static final double MIN_RATE = 2;

  /** The upper bound of the rate, in tokens per millisecond. */
  private static final double MAX_RATE = 400;

  /** Samples above this time are ignored, in milliseconds, as such a request waited. */
  private static final long MAX_SAMPLE_MILLIS = 5_000;

  private double weight;
  private double sumTokens;
  private double sumTokensSquared;
  private double sumMillis;
  private double sumTokensMillis;
  private double millisPerToken = 1 / INITIAL_RATE;
  private double startMillis = INITIAL_START_MILLIS;

  /**
   * Adds a sample.
   *
   * @param tokens the tokens that the engine prefilled for the request
   * @param millis the time to its first token, in milliseconds
   */
  public void sample(long tokens, long millis) {
    if (tokens < 0 || millis <= 0 || millis > MAX_SAMPLE_MILLIS) {
      return;
    }
    weight = weight * DECAY + 1;
    sumTokens = sumTokens * DECAY + tokens;
    sumTokensSquared = sumTokensSquared * DECAY + (double) tokens * tokens;
    sumMillis = sumMillis * DECAY + millis;
    sumTokensMillis = sumTokensMillis * DECAY + (double) tokens * millis;
    fit();
  }

  private void fit() {
    double w = weight + 2 * INITIAL_WEIGHT;
    double t = sumTokens + INITIAL_WEIGHT * INITIAL_TOKENS;
    double tt = sumTokensSquared + INITIAL_WEIGHT * INITIAL_TOKENS * INITIAL_TOKENS;
    double initialMillis = INITIAL_START_MILLIS + INITIAL_TOKENS / INITIAL_RATE;
    double m = sumMillis + INITIAL_WEIGHT * (INITIAL_START_MILLIS + initialMillis);
    double tm = sumTokensMillis + INITIAL_WEIGHT * INITIAL_TOKENS * initialMillis;
    double slope = (w * tm - t * m) / (w * tt - t * t);
    millisPerToken = Math.clamp(slope, 1 / MAX_RATE, 1 / MIN_RATE);
    startMillis = Math.max(0, (m - millisPerToken * t) / w);
  }

  /**
   * Estimates the duration of a prefill without the fixed time.
   *
   * @param tokens the number of tokens
   * @return the duration in milliseconds
   */
  public double millis(double tokens) {
    return tokens * millisPerToken;
  }

  /** Returns the fixed time from the arrival of a request to its first token, in milliseconds. */
  public double startMillis() {
    return startMillis;
  }

  /** Returns the estimated rate, in tokens per millisecond. */
  public double tokensPerMilli() {
    return 1 / millisPerToken;
  }
}
