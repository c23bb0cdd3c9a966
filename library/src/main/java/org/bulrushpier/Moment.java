package org.bulrushpier;

/**
 * A point in time, read from the steady clock and from the time of day together.
 *
 * <p>The steady clock stands still while the host is suspended, and the time of day may step. An
 * age is therefore the larger of both differences: it may be overstated after a step forward, and
 * is never understated by a suspension alone.
 *
 * <pre>{@code
 * Moment asked = Moment.now(clock);
 * long age = asked.ageMillis(Moment.now(clock));
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param steadyMillis the steady clock, in milliseconds from an arbitrary origin
 * @param wallMillis the time of day, in milliseconds since the Unix epoch
 */
public record Moment(long steadyMillis, long wallMillis) {

  /**
   * Returns the current moment.
   *
   * @return the moment
   */
  public static Moment now() {
    return new Moment(Steady.millis(), System.currentTimeMillis());
  }

  /**
   * Returns how much time passed since this moment.
   *
   * @param now the later moment
   * @return milliseconds, at least 0
   */
  public long ageMillis(Moment now) {
    long steady = now.steadyMillis - steadyMillis;
    long wall = now.wallMillis - wallMillis;
    return Math.max(0, Math.max(steady, wall));
  }

  /**
   * Returns a moment a while later.
   *
   * @param millis milliseconds, may be negative
   * @return the moment
   */
  public Moment plusMillis(long millis) {
    return new Moment(steadyMillis + millis, wallMillis + millis);
  }
}
