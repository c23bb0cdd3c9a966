package org.bulrushpier.replica;

/**
 * How long work takes at a replica compared to the usual time, smoothed over its recent reports.
 *
 * <p>A replica that shares its machine reports a momentary value that changes many times a second,
 * while a request takes a good part of a second. An average over the recent past predicts the time
 * of a request better than the last value. Without further reports the factor returns to 1, since
 * other work on the machine comes and goes.
 *
 * <p>Not thread-safe.
 */
final class WorkDuration {

  /** The value that stands for the usual time. */
  private static final double USUAL_PERCENT = 100;

  /** The lower bound of a report that is believed, as a factor. */
  private static final double MIN_FACTOR = 0.25;

  /** The upper bound of a report that is believed, as a factor. */
  private static final double MAX_FACTOR = 8;

  /** The least weight of a new report, which prevails if reports follow each other closely. */
  private static final double MIN_WEIGHT = 0.2;

  /** The time in which the difference from the usual time halves without reports, in ms. */
  private static final double HALF_LIFE_MILLIS = 400;

  private double excess;
  private long updatedMillis = Long.MIN_VALUE / 2;

  void record(int percent, long nowMillis) {
    double reported = Math.clamp(percent / USUAL_PERCENT, MIN_FACTOR, MAX_FACTOR) - 1;
    double remaining = remainingShare(nowMillis);
    double weight = Math.max(MIN_WEIGHT, 1 - remaining);
    excess = (1 - weight) * excess + weight * reported;
    updatedMillis = nowMillis;
  }

  double factor(long nowMillis) {
    return 1 + excess * remainingShare(nowMillis);
  }

  private double remainingShare(long nowMillis) {
    return Math.pow(0.5, Math.max(0, nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
  }
}
