package org.bulrushpier.limit;

import org.bulrushpier.fleet.Place;

/**
 * The limit on the requests that all instances together send to one cold replica, and the share of
 * an instance in it.
 *
 * <p>The limit is divided into seats. A seat allows one request in each {@value #WINDOW_MILLIS} ms.
 * Seats are dealt out by rank among the live instances, but an instance never has more of them than
 * it would have if all remembered instances were live and the larger number of seats were dealt
 * out.
 *
 * <p>Invariant: instances that remember the same ones have {@link #most} seats together at most,
 * whichever of them each takes to be live. Immutable and thread-safe.
 *
 * @param perSecond the requests per second that a cold replica bears, or 0 if there is no limit
 * @param overage the factor by which the requests in any second may exceed that
 * @param slack the requests that are allowed in any second in addition
 */
public record ColdLimit(double perSecond, double overage, double slack) {

  /**
   * The time for which a request counts after it was sent, in milliseconds: a second and the
   * resolution of clocks and timers.
   */
  public static final long WINDOW_MILLIS = 1_050;

  /** How long the limit is lifted step by step after the cold time, in milliseconds. */
  public static final long RAMP_MILLIS = 3_000;

  /** The time in which the number of seats doubles after the cold time, in milliseconds. */
  private static final double DOUBLING_MILLIS = 500;

  /** No limit. */
  public static final ColdLimit NONE = new ColdLimit(0, 1, 0);

  /** Returns whether replicas of the service can be cold. */
  public boolean isLimiting() {
    return perSecond > 0;
  }

  /** Returns the requests in any second that must never be exceeded. */
  public int bound() {
    return (int) Math.floor(perSecond * overage + slack);
  }

  /** Returns the number of seats that are dealt out to live instances. */
  public int aim() {
    return Math.min(Math.max(1, (int) Math.floor(perSecond)), bound());
  }

  /** Returns the number of seats beyond which no beliefs about live instances lead. */
  public int most() {
    return (aim() + bound()) / 2;
  }

  /**
   * Returns the number of seats of an instance while the replica is cold.
   *
   * @param place the place of the instance for the replica
   * @return the number of requests that it may send in a window, at least 0
   */
  public int share(Place place) {
    int most = place.isYoung() ? aim() : most();
    return Math.min(place.rememberedShare(most), place.liveShare(aim()));
  }

  /**
   * Returns the number of seats of an instance after the cold time.
   *
   * @param place the place of the instance for the replica
   * @param elapsedMillis the time since the end of the cold time, less than {@link #RAMP_MILLIS}
   * @return the number of requests that it may send in a window, at least 0
   */
  public int share(Place place, long elapsedMillis) {
    return place.liveShare((int) (aim() * Math.pow(2, elapsedMillis / DOUBLING_MILLIS)));
  }
}
