package org.bulrushpier;

/**
 * The call contract of one operation of a plain service: which requests it covers, whether they are
 * idempotent and how long they may take.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the operation's name
 * @param service the service that executes it
 * @param method the HTTP method
 * @param path the exact path, or a path prefix followed by {@code /*}
 * @param isIdempotent true if executing it twice has the same effect as executing it once
 * @param deadlineMillis the time allowed from the arrival of a request to its response
 */
public record Contract(
    String name,
    String service,
    String method,
    String path,
    boolean isIdempotent,
    long deadlineMillis) {

  /**
   * Returns whether a request calls this operation.
   *
   * @param requestMethod the HTTP method
   * @param requestPath the path relative to the service
   * @return true if the method and the path match
   */
  public boolean matches(String requestMethod, String requestPath) {
    if (!method.equals(requestMethod)) {
      return false;
    }
    if (path.endsWith("/*")) {
      return requestPath.startsWith(path.substring(0, path.length() - 1));
    }
    return path.equals(requestPath);
  }
}
