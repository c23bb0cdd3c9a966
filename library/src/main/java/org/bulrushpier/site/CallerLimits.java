package org.bulrushpier.site;

/**
 * Limits on the size and duration of callers' requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param headerBytes the maximum size of a request head, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the maximum time to receive a request head, in milliseconds
 * @param idleTimeoutMillis the maximum time for which a connection may be idle, in milliseconds
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** The limits that apply until a configuration specifies others. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4 * 1_024 * 1_024, 3_000, 15_000);
}
