package org.bulrushpier.poison;

import java.util.Set;

/**
 * The end of one incarnation of a replica, with the shared prompt parts of the requests that broke
 * off with it after their answers had begun.
 *
 * <p>Immutable and thread-safe.
 *
 * @param replica the id of the incarnation
 * @param millis the monotonic time, in milliseconds
 * @param parts the ids of the parts
 */
public record Crash(String replica, long millis, Set<String> parts) {

  /** Copies the set. */
  public Crash {
    parts = Set.copyOf(parts);
  }
}
