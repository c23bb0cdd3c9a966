package org.bulrushpier.replica;

/**
 * An exponentially decaying share of the requests that a replica failed.
 *
 * <p>Detects a replica that fails only part of its requests while it looks healthy otherwise. Old
 * outcomes lose weight with each further request and with time, so that an avoided replica is tried
 * again.
 *
 * <p>Not thread-safe.
 */
final class FailureShare {

  /** The weight of a new outcome; the share thus covers about a dozen requests. */
  private static final double WEIGHT = 0.08;

  /** The time in which the share halves without further outcomes, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 3_000;

  private double share;
  private long updatedMillis;

  void add(boolean isFailure, long nowMillis) {
    share = share(nowMillis) * (1 - WEIGHT) + (isFailure ? WEIGHT : 0);
    updatedMillis = nowMillis;
  }

  double share(long nowMillis) {
    return share * Math.pow(0.5, Math.max(0, nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
  }
}
