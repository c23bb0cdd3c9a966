package org.bulrushpier.placing;

import org.bulrushpier.replica.Replica;

/**
 * The result of a placement decision.
 *
 * <p>Implementations are immutable and thread-safe, except for the replica that they refer to.
 */
public sealed interface Placement {

  /**
   * The request is sent to a replica immediately.
   *
   * @param replica the selected replica
   * @param cache how the cached parts of the prompt reach the replica
   * @param expectedMillis the estimated time to the first token, in milliseconds, or 0 for a plain
   *     service
   * @param maxFetchMillis the time from now after which cached parts that have not arrived should
   *     be prefilled instead, in milliseconds
   * @param isAlone whether no other request is known to wait at the replica for its first token
   */
  record Send(
      Replica replica, CachePlan cache, long expectedMillis, long maxFetchMillis, boolean isAlone)
      implements Placement {}

  /**
   * Every suitable engine is saturated; the request may wait for one at this instance.
   *
   * @param reason the reason, which is returned to the caller if the wait is in vain
   */
  record Wait(String reason) implements Placement {}

  /**
   * The request cannot be served in time and is rejected without being executed.
   *
   * @param reason the reason, which is returned to the caller
   * @param retryAfterMillis the time until capacity is expected, in milliseconds
   */
  record Refuse(String reason, long retryAfterMillis) implements Placement {}
}
