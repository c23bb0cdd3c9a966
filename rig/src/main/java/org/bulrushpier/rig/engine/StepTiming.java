package org.bulrushpier.rig.engine;

/**
 * Timing model of a fake engine's batch steps. Immutable and thread-safe.
 *
 * @param prefillTokensPerSecond prompt tokens prefilled per second
 * @param tokenMillis the base duration of a decode step
 * @param streamMillis the duration that each stream adds to a decode step
 */
public record StepTiming(long prefillTokensPerSecond, double tokenMillis, double streamMillis) {

  private static final double MILLIS_PER_SECOND = 1_000.0;

  /**
   * Returns the duration of one batch step.
   *
   * @param prefillTokens prompt tokens prefilled in the step
   * @param streams streams that decode a token in the step
   * @return the duration in milliseconds
   */
  public double stepMillis(int prefillTokens, int streams) {
    double prefill = prefillTokens * MILLIS_PER_SECOND / prefillTokensPerSecond;
    double decode = streams == 0 ? 0 : tokenMillis + streams * streamMillis;
    return prefill + decode;
  }
}
