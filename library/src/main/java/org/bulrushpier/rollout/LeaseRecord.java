package org.bulrushpier.rollout;

import java.util.List;

/**
 * The stored state of the lease that permits an instance to order weight changes of one model's
 * engines.
 *
 * <p>Immutable and thread-safe.
 *
 * @param holder the name of the instance that holds the lease
 * @param version the weight version being rolled out
 * @param changing the ids of the engines that are changing their weights and take no requests
 * @param changed the ids of the engines known to serve the version
 * @param isReleased whether the holder has released the lease and sends no more orders under it
 */
public record LeaseRecord(
    String holder, int version, List<String> changing, List<String> changed, boolean isReleased) {

  /** Stands for a stored record that cannot be read: its holder may still send orders. */
  public static final LeaseRecord UNKNOWN = new LeaseRecord("", 0, List.of(), List.of(), false);

  /** Copies the lists. */
  public LeaseRecord {
    changing = List.copyOf(changing);
    changed = List.copyOf(changed);
  }
}
