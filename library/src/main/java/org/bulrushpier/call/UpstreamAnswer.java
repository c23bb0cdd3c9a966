package org.bulrushpier.call;

import java.util.Optional;

/**
 * The head of an upstream's answer as far as decisions need it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param requestId the request that it answers, or empty if it names none
 * @param isSigned whether the upstream's own signature is on it
 * @param isNotRun whether the upstream states that it did not and will not run the request
 * @param isEncoded whether the body went through a content coding, which no upstream uses
 * @param isStream whether the body is a stream of events
 * @param load the load the upstream tells, if it does
 */
public record UpstreamAnswer(
    int status,
    String requestId,
    boolean isSigned,
    boolean isNotRun,
    boolean isEncoded,
    boolean isStream,
    Optional<ToldLoad> load) {

  private static final int MISDIRECTED = 421;
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * The load that an upstream tells with an answer. Immutable and thread-safe.
   *
   * @param running requests it runs
   * @param waiting requests that wait at it
   * @param slots requests it can run at once
   */
  public record ToldLoad(int running, int waiting, int slots) {}

  /**
   * Tells whether the request certainly did not run.
   *
   * @return true if the upstream says so
   */
  public boolean isRefusal() {
    return isNotRun || status == MISDIRECTED;
  }

  /**
   * Tells whether another instance than the expected one has the address now.
   *
   * @return true if so
   */
  public boolean isMisdirected() {
    return status == MISDIRECTED;
  }

  /**
   * Tells whether the request succeeded, if the body follows whole.
   *
   * @return true for a signed 2xx status without content coding
   */
  public boolean isSuccess() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT && isSigned && !isEncoded;
  }

  /**
   * Tells whether the upstream failed the request, so that a repetition may help.
   *
   * @return true for 5xx
   */
  public boolean isServerError() {
    return status >= FIRST_SERVER_ERROR;
  }
}
