package org.bulrushpier.replica;

/**
 * The share of a replica's calls that failed lately.
 *
 * <p>The load it answers: a replica that fails part of its calls while all else looks well. Old
 * outcomes fade, with further calls and with time, so that a replica which is avoided is tried
 * again. Not thread-safe.
 */
final class FailureShare {

  /** The weight of a new outcome: about a dozen calls make the share. */
  private static final double WEIGHT = 0.08;

  /** The time in which a share halves by itself, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 3_000;

  private double share;
  private long atMillis;

  void add(boolean isFailure, long nowMillis) {
    share = share(nowMillis) * (1 - WEIGHT) + (isFailure ? WEIGHT : 0);
    atMillis = nowMillis;
  }

  double share(long nowMillis) {
    return share * Math.pow(0.5, Math.max(0, nowMillis - atMillis) / HALF_LIFE_MILLIS);
  }
}
