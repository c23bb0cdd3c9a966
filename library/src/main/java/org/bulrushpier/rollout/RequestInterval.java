package org.bulrushpier.rollout;

import org.bulrushpier.Moment;

/**
 * The interval in which a weight version was requested, as far as an instance can tell.
 *
 * <p>An instance that watched the requests knows both ends closely. An instance that was not there,
 * because it started later or was cut off, knows only when it first saw the version. It asks the
 * others, and {@linkplain #intersect intersects} their intervals with its own.
 *
 * <p>Invariant: the version was requested at some moment from the first to the last one. Immutable
 * and thread-safe.
 *
 * @param notBefore the latest moment at which the version was certainly not requested yet
 * @param notAfter the earliest moment at which the version is known to have been requested
 */
public record RequestInterval(Moment notBefore, Moment notAfter) {

  /** The longest interval that is precise enough to plan by, in milliseconds. */
  private static final long PRECISE_MILLIS = 4_000;

  /**
   * Returns the interval of a version that an instance saw without having watched before.
   *
   * @param seen the moment at which the version was seen
   * @return the interval without a first moment
   */
  public static RequestInterval before(Moment seen) {
    return new RequestInterval(Moment.DISTANT_PAST, seen);
  }

  /**
   * Returns the interval of a version that was requested at a known moment.
   *
   * @param moment the moment
   * @return the interval
   */
  public static RequestInterval at(Moment moment) {
    return new RequestInterval(moment, moment);
  }

  /**
   * Combines what two instances know about the same request. If they contradict each other, because
   * a clock has stepped, the earlier moment counts.
   *
   * @param other the other interval
   * @param now the current moment
   * @return the later of the first moments, and the earlier of the last moments
   */
  public RequestInterval intersect(RequestInterval other, Moment now) {
    Moment first =
        earlier(notBefore, other.notBefore, now) == notBefore ? other.notBefore : notBefore;
    Moment last = earlier(notAfter, other.notAfter, now);
    return new RequestInterval(earlier(first, last, now), last);
  }

  private static Moment earlier(Moment a, Moment b, Moment now) {
    return a.ageMillis(now) >= b.ageMillis(now) ? a : b;
  }

  /** Returns whether the first moment is known. */
  public boolean isDated() {
    return !notBefore.equals(Moment.DISTANT_PAST);
  }

  /**
   * Checks whether the interval is short enough to plan by.
   *
   * @return false if other instances should be asked
   */
  public boolean isPrecise() {
    return notBefore.ageMillis(notAfter) <= PRECISE_MILLIS;
  }
}
