package org.bulrushpier.placing;

import java.util.OptionalLong;

/**
 * Estimates the clock that replicas and stores share, from the time that their answers state.
 *
 * <p>An answer states a time that has passed by the delay of the answer, so the largest difference
 * to the local clock is the most accurate one. An estimate that is too early would end transfers
 * too soon; one that is too late does no harm. The estimate expires, since the local clock stands
 * still while the instance is suspended.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class ReplicaClock {

  /** The time for which a difference is used at least, in milliseconds. */
  static final long WINDOW_MILLIS = 5_000;

  private long windowStartMillis = Long.MIN_VALUE / 2;
  private long largest = Long.MIN_VALUE;
  private long largestBefore = Long.MIN_VALUE;

  /**
   * Adds a sample.
   *
   * @param clockMillis the time that an answer states, in milliseconds
   * @param nowMillis the local monotonic time at which it was received, in milliseconds
   * @return false if the time is negative and was ignored
   */
  public boolean sample(long clockMillis, long nowMillis) {
    if (clockMillis < 0) {
      return false;
    }
    rotate(nowMillis);
    largest = Math.max(largest, clockMillis - nowMillis);
    return true;
  }

  /**
   * Converts a local time.
   *
   * @param localMillis a monotonic time, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the time on the replicas' clock, or empty without a recent sample
   */
  public OptionalLong at(long localMillis, long nowMillis) {
    rotate(nowMillis);
    long difference = Math.max(largest, largestBefore);
    return difference == Long.MIN_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(localMillis + difference);
  }

  private void rotate(long nowMillis) {
    long age = nowMillis - windowStartMillis;
    if (age >= WINDOW_MILLIS) {
      largestBefore = age < 2 * WINDOW_MILLIS ? largest : Long.MIN_VALUE;
      largest = Long.MIN_VALUE;
      windowStartMillis = nowMillis;
    }
  }
}
