package org.bulrushpier.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The total demand of all entries at the time when they last heard from each other, by customer id.
 *
 * <p>Invariant: it does not change while a heartbeat of any entry is missing. Both sides of a
 * partition then divide the limits by the same total, also in the time before they consider each
 * other unreachable, in which only their own demand is up to date.
 *
 * <p>Not thread-safe.
 */
public final class JointDemand {

  private Map<String, Double> demand = Map.of();

  /**
   * Updates the demand if all entries were heard from.
   *
   * @param own the demand at this entry
   * @param peers the demand last reported by each peer
   * @param isComplete whether the last heartbeat of every peer has arrived on time
   */
  public void update(Map<String, Double> own, List<Map<String, Double>> peers, boolean isComplete) {
    if (isComplete) {
      Map<String, Double> sum = new HashMap<>(own);
      peers.forEach(peer -> peer.forEach((id, value) -> sum.merge(id, value, Double::sum)));
      demand = Map.copyOf(sum);
    }
  }

  /** Returns the total demand by customer id. */
  public Map<String, Double> demand() {
    return demand;
  }
}
