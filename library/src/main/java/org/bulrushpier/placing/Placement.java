package org.bulrushpier.placing;

import org.bulrushpier.replica.Replica;

/**
 * Where a call goes.
 *
 * <p>Implementations are immutable and thread-safe, apart from the replica they name.
 */
public sealed interface Placement {

  /**
   * The call goes to a replica at once.
   *
   * @param replica the replica
   * @param cache how the prompt's parts get into the replica's memory
   * @param expectedMillis the estimated time to the answer or to the first token
   */
  record Send(Replica replica, CachePlan cache, long expectedMillis) implements Placement {}

  /**
   * The call cannot be served in time and is turned away unrun.
   *
   * @param reason why
   * @param retryAfterMillis when room is expected
   */
  record Refuse(String reason, long retryAfterMillis) implements Placement {}
}
