package org.bulrushpier.replica;

import java.util.Map;
import org.bulrushpier.Address;

/**
 * A replica's entry in the platform's registry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the replica, which it keeps when it restarts
 * @param service the name of its service
 * @param address the address on which it listens
 * @param domain its failure domain
 * @param slots the number of requests that it runs concurrently
 * @param isDraining whether it is about to leave
 * @param startMillis the start time of this incarnation, in Unix milliseconds, or 0 if the entry
 *     lacks it
 * @param weightVersions the weight version that it serves for each model
 * @param coldMillis how long it remains cold, in milliseconds, or 0
 */
public record ReplicaEntry(
    String id,
    String service,
    Address address,
    String domain,
    int slots,
    boolean isDraining,
    long startMillis,
    Map<String, Integer> weightVersions,
    long coldMillis) {

  /** Copies the map. */
  public ReplicaEntry {
    weightVersions = Map.copyOf(weightVersions);
  }

  /** Creates the entry of a replica that is not cold. */
  public ReplicaEntry(
      String id,
      String service,
      Address address,
      String domain,
      int slots,
      boolean isDraining,
      long startMillis,
      Map<String, Integer> weightVersions) {
    this(id, service, address, domain, slots, isDraining, startMillis, weightVersions, 0);
  }

  /** Returns an id that differs from that of any other incarnation. */
  public String incarnation() {
    return id + "@" + startMillis;
  }
}
