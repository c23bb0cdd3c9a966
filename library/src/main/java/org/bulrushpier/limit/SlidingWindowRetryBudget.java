package org.bulrushpier.limit;

import java.util.ArrayDeque;

/**
 * A retry budget over a sliding window: this instance's share of the retries that all instances
 * together may send to a service.
 *
 * <p>Invariant: in any window, the retries of this instance never exceed {@code ratio * first
 * attempts + minimum}, where the first attempts are those of this instance. As the shares of all
 * instances add up, the same bound holds for their total. Not thread-safe.
 */
public final class SlidingWindowRetryBudget {

  private final double ratio;
  private double minimum;
  private final long windowMillis;
  private final ArrayDeque<Long> firstAttempts = new ArrayDeque<>();
  private final ArrayDeque<Long> retries = new ArrayDeque<>();

  /**
   * The number of instances that is assumed until more are known. An instance that has just started
   * or is cut off must not take too large a share.
   */
  private static final int MIN_INSTANCES = 16;

  /**
   * The part of the minimum that is divided among the instances. The rest covers windows that end
   * at different times at different instances.
   */
  private static final double DIVIDED_PART = 0.5;

  private SlidingWindowRetryBudget(double ratio, double minimum, long windowMillis) {
    this.ratio = ratio;
    this.minimum = minimum;
    this.windowMillis = windowMillis;
  }

  /**
   * Creates a budget without any recorded attempts.
   *
   * @param ratio the number of retries per first attempt
   * @param minimum the number of retries allowed in a window without first attempts
   * @param windowMillis the length of the window in milliseconds
   * @return the budget
   */
  public static SlidingWindowRetryBudget of(double ratio, double minimum, long windowMillis) {
    return new SlidingWindowRetryBudget(ratio, minimum, windowMillis);
  }

  /**
   * Returns one instance's share of the minimum that all instances may use together.
   *
   * @param minimum the number of retries allowed in a window in addition to the ratio, over all
   *     instances
   * @param instances the largest number of instances that has been seen
   * @return the share, at most 1/{@code instances} of the minimum
   */
  public static double minimumShare(double minimum, int instances) {
    return minimum * DIVIDED_PART / Math.max(MIN_INSTANCES, instances);
  }

  /**
   * Changes the number of retries allowed in a window without first attempts.
   *
   * @param newMinimum the number
   */
  public void minimum(double newMinimum) {
    minimum = newMinimum;
  }

  /**
   * Records the first attempt of a request.
   *
   * @param nowMillis the monotonic time
   */
  public void recordFirstAttempt(long nowMillis) {
    prune(nowMillis);
    firstAttempts.add(nowMillis);
  }

  /**
   * Consumes a retry if the budget allows one.
   *
   * @param nowMillis the monotonic time
   * @return true if the request may be retried once
   */
  public boolean tryRetry(long nowMillis) {
    if (!mayRetry(nowMillis)) {
      return false;
    }
    retries.add(nowMillis);
    return true;
  }

  /**
   * Checks whether the budget allows a retry, without consuming it.
   *
   * @param nowMillis the monotonic time
   * @return true if a request may be retried once
   */
  public boolean mayRetry(long nowMillis) {
    prune(nowMillis);
    return retries.size() + 1 <= ratio * firstAttempts.size() + minimum;
  }

  private void prune(long nowMillis) {
    prune(firstAttempts, nowMillis);
    prune(retries, nowMillis);
  }

  private void prune(ArrayDeque<Long> times, long nowMillis) {
    while (!times.isEmpty() && nowMillis - times.peek() >= windowMillis) {
      times.poll();
    }
  }
}
