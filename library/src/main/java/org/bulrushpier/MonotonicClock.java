package org.bulrushpier;

import java.util.concurrent.TimeUnit;

/**
 * The monotonic clock of the host in milliseconds, for timeouts and intervals.
 *
 * <p>It never steps, but it stops while the host is suspended. Use {@link Moment} for ages that
 * must include the time of a suspension. Stateless and thread-safe.
 */
public final class MonotonicClock {

  private MonotonicClock() {}

  /**
   * Returns the current monotonic time.
   *
   * @return milliseconds from an arbitrary origin
   */
  public static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
