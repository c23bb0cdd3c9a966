package org.bulrushpier.placing;

/**
 * Detects that this process itself did not run for a while. What others sent in that time has not
 * been read yet, so their silence proves nothing until it has been.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class StallDetector {

  /** The longest time between two ticks that is not taken for a stall, in milliseconds. */
  private static final long MAX_TICK_MILLIS = 250;

  /** The time after a stall within which what has arrived meanwhile is read, in milliseconds. */
  private static final long RECOVERY_MILLIS = 250;

  private long lastTickMillis = Long.MAX_VALUE;
  private long recoveredMillis = Long.MIN_VALUE;

  /**
   * Records that the process runs; to be called at short intervals.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the duration of the stall that has just ended, in milliseconds, or 0
   */
  public long tick(long nowMillis) {
    long elapsed = lastTickMillis == Long.MAX_VALUE ? 0 : nowMillis - lastTickMillis;
    lastTickMillis = nowMillis;
    if (elapsed <= MAX_TICK_MILLIS) {
      return 0;
    }
    recoveredMillis = nowMillis + RECOVERY_MILLIS;
    return elapsed;
  }

  /**
   * Checks whether the process is still reading what arrived during a stall.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if the silence of others may be caused by the stall
   */
  public boolean isRecovering(long nowMillis) {
    return nowMillis < recoveredMillis;
  }
}
