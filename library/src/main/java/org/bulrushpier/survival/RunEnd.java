package org.bulrushpier.survival;

import java.util.Optional;
import java.util.Set;

/**
 * Decides from reports of a replica whether it still works on a run whose answer broke off. The end
 * of a connection is not the end of the run: a replica may break off an answer and work on.
 *
 * <p>A report shows a state of some time before. A run that it does not list may have begun since
 * then, unless it began long before, or an earlier report has listed it.
 *
 * <p>Invariant: once the run has ended, it stays so. Not thread-safe; guarded by the lock of the
 * gateway's event loop.
 */
public final class RunEnd {

  /** How old the state that a report shows may be, in milliseconds. */
  static final long REPORT_LAG_MILLIS = 500;

  private final String requestId;
  private final long sinceMillis;
  private final boolean hasBegun;
  private boolean wasListed;
  private boolean isEnded;

  private RunEnd(String requestId, long sinceMillis, boolean hasBegun) {
    this.requestId = requestId;
    this.sinceMillis = sinceMillis;
    this.hasBegun = hasBegun;
  }

  /**
   * Creates the judgement of a run that has begun.
   *
   * @param requestId the id of the request
   * @param begunMillis a monotonic time at which it had begun, in milliseconds
   * @return the judgement
   */
  public static RunEnd ofRun(String requestId, long begunMillis) {
    return new RunEnd(requestId, begunMillis, true);
  }

  /**
   * Creates the judgement of a request that the replica may not have begun.
   *
   * @param requestId the id of the request
   * @param sentMillis the monotonic time at which it was sent, in milliseconds
   * @return the judgement
   */
  public static RunEnd ofRequest(String requestId, long sentMillis) {
    return new RunEnd(requestId, sentMillis, false);
  }

  /**
   * Records a report.
   *
   * @param runs the ids of the requests that the replica works on, or empty if it does not tell
   * @param running the number of requests that it works on
   * @param waiting the number of requests in its queue
   * @param askedMillis the monotonic time at which it was asked, in milliseconds
   */
  public void reported(Optional<Set<String>> runs, int running, int waiting, long askedMillis) {
    boolean isListed = runs.map(ids -> ids.contains(requestId)).orElse(running > 0);
    wasListed |= isListed;
    boolean isRecent = wasListed || askedMillis - sinceMillis >= REPORT_LAG_MILLIS;
    boolean mayWait = !hasBegun && !wasListed && waiting > 0;
    isEnded |= !isListed && isRecent && !mayWait;
  }

  /** Records that the replica or its incarnation is gone, and the run with it. */
  public void replicaGone() {
    isEnded = true;
  }

  /** Returns whether the replica certainly does not work on the run any more. */
  public boolean isEnded() {
    return isEnded;
  }
}
