package org.bulrushpier.replica;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.bulrushpier.limit.ColdLimit;

/**
 * Until when one incarnation of a replica is taken to be cold, and the requests that this instance
 * has sent it in the current window.
 *
 * <p>Invariants: news never shorten the cold time; a request counts from its placement until {@link
 * ColdLimit#WINDOW_MILLIS} after it was sent, unless the replica said that it did not count.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class ColdSpell {

  /** How long a replica may have restarted unnoticed after a sign of it, in milliseconds. */
  static final long SUSPICION_MILLIS = 10_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ArrayDeque<Send> sends = new ArrayDeque<>();
  private long coldUntilMillis = NEVER;
  private long suspectUntilMillis = NEVER;
  private long refusedUntilMillis = NEVER;
  private long pausedUntilMillis = NEVER;

  /** A request to the replica. */
  public static final class Send {
    private static final long NOT_YET = Long.MAX_VALUE;

    private long sentMillis = NOT_YET;
    private boolean isWithdrawn;

    /**
     * Records that the request is being written to a connection.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void sent(long nowMillis) {
      sentMillis = nowMillis;
    }

    /** Records that the request was not sent, or that the replica does not count it. */
    public void withdraw() {
      isWithdrawn = true;
    }

    /** Records that the request has ended; it no longer counts if it was never sent. */
    public void end() {
      isWithdrawn |= sentMillis == NOT_YET;
    }

    private boolean isOver(long nowMillis) {
      return isWithdrawn
          || sentMillis != NOT_YET && nowMillis - sentMillis >= ColdLimit.WINDOW_MILLIS;
    }
  }

  /**
   * Records how long the replica remains cold.
   *
   * @param leftMillis the time that the replica stated, in milliseconds
   * @param nowMillis the monotonic time of the receipt, in milliseconds
   * @return true if it was not cold before
   */
  boolean told(long leftMillis, long nowMillis) {
    if (leftMillis <= 0) {
      return false;
    }
    boolean wasCold = isCold(nowMillis);
    coldUntilMillis = Math.max(coldUntilMillis, nowMillis + leftMillis);
    return !wasCold;
  }

  /**
   * Records that others may have sent requests just before the news of the cold time.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  void pause(long nowMillis) {
    pausedUntilMillis = nowMillis + ColdLimit.WINDOW_MILLIS;
  }

  /**
   * Records a sign that the replica may have restarted.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if there was no such sign before
   */
  boolean suspect(long nowMillis) {
    boolean wasSuspect = isSuspect(nowMillis);
    suspectUntilMillis = nowMillis + SUSPICION_MILLIS;
    return !wasSuspect;
  }

  /**
   * Records that the replica refused a connection: whatever answers there next has just started.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  void refused(long nowMillis) {
    refusedUntilMillis = nowMillis + SUSPICION_MILLIS;
  }

  /**
   * Records that the registry says that the replica has not restarted, which does not count if it
   * refused connections.
   */
  void clearSuspicion() {
    suspectUntilMillis = NEVER;
  }

  /** Records that the replica has answered, so that its cold time is known. */
  void answered() {
    suspectUntilMillis = NEVER;
    refusedUntilMillis = NEVER;
  }

  boolean isSuspect(long nowMillis) {
    return nowMillis < suspicionEndMillis();
  }

  private long suspicionEndMillis() {
    return Math.max(suspectUntilMillis, refusedUntilMillis);
  }

  /**
   * Checks whether the replica is taken to be cold.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if it is cold or may have restarted
   */
  public boolean isCold(long nowMillis) {
    return nowMillis < coldUntilMillis || isSuspect(nowMillis);
  }

  /**
   * Returns how long the replica remains cold.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the time in milliseconds, or 0
   */
  public long leftMillis(long nowMillis) {
    return isCold(nowMillis) ? Math.max(coldUntilMillis, suspicionEndMillis()) - nowMillis : 0;
  }

  boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }

  /**
   * Returns the time since the replica was last taken to be cold. It counts as cold until the end
   * of a suspicion that nothing has cleared.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the time in milliseconds, which is long if it never was
   */
  public long warmMillis(long nowMillis) {
    return nowMillis - Math.max(coldUntilMillis, suspicionEndMillis());
  }

  /**
   * Records a request that is about to be sent.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the request
   */
  Send begin(long nowMillis) {
    prune(nowMillis);
    Send send = new Send();
    sends.add(send);
    return send;
  }

  /**
   * Returns the number of requests that count now.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the number of requests that are to be sent or were sent in the window
   */
  public int sends(long nowMillis) {
    prune(nowMillis);
    return sends.size();
  }

  private void prune(long nowMillis) {
    for (Iterator<Send> it = sends.iterator(); it.hasNext(); ) {
      if (it.next().isOver(nowMillis)) {
        it.remove();
      }
    }
  }
}
