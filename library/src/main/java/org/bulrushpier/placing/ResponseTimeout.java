package org.bulrushpier.placing;

/**
 * Limits how long a request may wait at an upstream for its response to begin before it is sent to
 * another upstream.
 *
 * <p>Distinguishes busy upstreams from failed ones. A request that is queued at an engine which
 * answers other requests is better left there, since sending it again doubles the work at the time
 * of the highest load. A request at an engine that does not answer any request times out earlier.
 *
 * <pre>{@code
 * ResponseTimeout.of(expectedMillis, goalMillis)
 *     .isExpired(sentMillis, lastActivityMillis, nowMillis);
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 */
public final class ResponseTimeout {

  /**
   * The lower bound of the timeout, in milliseconds: a few times the duration of a plain request.
   */
  private static final long MIN_MILLIS = 250;

  /**
   * The timeout at an upstream that does not answer any request, as a multiple of the predicted
   * time or the goal, whichever is longer.
   */
  private static final int EXPECTED_MULTIPLE = 2;

  /**
   * Extends the timeout at an upstream that answers other requests. The timeout remains finite
   * since the answer to this request may be lost.
   */
  private static final double ALIVE_FACTOR = 1.5;

  private final long millis;

  private ResponseTimeout(long millis) {
    this.millis = millis;
  }

  /**
   * Creates the timeout of one request.
   *
   * @param expectedMillis the predicted time from sending the request to its answer, in
   *     milliseconds
   * @param goalMillis the time within which callers expect an answer, in milliseconds
   * @return the timeout
   */
  public static ResponseTimeout of(long expectedMillis, long goalMillis) {
    return new ResponseTimeout(
        Math.max(MIN_MILLIS, EXPECTED_MULTIPLE * Math.max(expectedMillis, goalMillis)));
  }

  /**
   * Checks whether the request should be sent to another upstream.
   *
   * @param sentMillis the monotonic time at which the request was sent, in milliseconds
   * @param lastActivityMillis the monotonic time at which the upstream last answered any request,
   *     in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if the timeout has expired
   */
  public boolean isExpired(long sentMillis, long lastActivityMillis, long nowMillis) {
    boolean isAlive = nowMillis - lastActivityMillis < millis / EXPECTED_MULTIPLE;
    return nowMillis - sentMillis > (isAlive ? millis * ALIVE_FACTOR : millis);
  }
}
