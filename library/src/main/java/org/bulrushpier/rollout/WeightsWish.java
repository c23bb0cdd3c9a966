package org.bulrushpier.rollout;

import org.bulrushpier.Moment;

/**
 * How much a generation prefers engines with new weights while a change goes on.
 *
 * <p>The load it answers: at the start of a change few engines have the new weights, and calls that
 * crowd on them wait longer than the older weights cost. The preference grows with the time since
 * the version was named, until older weights are not used at all.
 *
 * <p>Immutable and thread-safe.
 */
public final class WeightsWish {

  /** Older weights are as good as new ones for this long, in milliseconds. */
  private static final long GRACE_MILLIS = 1_300;

  /** What older weights cost after the grace, in milliseconds of waiting. */
  private static final double OLD_MILLIS = 150;

  /** How much the cost grows with each further millisecond. */
  private static final double GROWTH = 0.05;

  /** Older weights are given up this long before the time is over, in milliseconds. */
  private static final long MARGIN_MILLIS = 700;

  private final int version;
  private final long ageMillis;
  private final long limitMillis;

  private WeightsWish(int version, long ageMillis, long limitMillis) {
    this.version = version;
    this.ageMillis = ageMillis;
    this.limitMillis = limitMillis;
  }

  /**
   * Creates the wish of a moment.
   *
   * @param named the newest version named
   * @param now the moment
   * @param changeMillis how soon a version is to be in place
   * @return the wish
   */
  public static WeightsWish of(WantedWeights.Named named, Moment now, long changeMillis) {
    return new WeightsWish(
        named.version(), named.since().ageMillis(now), changeMillis - MARGIN_MILLIS);
  }

  /**
   * Tells whether an engine may be used.
   *
   * @param served the version it serves
   * @param expectedMillis when the generation is predicted to begin there
   * @return true if it is new enough, or will begin in time
   */
  public boolean allows(int served, double expectedMillis) {
    return served >= version || ageMillis + 2 * expectedMillis < limitMillis;
  }

  /**
   * Returns what the engine's version costs.
   *
   * @param served the version it serves
   * @return milliseconds of waiting that outweigh it
   */
  public double penaltyMillis(int served) {
    if (served >= version || ageMillis < GRACE_MILLIS) {
      return 0;
    }
    return OLD_MILLIS + GROWTH * (ageMillis - GRACE_MILLIS);
  }
}
