package org.bulrushpier.placing;

/**
 * How long callers wait for the next event of a stream before they abandon it.
 *
 * <p>Immutable and thread-safe.
 */
public final class CallerPatience {

  private static final long MIN_MILLIS = 2_000;
  private static final int GOAL_MULTIPLE = 4;
  private static final int GAP_MULTIPLE = 8;

  private final long millis;

  private CallerPatience(long millis) {
    this.millis = millis;
  }

  /**
   * Creates the patience of a route's callers.
   *
   * @param goalMillis the time within which they expect the first event, in milliseconds
   * @param gapMillis the longest pause between events that they expect, in milliseconds
   * @return the patience
   */
  public static CallerPatience of(long goalMillis, long gapMillis) {
    return new CallerPatience(
        Math.max(MIN_MILLIS, Math.max(GOAL_MULTIPLE * goalMillis, GAP_MULTIPLE * gapMillis)));
  }

  /**
   * Checks whether callers have abandoned a stream.
   *
   * @param lastEventMillis the monotonic time of its last event, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if they no longer wait for the next event
   */
  public boolean isExhausted(long lastEventMillis, long nowMillis) {
    return nowMillis - lastEventMillis >= millis;
  }
}
