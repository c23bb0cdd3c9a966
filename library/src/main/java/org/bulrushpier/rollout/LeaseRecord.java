package org.bulrushpier.rollout;

import java.util.List;

/**
 * The stored state of the right to give orders about one model's engines.
 *
 * <p>Immutable and thread-safe.
 *
 * @param holder the instance that gives orders
 * @param version the version being brought to the engines
 * @param changing the engines that are changing now and take no calls
 * @param changed the engines known to serve the version
 * @param isReleased whether the holder gives no more orders under this record
 */
public record LeaseRecord(
    String holder, int version, List<String> changing, List<String> changed, boolean isReleased) {

  /** Copies the lists. */
  public LeaseRecord {
    changing = List.copyOf(changing);
    changed = List.copyOf(changed);
  }
}
