package org.bulrushpier.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The shares of this entry in all limits, computed from the demand that entries exchange.
 *
 * <pre>{@code
 * Shares shares = Shares.of(own, livePeers, unreachablePeers, jointDemand);
 * double share = shares.of("site/parks/surco");
 * }</pre>
 *
 * <p>The share of an entry in the limits of a node is {@code FLOOR / n + (1 - FLOOR) * reachable *
 * own / live}. Here {@code n} is the number of all entries, {@code own} the demand at this entry,
 * {@code live} the demand at all reachable entries, this one included, and {@code reachable} the
 * fraction of the last joint demand that arrived at them. An unreachable entry may be on the other
 * side of a network partition and still serve requests, so its part stays reserved, however the
 * demand changes on either side of the partition.
 *
 * <p>Invariant: if all entries on a side of a partition know the same demands, and both sides know
 * the same joint demand, the shares in a node add up to at most one. Immutable and thread-safe.
 */
public final class Shares {

  /** The fraction of every limit that is divided evenly, independent of the demand. */
  static final double FLOOR = 0.2;

  private static final Shares ALONE = new Shares(1, 1, Map.of(), Map.of(), Map.of(), Map.of());

  private final int entries;
  private final int liveEntries;
  private final Map<String, Double> own;
  private final Map<String, Double> live;
  private final Map<String, Double> unreachable;
  private final Map<String, Double> joint;

  private Shares(
      int entries,
      int liveEntries,
      Map<String, Double> own,
      Map<String, Double> live,
      Map<String, Double> unreachable,
      Map<String, Double> joint) {
    this.entries = entries;
    this.liveEntries = liveEntries;
    this.own = own;
    this.live = live;
    this.unreachable = unreachable;
    this.joint = joint;
  }

  /**
   * Returns the shares of an entry without peers.
   *
   * @return shares that are 1 for every node
   */
  public static Shares alone() {
    return ALONE;
  }

  /**
   * Computes the shares. All demands are given by customer id.
   *
   * @param ownDemand the demand at this entry
   * @param livePeers the demand at each reachable peer
   * @param unreachablePeers the last known demand at each peer that is unreachable but not known to
   *     have been removed
   * @param jointDemand the total demand at the time when all entries were last reachable
   * @return the shares
   */
  public static Shares of(
      Map<String, Double> ownDemand,
      List<Map<String, Double>> livePeers,
      List<Map<String, Double>> unreachablePeers,
      Map<String, Double> jointDemand) {
    Map<String, Double> own = byPath(List.of(ownDemand));
    Map<String, Double> live = byPath(livePeers);
    own.forEach((path, demand) -> live.merge(path, demand, Double::sum));
    int liveEntries = 1 + livePeers.size();
    return new Shares(
        liveEntries + unreachablePeers.size(),
        liveEntries,
        own,
        live,
        byPath(unreachablePeers),
        byPath(List.of(jointDemand)));
  }

  /**
   * Returns this entry's share in the limits of a node.
   *
   * @param path the id of a customer or the path of a team
   * @return the share, greater than 0 and at most 1
   */
  public double of(String path) {
    double total = live.getOrDefault(path, 0.0);
    double localFraction = total > 0 ? own.getOrDefault(path, 0.0) / total : 1.0 / liveEntries;
    return FLOOR / entries + (1 - FLOOR) * reachableFraction(path) * localFraction;
  }

  /** Returns the fraction of the demand-based part that belongs to the reachable entries. */
  private double reachableFraction(String path) {
    if (entries == liveEntries) {
      return 1;
    }
    double jointDemand = joint.getOrDefault(path, 0.0);
    if (jointDemand <= 0) {
      return (double) liveEntries / entries;
    }
    return Math.max(0, 1 - unreachable.getOrDefault(path, 0.0) / jointDemand);
  }

  private static Map<String, Double> byPath(List<Map<String, Double>> demands) {
    Map<String, Double> sums = new HashMap<>();
    for (Map<String, Double> demand : demands) {
      demand.forEach((id, value) -> addToPath(sums, id, value));
    }
    return sums;
  }

  private static void addToPath(Map<String, Double> sums, String id, double demand) {
    for (String path = id; !path.isEmpty(); path = parent(path)) {
      sums.merge(path, demand, Double::sum);
    }
  }

  private static String parent(String path) {
    int slash = path.lastIndexOf('/');
    return slash < 0 ? "" : path.substring(0, slash);
  }
}
