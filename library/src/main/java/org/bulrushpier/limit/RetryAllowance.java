package org.bulrushpier.limit;

import java.util.ArrayDeque;

/**
 * This instance's part of the retries that all instances together may send to one service.
 *
 * <p>Invariant: in any window, repeats never exceed {@code ratio * first tries + minimum}, both of
 * this instance; as the shares of all instances add up, so does the whole. Not thread-safe.
 */
public final class RetryAllowance {

  private final double ratio;
  private final double minimum;
  private final long windowMillis;
  private final ArrayDeque<Long> firstTries = new ArrayDeque<>();
  private final ArrayDeque<Long> repeats = new ArrayDeque<>();

  private RetryAllowance(double ratio, double minimum, long windowMillis) {
    this.ratio = ratio;
    this.minimum = minimum;
    this.windowMillis = windowMillis;
  }

  /**
   * Creates an allowance.
   *
   * @param ratio repeats for each first try
   * @param minimum repeats allowed in a window without any first try
   * @param windowMillis the window's length in milliseconds
   * @return the allowance
   */
  public static RetryAllowance of(double ratio, double minimum, long windowMillis) {
    return new RetryAllowance(ratio, minimum, windowMillis);
  }

  /**
   * Counts a request.
   *
   * @param nowMillis the steady time
   */
  public void firstTry(long nowMillis) {
    prune(nowMillis);
    firstTries.add(nowMillis);
  }

  /**
   * Takes a repeat if one is left.
   *
   * @param nowMillis the steady time
   * @return true if the request may be sent once more
   */
  public boolean tryRepeat(long nowMillis) {
    prune(nowMillis);
    if (repeats.size() + 1 > ratio * firstTries.size() + minimum) {
      return false;
    }
    repeats.add(nowMillis);
    return true;
  }

  private void prune(long nowMillis) {
    prune(firstTries, nowMillis);
    prune(repeats, nowMillis);
  }

  private void prune(ArrayDeque<Long> times, long nowMillis) {
    while (!times.isEmpty() && nowMillis - times.peek() >= windowMillis) {
      times.poll();
    }
  }
}
