package org.bulrushpier.limit;

/**
 * Limits retries to a fraction of first attempts, so that retries do not multiply the load on a
 * failing upstream.
 *
 * <pre>{@code
 * budget.recordFirstAttempt();
 * if (budget.tryRetry()) { ... }
 * }</pre>
 *
 * <p>Invariant: retries never exceed {@code reserve + ratio * first attempts}. Thread-safe.
 */
public final class RetryBudget {

  /** The default number of retries per first attempt. */
  public static final double DEFAULT_RATIO = 0.08;

  /** The default number of retries available initially, which is also the maximum balance. */
  public static final int DEFAULT_RESERVE = 10;

  private final double ratio;
  private final double reserve;
  private double balance;

  private RetryBudget(double ratio, double reserve) {
    this.ratio = ratio;
    this.reserve = reserve;
    this.balance = reserve;
  }

  /**
   * Creates a budget with a full reserve.
   *
   * @param ratio the number of retries per first attempt, 0 to 1
   * @param reserve the maximum number of retries that can accumulate
   * @return the budget
   */
  public static RetryBudget of(double ratio, int reserve) {
    return new RetryBudget(ratio, reserve);
  }

  /** Records the first attempt of a request. */
  public synchronized void recordFirstAttempt() {
    balance = Math.min(reserve, balance + ratio);
  }

  /**
   * Consumes a retry if the budget allows one.
   *
   * @return true if the request may be retried
   */
  public synchronized boolean tryRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
