package org.bulrushpier;

/**
 * A point in time, given by the monotonic clock and the wall clock together.
 *
 * <p>The monotonic clock stops while the host is suspended, and the wall clock may step. An age is
 * therefore the larger of the two differences: it may be overstated after the wall clock steps
 * forward, but suspension alone never makes it understated.
 *
 * <pre>{@code
 * Moment asked = Moment.now();
 * long age = asked.ageMillis(Moment.now());
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param monotonicMillis the monotonic clock, in milliseconds from an arbitrary origin
 * @param wallMillis the wall clock, in milliseconds since the Unix epoch
 */
public record Moment(long monotonicMillis, long wallMillis) {

  /** A moment long before the start of the process. */
  public static final Moment DISTANT_PAST = new Moment(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

  /** Reads both clocks. */
  public static Moment now() {
    return new Moment(MonotonicClock.millis(), System.currentTimeMillis());
  }

  /**
   * Returns the time elapsed from this moment to a later one.
   *
   * @param now the later moment
   * @return the elapsed milliseconds, at least 0
   */
  public long ageMillis(Moment now) {
    long monotonicElapsed = now.monotonicMillis - monotonicMillis;
    long wallElapsed = now.wallMillis - wallMillis;
    return Math.max(0, Math.max(monotonicElapsed, wallElapsed));
  }

  /**
   * Returns the time that has certainly elapsed from this moment to a later one, even if the wall
   * clock has stepped forward in between.
   *
   * @param now the later moment
   * @return the smaller difference of the two clocks in milliseconds, at least 0
   */
  public long minAgeMillis(Moment now) {
    long monotonicElapsed = now.monotonicMillis - monotonicMillis;
    long wallElapsed = now.wallMillis - wallMillis;
    return Math.max(0, Math.min(monotonicElapsed, wallElapsed));
  }

  /**
   * Returns this moment plus a duration.
   *
   * @param millis the milliseconds to add, may be negative
   * @return the resulting moment
   */
  public Moment plusMillis(long millis) {
    return new Moment(monotonicMillis + millis, wallMillis + millis);
  }
}
