package org.bulrushpier.daemon.serve;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushpier.call.UpstreamResponse;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.bulrushpier.fleet.PaceReport;
import org.bulrushpier.fleet.Place;
import org.bulrushpier.replica.ColdReplicas;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaPaces;

/**
 * Keeps requests from replicas that have just started or recovered beyond what their answers show
 * that they bear, and logs when it begins and ends.
 *
 * <p>Guarded by the loop's lock.
 */
final class PaceGuard {

  /** How often the load of the neighbours is computed, in milliseconds. */
  private static final long NEIGHBOURS_MILLIS = 250;

  private final GatewayContext context;
  private final ReplicaPaces paces =
      ReplicaPaces.of((key, nowMillis) -> this.places.place(key, nowMillis));
  private ColdReplicas.PlaceSource places = (key, nowMillis) -> Optional.of(Place.ALONE);

  /** The services whose replicas report how long work takes on their machine. */
  private final Set<String> servicesWithDuration = new HashSet<>();

  private long neighboursMillis = Long.MIN_VALUE / 2;

  PaceGuard(GatewayContext context) {
    this.context = context;
  }

  /** Sets the source of this instance's places, which is alone without one. */
  void places(ColdReplicas.PlaceSource source) {
    places = source;
  }

  /** Returns whether the settings ask for paces, and the configuration or replicas need them. */
  private boolean isPaced(Replica replica) {
    if (!context.settings().isStartPaced()) {
      return false;
    }
    String service = replica.entry().service();
    return context.coldStart(service).perSecond() > 0 || servicesWithDuration.contains(service);
  }

  /** Begins the pace of a replica that all instances see start or change. */
  void begin(Replica replica, String reason, long nowMillis) {
    if (isPaced(replica) && paces.beginJoint(replica, reason, nowMillis)) {
      logBegin(replica, reason, nowMillis);
    }
  }

  /** Begins the paces of the replicas of a failure domain that takes requests again. */
  void beginDomain(String domain, String reason, long nowMillis) {
    for (Replica replica : context.replicas().all()) {
      if (replica.entry().domain().equals(domain)) {
        begin(replica, reason, nowMillis);
      }
    }
  }

  private void logBegin(Replica replica, String reason, long nowMillis) {
    context
        .log()
        .event(
            "pace-begun",
            "id",
            replica.entry().incarnation(),
            "reason",
            reason,
            "window",
            paces.window(replica, nowMillis),
            "share",
            paces.share(replica, nowMillis));
  }

  /**
   * Records the head of an answer. To be called before the replica is recorded as active.
   *
   * @param elapsedMillis the time since the request was sent, in milliseconds
   * @param expectedMillis the predicted time, in milliseconds, or 0 if there is no prediction
   * @param goalMillis the latency objective, in milliseconds
   */
  void answered(
      Replica replica,
      UpstreamResponse response,
      long elapsedMillis,
      long expectedMillis,
      long goalMillis,
      long nowMillis) {
    if (response.load().filter(ReportedLoad::hasDuration).isPresent()) {
      servicesWithDuration.add(replica.entry().service());
    }
    boolean isBack = replica.isUnreachable(nowMillis) || replica.breaker().isOpen();
    if (isBack && response.isSuccess() && isPaced(replica) && !paces.isPaced(replica)) {
      paces.beginOwn(replica, "answers again", nowMillis);
      logBegin(replica, "answers again", nowMillis);
    }
    if (response.isMisdirected() || !isPaced(replica)) {
      return;
    }
    if (response.isRefusal() || response.isServerError()) {
      paces.failed(replica, nowMillis);
    } else if (!context.stalls().isRecovering(nowMillis)) {
      paces.answered(replica, elapsedMillis, expectedMillis, goalMillis, nowMillis);
    }
  }

  /** Records that a replica broke off or was silent. */
  void failed(Replica replica, long nowMillis) {
    paces.failed(replica, nowMillis);
  }

  /** Returns the reason if a replica that has just started may be sent no more requests now. */
  Optional<Exclusion> exclusion(Replica replica, long nowMillis) {
    return paces.admits(replica, nowMillis) ? Optional.empty() : Optional.of(Exclusion.STARTING);
  }

  /** Returns what other instances are told. */
  List<PaceReport> reports() {
    return paces.reports();
  }

  /** Records what another instance told; returns false if it is implausible. */
  boolean learn(String sender, List<PaceReport> reports, long nowMillis) {
    return paces.learn(sender, reports, nowMillis);
  }

  /** Ends the paces that no longer bind; called at each tick of the gateway. */
  void tick(long nowMillis) {
    if (paces.isEmpty() || nowMillis - neighboursMillis < NEIGHBOURS_MILLIS) {
      return;
    }
    neighboursMillis = nowMillis;
    for (ReplicaPaces.Ended ended :
        paces.tick(neighbourRequests(nowMillis), context.liveInstances(), nowMillis)) {
      context
          .log()
          .event(
              "pace-ended",
              "id",
              ended.replica().entry().incarnation(),
              "reason",
              ended.reason(),
              "afterMs",
              ended.afterMillis(),
              "window",
              ended.window(),
              "leaving",
              ended.replica().isLeaving());
    }
  }

  /** Returns the mean number of requests in flight at replicas without a pace, by service. */
  private Map<String, Double> neighbourRequests(long nowMillis) {
    Map<String, int[]> sums = new HashMap<>();
    for (Replica replica : context.replicas().all()) {
      if (replica.isUsable(nowMillis) && !paces.isPaced(replica)) {
        String id = replica.entry().id();
        int[] sum = sums.computeIfAbsent(replica.entry().service(), service -> new int[2]);
        sum[0] += replica.ownRequests() + context.peerLoads().at(id, Integer.MAX_VALUE).requests();
        sum[1]++;
      }
    }
    Map<String, Double> means = new HashMap<>();
    sums.forEach((service, sum) -> means.put(service, (double) sum[0] / sum[1]));
    return means;
  }

  /** Returns the number of replicas with a pace. */
  int pacedReplicas() {
    return paces.size();
  }
}
