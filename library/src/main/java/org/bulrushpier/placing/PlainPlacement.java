package org.bulrushpier.placing;

import java.util.List;
import java.util.Set;
import org.bulrushpier.replica.Replica;

/**
 * Chooses the replica of a plain service: the one with the fewest calls for its slots.
 *
 * <p>The load it answers: short calls at few replicas with few slots, where a replica that is gone
 * silent must stop attracting calls before its breaker has seen failures. Not thread-safe; guarded
 * by the lock of the tables.
 */
public final class PlainPlacement {

  /** How long a load told with an answer is believed, in milliseconds. */
  private static final long TOLD_LIFE_MILLIS = 300;

  /** What crossing failure domains costs, in slots. */
  private static final double CROSSING_SLOTS = 0.3;

  /** What a late call costs, in slots. */
  private static final double OVERDUE_SLOTS = 6;

  /** A share of failures that is no sign of a faulty replica. */
  private static final double USUAL_FAILURES = 0.2;

  /** What a replica that fails every call costs, in slots. */
  private static final double FAILURE_SLOTS = 20;

  private static final long RETRY_MILLIS = 100;

  private final String domain;

  private PlainPlacement(String domain) {
    this.domain = domain;
  }

  /**
   * Creates the policy of an instance.
   *
   * @param domain the instance's failure domain
   * @return the policy
   */
  public static PlainPlacement of(String domain) {
    return new PlainPlacement(domain);
  }

  /**
   * Chooses.
   *
   * @param replicas the replicas to choose from, all usable
   * @param excluded ids of replicas that this call was sent to before
   * @param nowMillis the steady time
   * @return the replica, or a refusal
   */
  public Placement choose(List<Replica> replicas, Set<String> excluded, long nowMillis) {
    Replica best = null;
    double bestCost = Double.MAX_VALUE;
    for (Replica replica : replicas) {
      if (excluded.contains(replica.entry().id())) {
        continue;
      }
      double calls =
          replica.own()
              + replica.others(nowMillis, TOLD_LIFE_MILLIS)
              + replica.overdue(nowMillis) * OVERDUE_SLOTS
              + Math.max(0, replica.failureShare(nowMillis) - USUAL_FAILURES) * FAILURE_SLOTS;
      if (!replica.entry().domain().equals(domain)) {
        calls += CROSSING_SLOTS;
      }
      double cost = calls / Math.max(1, replica.entry().slots());
      if (cost < bestCost) {
        best = replica;
        bestCost = cost;
      }
    }
    return best == null
        ? new Placement.Refuse("no replica can take it", RETRY_MILLIS)
        : new Placement.Send(best, CachePlan.EMPTY, 0);
  }
}
