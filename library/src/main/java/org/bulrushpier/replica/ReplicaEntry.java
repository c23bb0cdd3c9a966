package org.bulrushpier.replica;

import java.util.Map;
import org.bulrushpier.Address;

/**
 * What a replica says of itself in the platform's registry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the identity of the replica
 * @param service the service that it belongs to
 * @param address where it listens
 * @param domain its failure domain
 * @param slots requests it runs at once
 * @param isDraining whether it is about to leave
 * @param bornMillis when this life began, in Unix milliseconds, or 0 if it does not say
 * @param weightVersions the version of each model it serves
 */
public record ReplicaEntry(
    String id,
    String service,
    Address address,
    String domain,
    int slots,
    boolean isDraining,
    long bornMillis,
    Map<String, Integer> weightVersions) {

  /** Copies the map. */
  public ReplicaEntry {
    weightVersions = Map.copyOf(weightVersions);
  }
}
