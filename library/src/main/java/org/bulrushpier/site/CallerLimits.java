package org.bulrushpier.site;

/**
 * What callers may send and how long they may take.
 *
 * <p>Immutable and thread-safe.
 *
 * @param headerBytes the largest head of a request, in bytes
 * @param bodyBytes the largest body, in bytes
 * @param headerTimeoutMillis how long a head may take, in milliseconds
 * @param idleTimeoutMillis how long a connection may stay idle, in milliseconds
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** The limits before a configuration names any. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4 * 1_024 * 1_024, 3_000, 15_000);
}
