package org.bulrushpier;

import java.util.Objects;

/**
 * The unchecked exception used throughout bulrushpier. It carries an error code and states whether
 * the request was executed.
 *
 * <pre>{@code
 * throw BulrushpierException.notRun(ErrorCode.LIMIT_REACHED, "customer escuela: 10 requests/s");
 * }</pre>
 *
 * <p>Immutable and thread-safe apart from the stack trace and suppressed list of its superclass.
 */
public final class BulrushpierException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final Certainty certainty;
  private final long retryAfterMillis;

  private BulrushpierException(
      ErrorCode code, Certainty certainty, String message, long retryAfterMillis, Throwable cause) {
    super(message, cause);
    this.code = Objects.requireNonNull(code, "code");
    this.certainty = Objects.requireNonNull(certainty, "certainty");
    this.retryAfterMillis = retryAfterMillis;
  }

  /**
   * Creates an exception for a request that was definitely not executed.
   *
   * @param code the error code, not null
   * @param message the detail message, including where the error occurred
   * @return the exception
   */
  public static BulrushpierException notRun(ErrorCode code, String message) {
    return new BulrushpierException(code, Certainty.NOT_RUN, message, 0, null);
  }

  /**
   * Creates an exception for a request that may have been executed.
   *
   * @param code the error code, not null
   * @param message the detail message, including where the error occurred
   * @return the exception
   */
  public static BulrushpierException unknown(ErrorCode code, String message) {
    return new BulrushpierException(code, Certainty.OUTCOME_UNKNOWN, message, 0, null);
  }

  /**
   * Creates an exception for a request that was executed and failed.
   *
   * @param code the error code, not null
   * @param message the detail message, including where the error occurred
   * @return the exception
   */
  public static BulrushpierException failed(ErrorCode code, String message) {
    return new BulrushpierException(code, Certainty.FAILED, message, 0, null);
  }

  /** Returns the error code, never null. */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns whether the request was executed.
   *
   * @return the execution certainty, never null
   */
  public Certainty certainty() {
    return certainty;
  }

  /**
   * Returns how long the caller should wait before retrying.
   *
   * @return the delay in milliseconds, or 0 if none is suggested
   */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }

  /**
   * Returns a copy of this exception with a retry delay.
   *
   * @param millis the delay from now in milliseconds, at least 0
   * @return the copy
   */
  public BulrushpierException withRetryAfter(long millis) {
    return new BulrushpierException(code, certainty, getMessage(), millis, getCause());
  }

  /**
   * Returns a copy of this exception with a cause.
   *
   * @param cause the cause, may be null
   * @return the copy
   */
  public BulrushpierException withCause(Throwable cause) {
    return new BulrushpierException(code, certainty, getMessage(), retryAfterMillis, cause);
  }
}
