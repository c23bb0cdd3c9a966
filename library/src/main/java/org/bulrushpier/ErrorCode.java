package org.bulrushpier;

/**
 * The error codes of failed and rejected requests.
 *
 * <p>The codes are part of the public interface: operators look them up in the documentation and
 * callers may branch on them. Immutable and thread-safe.
 */
public enum ErrorCode {
  /** The request is malformed. */
  BAD_REQUEST("bad-request", 400),
  /** The caller's or operator's API key is missing or unknown. */
  BAD_KEY("bad-key", 401),
  /** The API key is valid but does not permit this action. */
  NOT_ALLOWED("not-allowed", 403),
  /** The named deployment, operation or path does not exist. */
  NOT_FOUND("not-found", 404),
  /** The object has changed since it was read. */
  CONFLICT("conflict", 409),
  /** The idempotency key was already used for a different request. */
  KEY_REUSED("key-reused", 422),
  /** No outcome is recorded for the first call with this idempotency key. */
  OUTCOME_UNKNOWN("outcome-unknown", 409),
  /** The body exceeds the size limit. */
  TOO_LARGE("too-large", 413),
  /** The settings failed validation. */
  INVALID_SETTINGS("invalid-settings", 422),
  /** A limit of the customer, team or site has been reached. */
  LIMIT_REACHED("limit-reached", 429),
  /** The request cannot meet its deadline. */
  DEADLINE("deadline", 503),
  /** No upstream can currently accept the request. */
  NO_UPSTREAM("no-upstream", 503),
  /** The instance is shutting down. */
  LEAVING("leaving", 503),
  /** The platform's object API is unreachable. */
  PLATFORM_UNAVAILABLE("platform-unavailable", 503),
  /** The upstream aborted the response. */
  UPSTREAM_BROKEN("upstream-broken", 502),
  /** The upstream's response violates its contract. */
  UPSTREAM_INVALID("upstream-invalid", 502),
  /** A peer sent a malformed frame. */
  BAD_FRAME("bad-frame", 400),
  /** An internal error of bulrushpier. */
  INTERNAL("internal", 500);

  private final String text;
  private final int httpStatus;

  ErrorCode(String text, int httpStatus) {
    this.text = text;
    this.httpStatus = httpStatus;
  }

  /**
   * Returns the code as written in responses and logs.
   *
   * @return lower-case words joined by hyphens
   */
  public String text() {
    return text;
  }

  /**
   * Returns the HTTP status that corresponds to the code.
   *
   * @return a status from 400 to 599
   */
  public int httpStatus() {
    return httpStatus;
  }
}
