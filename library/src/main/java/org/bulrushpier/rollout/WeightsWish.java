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

  private final WantedWeights.Named named;
  private final Moment now;
  private final long limitMillis;

  private WeightsWish(WantedWeights.Named named, Moment now, long limitMillis) {
    this.named = named;
    this.now = now;
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
    return new WeightsWish(named, now, changeMillis - MARGIN_MILLIS);
  }

  /**
   * Tells whether an engine may be used.
   *
   * @param served the version it serves
   * @param expectedMillis when the generation is predicted to begin there
   * @return true if it is new enough, or will begin in time
   */
  public boolean allows(int served, double expectedMillis) {
    return served >= named.version() || outdatedMillis(served) + 2 * expectedMillis < limitMillis;
  }

  /**
   * Returns what the engine's version costs.
   *
   * @param served the version it serves
   * @return milliseconds of waiting that outweigh it
   */
  public double penaltyMillis(int served) {
    if (served >= named.version()) {
      return 0;
    }
    long outdated = outdatedMillis(served);
    return outdated < GRACE_MILLIS ? 0 : OLD_MILLIS + GROWTH * (outdated - GRACE_MILLIS);
  }

  private long outdatedMillis(int served) {
    return named.outdatedSince(served).ageMillis(now);
  }
}
