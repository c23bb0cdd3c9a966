package org.bulrushpier.placing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.replica.Replica;

/**
 * Selects the replica of a plain service with the fewest requests in relation to its slots and to
 * how long work takes there at the moment.
 *
 * <p>Designed for short requests to few replicas with few slots, where a replica that has stopped
 * answering must not attract further requests before its circuit breaker has counted enough
 * failures to open. At a site with so many instances that all of them send to the replica that
 * looked idle in an old report, the choice is random with a preference for such replicas. The
 * preference is the weaker the heavier the load, as more of it is unknown then.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class PlainPlacement {

  /** How long the load reported with a response remains valid, in milliseconds. */
  private static final long LOAD_VALIDITY_MILLIS = 300;

  /** The cost of crossing failure domains, in slots. */
  private static final double CROSSING_COST_SLOTS = 0.3;

  /** The cost of each overdue request, in slots. */
  private static final double OVERDUE_COST_SLOTS = 6;

  /** The share of failed requests up to which a replica is not considered faulty. */
  private static final double TOLERATED_FAILURE_SHARE = 0.2;

  /**
   * The cost of failures, in slots, which is multiplied by the share of failed requests above the
   * tolerated share.
   */
  private static final double FAILURE_COST_SLOTS = 20;

  /**
   * The least mean of the random load that is added at a large site, in requests. It stands for
   * what other instances have sent since their last reports.
   */
  private static final double MIN_UNREPORTED_REQUESTS = 6;

  /** The mean of that load as a multiple of the mean load of the replicas. */
  private static final double UNREPORTED_SHARE = 4;

  private static final long RETRY_MILLIS = 100;

  private final String domain;
  private final PeerLoads peers;
  private final LoadGroup group;
  private final RandomGenerator random;

  private PlainPlacement(String domain, PeerLoads peers, LoadGroup group, RandomGenerator random) {
    this.domain = domain;
    this.peers = peers;
    this.group = group;
    this.random = random;
  }

  /**
   * Creates the placement policy of an instance at a site with few instances.
   *
   * @param domain the failure domain of the instance
   * @param peers the load of the other instances
   * @return the policy
   */
  public static PlainPlacement of(String domain, PeerLoads peers) {
    return of(domain, peers, new LoadGroup(), RandomGenerator.getDefault());
  }

  /**
   * Creates the placement policy of an instance.
   *
   * @param domain the failure domain of the instance
   * @param peers the load of the other instances
   * @param group tells whether the site is large
   * @param random the source of randomness
   * @return the policy
   */
  public static PlainPlacement of(
      String domain, PeerLoads peers, LoadGroup group, RandomGenerator random) {
    return new PlainPlacement(domain, peers, group, random);
  }

  /**
   * Selects a replica.
   *
   * @param replicas the candidates, all of them usable
   * @param excluded the ids of replicas to which this request was already sent
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the selected replica, or a refusal
   */
  public Placement choose(List<Replica> replicas, Set<String> excluded, long nowMillis) {
    List<Replica> allowed =
        replicas.stream().filter(replica -> !excluded.contains(replica.entry().id())).toList();
    double unreported = unreportedRequests(allowed, nowMillis);
    Replica best = null;
    double bestCost = Double.MAX_VALUE;
    for (Replica replica : allowed) {
      double cost = cost(replica, unreported, nowMillis);
      if (cost < bestCost) {
        best = replica;
        bestCost = cost;
      }
    }
    return best == null
        ? new Placement.Refuse("no replica can take it", RETRY_MILLIS)
        : new Placement.Send(best, CachePlan.EMPTY, 0, 0, true);
  }

  /**
   * Returns the costs by which replicas are compared.
   *
   * @param replicas the candidates, all of them usable
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the expected load of each replica, in relation to its slots
   */
  public Map<Replica, Double> costs(List<Replica> replicas, long nowMillis) {
    double unreported = unreportedRequests(replicas, nowMillis);
    Map<Replica, Double> costs = new LinkedHashMap<>();
    replicas.forEach(replica -> costs.put(replica, cost(replica, unreported, nowMillis)));
    return costs;
  }

  private double cost(Replica replica, double unreported, long nowMillis) {
    double faultWeight = Math.max(1, unreported / MIN_UNREPORTED_REQUESTS);
    double load =
        knownRequests(replica, nowMillis)
            + unreported * random.nextExponential()
            + faultWeight * faultCost(replica, nowMillis);
    if (!replica.entry().domain().equals(domain)) {
      load += CROSSING_COST_SLOTS;
    }
    double duration = replica.workDurationFactor(nowMillis);
    return (load * duration + duration - 1) / Math.max(1, replica.entry().slots());
  }

  private int knownRequests(Replica replica, long nowMillis) {
    return replica.ownRequests()
        + Math.max(
            replica.otherRequests(nowMillis, LOAD_VALIDITY_MILLIS),
            peers.at(replica.entry().id(), Integer.MAX_VALUE).requests());
  }

  /** Returns the mean of the random load that stands for unreported requests at a replica. */
  private double unreportedRequests(List<Replica> replicas, long nowMillis) {
    if (!group.isLargeSite()) {
      return 0;
    }
    double mean =
        replicas.stream()
            .mapToInt(replica -> knownRequests(replica, nowMillis))
            .average()
            .orElse(0);
    return Math.max(MIN_UNREPORTED_REQUESTS, UNREPORTED_SHARE * mean);
  }

  private static double faultCost(Replica replica, long nowMillis) {
    return replica.overdueRequests(nowMillis) * OVERDUE_COST_SLOTS
        + Math.max(0, replica.failureShare(nowMillis) - TOLERATED_FAILURE_SHARE)
            * FAILURE_COST_SLOTS;
  }
}
