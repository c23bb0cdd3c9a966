package org.bulrushpier.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushpier.fleet.PaceReport;
import org.bulrushpier.fleet.Place;

/**
 * Finds from the answers of replicas that have just started or recovered how many requests they may
 * have in flight.
 *
 * <p>Designed for many instances with little traffic each, all of which would send their requests
 * to a replica that looks idle, while its cache is empty and it may be slow for an unknown time.
 *
 * <p>Invariant: a replica without a pace is never withheld. Not thread-safe; guarded by the lock of
 * the gateway's event loop.
 */
public final class ReplicaPaces {

  /** How long a pace lasts without a late answer, in milliseconds. */
  static final long MAX_QUIET_MILLIS = 60_000;

  /** How long the end of a pace is told to other instances, in milliseconds. */
  static final long ENDED_MILLIS = 2_000;

  /** The factor by which an answer may exceed its prediction. */
  private static final double TOLERANCE = 1.5;

  /** The share of its latency objective by which an answer may exceed its prediction. */
  private static final double TOLERATED_GOAL_SHARE = 0.25;

  /** The share of late answers of the neighbours from which on lateness proves nothing. */
  private static final double LATE_NEIGHBOURS_SHARE = 0.25;

  /** How long a place is used, in milliseconds, as to compute it takes many hashes. */
  private static final long PLACE_MILLIS = 500;

  /** The window at which an instance that does not know its place takes part. */
  private static final int WINDOW_WITHOUT_PLACE = 16;

  private static final class Paced {
    private final Pace pace;
    private Optional<Place> place = Optional.empty();
    private long placeMillis = Long.MIN_VALUE / 2;

    private Paced(Pace pace) {
      this.pace = pace;
    }
  }

  private final ColdReplicas.PlaceSource places;
  private final Map<Replica, Paced> paced = new LinkedHashMap<>();
  private final Map<String, FailureShare> lateNeighbours = new HashMap<>();
  private final Map<String, Long> endedMillis = new HashMap<>();

  private ReplicaPaces(ColdReplicas.PlaceSource places) {
    this.places = places;
  }

  /**
   * Creates the decision of an instance without any paced replica.
   *
   * @param places the source of the instance's places
   * @return the decision
   */
  public static ReplicaPaces of(ColdReplicas.PlaceSource places) {
    return new ReplicaPaces(places);
  }

  /**
   * Begins a pace that all instances share, as all of them learn of its reason.
   *
   * @param replica the replica
   * @param reason the reason in a few words
   * @param nowMillis the current monotonic time, in milliseconds
   * @return false if the replica has such a pace already
   */
  public boolean beginJoint(Replica replica, String reason, long nowMillis) {
    Paced known = paced.get(replica);
    if (known != null && known.pace.isJoint()) {
      return false;
    }
    endedMillis.remove(replica.entry().incarnation());
    paced.put(replica, new Paced(new Pace(true, reason, nowMillis)));
    return true;
  }

  /**
   * Begins a pace of this instance alone.
   *
   * @param replica the replica
   * @param reason the reason in a few words
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void beginOwn(Replica replica, String reason, long nowMillis) {
    paced.computeIfAbsent(replica, r -> new Paced(new Pace(false, reason, nowMillis)));
  }

  /** Returns whether no replica has a pace and none had one a moment ago. */
  public boolean isEmpty() {
    return paced.isEmpty() && endedMillis.isEmpty();
  }

  /** Returns the number of replicas with a pace. */
  public int size() {
    return paced.size();
  }

  /**
   * Returns whether a replica has a pace.
   *
   * @param replica the replica
   */
  public boolean isPaced(Replica replica) {
    return paced.containsKey(replica);
  }

  /**
   * Checks whether a request may be sent to a replica now.
   *
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if it has no pace, or there is room in this instance's share of the window
   */
  public boolean admits(Replica replica, long nowMillis) {
    return paced.isEmpty() || replica.ownRequests() < share(replica, nowMillis);
  }

  /**
   * Returns the number of requests that this instance may have in flight at a replica.
   *
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the number, at least 0
   */
  public int share(Replica replica, long nowMillis) {
    Paced state = paced.get(replica);
    if (state == null) {
      return Integer.MAX_VALUE;
    }
    int window = state.pace.window(nowMillis);
    if (!state.pace.isJoint()) {
      return window;
    }
    if (nowMillis - state.placeMillis >= PLACE_MILLIS) {
      state.place = places.place(replica.entry().incarnation(), nowMillis);
      state.placeMillis = nowMillis;
    }
    return state
        .place
        .map(place -> place.liveShare(window))
        .orElse(window >= WINDOW_WITHOUT_PLACE ? 1 : 0);
  }

  /**
   * Returns the window of a replica.
   *
   * @param replica the replica, which has a pace
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the requests that may be in flight
   */
  public int window(Replica replica, long nowMillis) {
    return paced.get(replica).pace.window(nowMillis);
  }

  /**
   * Records the beginning of an answer of any replica. A late one proves nothing while answers of
   * other replicas of the service are late as well.
   *
   * @param replica the replica
   * @param elapsedMillis the time since the request was sent, in milliseconds
   * @param expectedMillis the predicted time, in milliseconds
   * @param goalMillis the latency objective, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void answered(
      Replica replica, long elapsedMillis, long expectedMillis, long goalMillis, long nowMillis) {
    double tolerated = expectedMillis + goalMillis * TOLERATED_GOAL_SHARE;
    boolean isLate = elapsedMillis > Math.max(expectedMillis * TOLERANCE, tolerated);
    FailureShare neighbours =
        lateNeighbours.computeIfAbsent(replica.entry().service(), name -> new FailureShare());
    Paced state = paced.get(replica);
    if (state == null) {
      neighbours.add(isLate, nowMillis);
    } else if (!isLate) {
      state.pace.answeredInTime(nowMillis);
    } else if (neighbours.share(nowMillis) < LATE_NEIGHBOURS_SHARE) {
      state.pace.answeredLate(nowMillis);
    }
  }

  /**
   * Records that a replica refused, failed or did not answer a request.
   *
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void failed(Replica replica, long nowMillis) {
    Paced state = paced.get(replica);
    if (state != null) {
      state.pace.answeredLate(nowMillis);
    }
  }

  /** The end of the pace of a replica. Immutable and thread-safe. */
  public record Ended(Replica replica, String reason, long afterMillis, int window) {}

  /**
   * Ends the paces that no longer bind.
   *
   * @param neighbourRequests the mean number of requests in flight at other replicas, by service
   * @param liveInstances the number of live instances
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the ended ones
   */
  public List<Ended> tick(
      Map<String, Double> neighbourRequests, int liveInstances, long nowMillis) {
    endedMillis.values().removeIf(millis -> nowMillis - millis > ENDED_MILLIS);
    List<Ended> ended = new ArrayList<>();
    for (Replica replica : List.copyOf(paced.keySet())) {
      Pace pace = paced.get(replica).pace;
      int window = pace.window(nowMillis);
      double enough = 2 * neighbourRequests.getOrDefault(replica.entry().service(), 0.0);
      enough += pace.isJoint() ? liveInstances : 1;
      boolean isOver =
          window >= Math.min(replica.entry().slots(), enough)
              || pace.quietMillis(nowMillis) >= MAX_QUIET_MILLIS;
      if (isOver || replica.isLeaving()) {
        paced.remove(replica);
        ended.add(new Ended(replica, pace.reason(), nowMillis - pace.startMillis(), window));
        if (isOver && pace.isJoint() && pace.credit() != 0) {
          endedMillis.put(replica.entry().incarnation(), nowMillis);
        }
      }
    }
    return ended;
  }

  /** Returns what this instance tells the others, which is empty without a pace. */
  public List<PaceReport> reports() {
    List<PaceReport> reports = new ArrayList<>();
    paced.forEach(
        (replica, state) -> {
          if (state.pace.isJoint() && state.pace.credit() != 0) {
            reports.add(new PaceReport(replica.entry().incarnation(), state.pace.credit()));
          }
        });
    endedMillis.keySet().forEach(id -> reports.add(new PaceReport(id, PaceReport.ENDED)));
    return reports;
  }

  /**
   * Records what another instance has told. What concerns replicas without a joint pace here is
   * ignored.
   *
   * @param sender the address of the instance
   * @param reports what it told
   * @param nowMillis the current monotonic time, in milliseconds
   * @return false if it is implausible and was ignored
   */
  public boolean learn(String sender, List<PaceReport> reports, long nowMillis) {
    if (!reports.stream().allMatch(PaceReport::isPlausible)) {
      return false;
    }
    Map<String, Integer> credits = new HashMap<>();
    reports.forEach(report -> credits.put(report.replica(), report.credit()));
    paced.forEach(
        (replica, state) -> {
          Integer credit = credits.get(replica.entry().incarnation());
          if (credit != null && state.pace.isJoint()) {
            state.pace.learn(sender, credit, nowMillis);
          }
        });
    return true;
  }
}
