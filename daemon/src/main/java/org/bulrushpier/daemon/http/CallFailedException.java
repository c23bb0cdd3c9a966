package org.bulrushpier.daemon.http;

/**
 * Thrown when a call to another process did not receive a complete response.
 *
 * <p>Immutable and thread-safe apart from the mutable parts of its superclass.
 */
public final class CallFailedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean isSent;

  CallFailedException(String message, boolean isSent, Throwable cause) {
    super(message, cause);
    this.isSent = isSent;
  }

  /**
   * Tells whether any byte of the request may have reached the other process.
   *
   * @return false only if it is certain that nothing was sent
   */
  public boolean isSent() {
    return isSent;
  }
}
