package org.bulrushpier.limit;

/**
 * A circuit breaker, which stops calls to an upstream that fails repeatedly.
 *
 * <p>After {@link #FAILURES_TO_OPEN} consecutive failures the circuit opens. The time for which it
 * stays open doubles with each further failure, up to a limit. When this time is over, a single
 * call is allowed as a probe. Thread-safe.
 */
public final class CircuitBreaker {

  /** The number of consecutive failures that opens the circuit. */
  public static final int FAILURES_TO_OPEN = 3;

  private static final long MIN_OPEN_MILLIS = 500;
  private static final long MAX_OPEN_MILLIS = 8_000;

  private int failures;
  private long openUntilMillis;
  private long openMillis = MIN_OPEN_MILLIS;

  /**
   * Returns whether the upstream may be selected.
   *
   * @param nowMillis the current time
   * @return true if the circuit is closed or a probe is due
   */
  public synchronized boolean isUsable(long nowMillis) {
    return failures < FAILURES_TO_OPEN || nowMillis >= openUntilMillis;
  }

  /** Returns whether the last calls failed, so that the next one is a probe. */
  public synchronized boolean isOpen() {
    return failures >= FAILURES_TO_OPEN;
  }

  /**
   * Records the start of a call. If the call is a probe, the circuit stays open for other calls
   * while it runs, for at most the current open time.
   *
   * @param nowMillis the current time
   */
  public synchronized void begin(long nowMillis) {
    if (failures >= FAILURES_TO_OPEN) {
      openUntilMillis = nowMillis + openMillis;
    }
  }

  /** Records a successful call and closes the circuit. */
  public synchronized void succeeded() {
    failures = 0;
    openMillis = MIN_OPEN_MILLIS;
  }

  /**
   * Records a failed call.
   *
   * @param nowMillis the current time
   */
  public synchronized void failed(long nowMillis) {
    failures++;
    if (failures >= FAILURES_TO_OPEN) {
      openUntilMillis = nowMillis + openMillis;
      openMillis = Math.min(MAX_OPEN_MILLIS, openMillis * 2);
    }
  }
}
