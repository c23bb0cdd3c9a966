package org.bulrushpier;

import java.util.concurrent.TimeUnit;

/**
 * The steady clock of the host in milliseconds, for timeouts and intervals.
 *
 * <p>It never steps, but stands still while the host is suspended; see {@link Moment} for the age
 * of what must not outlive a suspension. Holds no state; thread-safe.
 */
public final class Steady {

  private Steady() {}

  /**
   * Returns the current steady time.
   *
   * @return milliseconds from an arbitrary origin
   */
  public static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
