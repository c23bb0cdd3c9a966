package org.bulrushpier.rollout;

/**
 * The progress of one engine that is to change its weights, as the holder of the order lease sees
 * it.
 *
 * <p>An order that gets no response may be carried out seconds later or not at all. Until a report
 * shows that the engine is changing, it serves requests as before, other engines are ordered, and
 * the order is repeated at intervals. A repetition that arrives after another one was accepted has
 * no effect. An order that is refused, or accepted without effect, counts as unanswered.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop. All times are monotonic, in
 * milliseconds.
 */
public final class EngineChange {

  /** Interval between state reports requested from the engine, in milliseconds. */
  private static final long REPORT_INTERVAL_MILLIS = 100;

  /** The same interval while an order is unanswered, in milliseconds. */
  private static final long UNANSWERED_REPORT_INTERVAL_MILLIS = 300;

  /** Interval between repetitions of an unanswered order, in milliseconds. */
  private static final long REPEAT_INTERVAL_MILLIS = 1_000;

  /** The same interval after many repetitions, in milliseconds. */
  private static final long SLOW_REPEAT_INTERVAL_MILLIS = 5_000;

  private static final int MAX_QUICK_REPETITIONS = 10;

  /** How long an engine that carries out another order is not ordered again, in milliseconds. */
  private static final long BUSY_PAUSE_MILLIS = 300;

  /** How long after an accepted order a report may show the state before it, in milliseconds. */
  private static final long REPORT_LAG_MILLIS = 800;

  /** How long an engine that does not answer may hold up other engines, in milliseconds. */
  private static final long SILENCE_TIMEOUT_MILLIS = 1_500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long sinceMillis;
  private long reportedMillis;
  private long nextReportMillis = NEVER;
  private long acceptedMillis = NEVER;
  private long unansweredMillis = NEVER;
  private long busyUntilMillis = NEVER;
  private int unansweredOrders;
  private boolean isCallPending;
  private boolean isOrderPending;
  private boolean isUnanswered;

  private EngineChange(long nowMillis) {
    sinceMillis = nowMillis;
    reportedMillis = nowMillis;
  }

  /**
   * Creates the progress of an engine that was selected now.
   *
   * @param nowMillis the current time
   * @return the progress
   */
  public static EngineChange start(long nowMillis) {
    return new EngineChange(nowMillis);
  }

  /** Records that a report was requested. */
  public void reportRequested() {
    isCallPending = true;
  }

  /** Records that an order was sent. */
  public void orderSent() {
    isCallPending = true;
    isOrderPending = true;
  }

  /**
   * Records that the call to the engine has ended, with or without a response.
   *
   * @param nowMillis the current time
   */
  public void callEnded(long nowMillis) {
    isCallPending = false;
    isOrderPending = false;
    nextReportMillis =
        nowMillis + (isUnanswered ? UNANSWERED_REPORT_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS);
  }

  /**
   * Checks whether a report should be requested.
   *
   * @param nowMillis the current time
   * @return true if no call is pending and the interval has passed
   */
  public boolean isReportDue(long nowMillis) {
    return !isCallPending && nowMillis >= nextReportMillis;
  }

  /**
   * Checks whether the engine has stopped reporting.
   *
   * @param nowMillis the current time
   * @return true if no report was received for a while
   */
  public boolean isSilent(long nowMillis) {
    return nowMillis - reportedMillis > SILENCE_TIMEOUT_MILLIS;
  }

  /**
   * Records a report.
   *
   * @param isChanging whether the engine carries out an order
   * @param nowMillis the current time
   */
  public void reported(boolean isChanging, long nowMillis) {
    reportedMillis = nowMillis;
    if (isChanging) {
      isUnanswered = false;
    } else if (acceptedMillis != NEVER && nowMillis - acceptedMillis > REPORT_LAG_MILLIS) {
      acceptedMillis = NEVER;
      unanswered(nowMillis);
    }
  }

  /**
   * Checks whether an order should be sent to an engine that carries out none.
   *
   * @param running the number of requests that the engine runs
   * @param waiting the number of requests in its queue
   * @param nowMillis the current time
   * @return true if the engine is drained, or if an unanswered order should be repeated
   */
  public boolean isOrderDue(int running, int waiting, long nowMillis) {
    if (nowMillis < busyUntilMillis) {
      return false;
    }
    return isUnanswered
        ? nowMillis - unansweredMillis >= repeatIntervalMillis()
        : acceptedMillis == NEVER
            && RolloutPlan.isDrained(nowMillis - sinceMillis, running, waiting);
  }

  private long repeatIntervalMillis() {
    return unansweredOrders <= MAX_QUICK_REPETITIONS
        ? REPEAT_INTERVAL_MILLIS
        : SLOW_REPEAT_INTERVAL_MILLIS;
  }

  /**
   * Records that the engine accepted an order.
   *
   * @param nowMillis the current time
   */
  public void accepted(long nowMillis) {
    acceptedMillis = nowMillis;
    isUnanswered = false;
  }

  /**
   * Records that an order got no response, or one that refused it.
   *
   * @param nowMillis the current time
   */
  public void unanswered(long nowMillis) {
    unansweredMillis = nowMillis;
    unansweredOrders++;
    isUnanswered = true;
  }

  /**
   * Records that the engine refused an order because it accepted another one before.
   *
   * @param nowMillis the current time
   */
  public void busy(long nowMillis) {
    busyUntilMillis = nowMillis + BUSY_PAUSE_MILLIS;
  }

  /** Returns whether the last order was not accepted and the engine has not begun to change. */
  public boolean isUnanswered() {
    return isUnanswered;
  }

  /** Returns whether the engine may begin to change at any time because of the last order. */
  public boolean isActive() {
    return !isUnanswered || isOrderPending;
  }
}
