package org.bulrushpier.call;

import java.util.Optional;
import java.util.Set;

/**
 * The attributes of an upstream's response head that routing decisions depend on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param requestId the id of the request that it answers, or empty if it names none
 * @param isSigned whether the response carries the upstream's own signature
 * @param isNotRun whether the upstream states that it did not and will not execute the request
 * @param isEncoded whether the body has a content coding, which no upstream applies itself
 * @param isStream whether the body is an event stream
 * @param load the load reported by the upstream, if any
 * @param isLeaving whether the upstream says that it is about to leave
 * @param deferralMillis how long the upstream wants no further requests from this instance, in
 *     milliseconds, or 0
 * @param coldMillis how long the upstream remains cold, in milliseconds, or 0
 */
public record UpstreamResponse(
    int status,
    String requestId,
    boolean isSigned,
    boolean isNotRun,
    boolean isEncoded,
    boolean isStream,
    Optional<ReportedLoad> load,
    boolean isLeaving,
    long deferralMillis,
    long coldMillis) {

  private static final int MISDIRECTED = 421;

  /** Statuses with which an upstream may state that it did not execute the request. */
  private static final Set<Integer> REFUSALS = Set.of(400, 408, MISDIRECTED, 429, 503);

  /** Statuses that promise a caller that its request was not executed and never will be. */
  private static final Set<Integer> PROMISES = Set.of(408, MISDIRECTED, 429, 503);

  private static final int OK = 200;
  private static final int MIN_SUCCESS = 200;
  private static final int MIN_REDIRECT = 300;
  private static final int MIN_SERVER_ERROR = 500;

  /**
   * The load that an upstream reports with a response. Each figure may be {@link #UNKNOWN}.
   * Immutable and thread-safe.
   *
   * @param running the number of requests that it runs
   * @param waiting the number of requests in its queue
   * @param slots the number of requests that it can run concurrently
   * @param durationPercent how long work takes there at the moment, in hundredths of the usual time
   */
  public record ReportedLoad(int running, int waiting, int slots, int durationPercent) {

    /** Stands for a figure that was not reported. */
    public static final int UNKNOWN = -1;

    /**
     * Creates a report that does not say how long work takes.
     *
     * @param running the number of requests that it runs
     * @param waiting the number of requests in its queue
     * @param slots the number of requests that it can run concurrently
     */
    public ReportedLoad(int running, int waiting, int slots) {
      this(running, waiting, slots, UNKNOWN);
    }

    /** Returns whether the numbers of running and of waiting requests are both known. */
    public boolean hasRequests() {
      return running != UNKNOWN && waiting != UNKNOWN;
    }

    /** Returns whether it is known how long work takes. */
    public boolean hasDuration() {
      return durationPercent != UNKNOWN;
    }
  }

  /**
   * Checks whether this response belongs to a request. A response that names no request may be one
   * to an earlier request on the same connection.
   *
   * @param request the id of the request
   * @param isAttributable whether no other request was sent on the connection
   * @return true if it names the request, or names none and can belong to no other
   */
  public boolean isResponseTo(String request, boolean isAttributable) {
    return requestId.isEmpty() ? isAttributable : requestId.equals(request);
  }

  /**
   * Checks whether the request certainly was not executed.
   *
   * @return true if the upstream says so with a status that does not contradict it
   */
  public boolean isRefusal() {
    return status == MISDIRECTED || (isNotRun && REFUSALS.contains(status));
  }

  /**
   * Checks whether the status promises a caller that the request was not executed, although the
   * upstream does not state that.
   *
   * @return true if the response must not reach the caller of a request that may be run only once
   */
  public boolean isUnfoundedPromise() {
    return !isRefusal() && PROMISES.contains(status);
  }

  /** Returns true if the address now belongs to another instance than the expected one. */
  public boolean isMisdirected() {
    return status == MISDIRECTED;
  }

  /**
   * Checks whether the request succeeded, provided that the complete body follows.
   *
   * @return true for a signed 2xx status without a content coding that does not state that the
   *     request was not executed
   */
  public boolean isSuccess() {
    return status >= MIN_SUCCESS && status < MIN_REDIRECT && isOwnResponse();
  }

  /**
   * Checks whether this is the response of the upstream itself to a request that it executed.
   *
   * @return true if it is signed, has no content coding and does not state that the request was not
   *     executed
   */
  public boolean isOwnResponse() {
    return isSigned && !isEncoded && !isNotRun;
  }

  /**
   * Checks whether the body is a series of events that may begin or continue a stream.
   *
   * @return true for a signed 200 status with an event stream that has no content coding
   */
  public boolean isEventStream() {
    return status == OK && isSuccess() && isStream;
  }

  /**
   * Checks whether the upstream failed to execute the request, so that a retry may succeed.
   *
   * @return true for a 5xx status
   */
  public boolean isServerError() {
    return status >= MIN_SERVER_ERROR;
  }
}
