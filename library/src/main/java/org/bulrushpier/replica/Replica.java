package org.bulrushpier.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.bulrushpier.fleet.UpstreamLoad;
import org.bulrushpier.limit.CircuitBreaker;
import org.bulrushpier.placing.CachedParts;

/**
 * The state of one incarnation of a replica as this instance sees it: its registry entry, what its
 * responses have shown, and the requests that this instance has in flight there.
 *
 * <p>Invariant: a replica that is leaving never becomes available again. A replica that restarts is
 * represented by a new object.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class Replica {

  /**
   * How long a replica that did not answer is avoided, in milliseconds. This limits how often it is
   * tried while it remains unreachable.
   */
  private static final long AVOIDANCE_MILLIS = 2_000;

  private ReplicaEntry entry;
  private String leaveReason = "";
  private long missingSinceMillis = -1;
  private ReportedLoad reportedLoad = new ReportedLoad(0, 0, 0);
  private long reportedMillis = Long.MIN_VALUE / 2;
  private int ownAtReport;
  private final WorkDuration workDuration = new WorkDuration();
  private long pausedUntilMillis = Long.MIN_VALUE;
  private long deferredUntilMillis = Long.MIN_VALUE;
  private long unreachableUntilMillis = Long.MIN_VALUE;
  private long lastActivityMillis = Long.MIN_VALUE / 2;
  private final FailureShare failures = new FailureShare();
  private final CircuitBreaker breaker = new CircuitBreaker();
  private final Map<String, Integer> versions = new HashMap<>();
  private final ColdSpell coldSpell = new ColdSpell();
  private final CachedParts parts = new CachedParts();
  private final Map<String, InFlightRequest> inFlight = new LinkedHashMap<>();

  /** The tokens of the copies that this instance has ordered here, by request. */
  private final Map<String, Integer> copies = new HashMap<>();

  Replica(ReplicaEntry entry) {
    this.entry = entry;
    versions.putAll(entry.weightVersions());
  }

  /**
   * A request in flight. It counts as started once its first event or its response has been read.
   *
   * <p>Not thread-safe.
   */
  public static final class InFlightRequest {
    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final int priority;
    private final int uncachedTokens;
    private final int totalTokens;
    private final double transferMillis;
    private final long sentMillis;
    private final long overdueMillis;
    private long startedMillis = NOT_STARTED;

    /**
     * Creates the record of a request that is being sent.
     *
     * @param priority the priority of the request, 0 being the most urgent
     * @param uncachedTokens the prompt tokens that the replica is expected to prefill
     * @param totalTokens the tokens that the request occupies when it ends
     * @param transferMillis how long the transfer of its cached parts takes, in milliseconds
     * @param sentMillis the monotonic time at which it was sent, in milliseconds
     * @param overdueMillis the monotonic time after which its response is overdue, in milliseconds
     */
    public InFlightRequest(
        int priority,
        int uncachedTokens,
        int totalTokens,
        double transferMillis,
        long sentMillis,
        long overdueMillis) {
      this.priority = priority;
      this.transferMillis = transferMillis;
      this.uncachedTokens = uncachedTokens;
      this.totalTokens = totalTokens;
      this.sentMillis = sentMillis;
      this.overdueMillis = overdueMillis;
    }

    /** Returns the prompt tokens that the replica is expected to prefill. */
    public int uncachedTokens() {
      return uncachedTokens;
    }

    /** Returns the monotonic time at which the request was sent, in milliseconds. */
    public long sentMillis() {
      return sentMillis;
    }

    /**
     * Checks whether the response should have started by now.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return true if the response is overdue
     */
    public boolean isOverdue(long nowMillis) {
      return nowMillis > overdueMillis;
    }

    /**
     * Records that the response has started.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void markStarted(long nowMillis) {
      startedMillis = nowMillis;
    }

    /** Returns the monotonic time at which the response started, if it has, in milliseconds. */
    public long startedMillis() {
      return startedMillis;
    }

    /** Returns true once the response has started. */
    public boolean isStarted() {
      return startedMillis != NOT_STARTED;
    }
  }

  /** Returns the latest registry entry of this incarnation. */
  public ReplicaEntry entry() {
    return entry;
  }

  void entry(ReplicaEntry newEntry) {
    if (!newEntry.weightVersions().equals(entry.weightVersions())) {
      newEntry.weightVersions().forEach(this::recordVersion);
    }
    entry = newEntry;
    missingSinceMillis = -1;
  }

  /**
   * Marks the replica as leaving or gone. This cannot be undone.
   *
   * @param reason the reason
   * @return true if it was not marked before
   */
  public boolean markLeaving(String reason) {
    boolean isFirst = leaveReason.isEmpty();
    if (isFirst) {
      leaveReason = reason;
    }
    return isFirst;
  }

  /** Returns true if the replica takes no new requests because it is leaving or gone. */
  public boolean isLeaving() {
    return !leaveReason.isEmpty();
  }

  void markMissing(long nowMillis) {
    if (missingSinceMillis < 0) {
      missingSinceMillis = nowMillis;
    }
  }

  boolean isMissing() {
    return missingSinceMillis >= 0;
  }

  /**
   * Sends no requests to the replica for a while, because it is changing its weights or refused a
   * request.
   *
   * @param untilMillis the monotonic time at which the pause ends, in milliseconds; a pause is
   *     never shortened
   */
  public void pause(long untilMillis) {
    pausedUntilMillis = Math.max(pausedUntilMillis, untilMillis);
  }

  /** Ends a pause early. */
  public void resume() {
    pausedUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Sends no requests to the replica for a while, because it wants none.
   *
   * @param untilMillis the monotonic time until which it wants none, in milliseconds; the time is
   *     never shortened
   * @return true if it wanted requests before
   */
  public boolean defer(long untilMillis) {
    boolean isFirst = deferredUntilMillis == Long.MIN_VALUE;
    deferredUntilMillis = Math.max(deferredUntilMillis, untilMillis);
    return isFirst;
  }

  /**
   * Checks whether the replica wants no requests now.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true until the time that it named is over
   */
  public boolean isDeferred(long nowMillis) {
    return deferralMillis(nowMillis) > 0;
  }

  /**
   * Returns for how long the replica wants no requests.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the remaining time in milliseconds, or 0
   */
  public long deferralMillis(long nowMillis) {
    return nowMillis >= deferredUntilMillis ? 0 : deferredUntilMillis - nowMillis;
  }

  /**
   * Checks whether a request may be sent to the replica now.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if it is not leaving, wants requests, is not paused, and its circuit breaker
   *     permits requests
   */
  public boolean isUsable(long nowMillis) {
    return exclusion(nowMillis).isEmpty();
  }

  /**
   * Returns why no request may be sent to the replica now, as far as the replica itself is the
   * reason.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the first reason that applies, or empty if requests may be sent
   */
  public Optional<Exclusion> exclusion(long nowMillis) {
    if (isLeaving()) {
      return Optional.of(Exclusion.LEAVING);
    }
    if (isDeferred(nowMillis)) {
      return Optional.of(Exclusion.DEFERRED);
    }
    if (nowMillis < pausedUntilMillis) {
      return Optional.of(Exclusion.PAUSED);
    }
    if (!breaker.isUsable(nowMillis)) {
      return Optional.of(Exclusion.BREAKER_OPEN);
    }
    return Optional.empty();
  }

  /** Returns until when the replica is cold, and the requests sent to it of late. */
  public ColdSpell coldSpell() {
    return coldSpell;
  }

  /** Returns the circuit breaker, which is driven by the results of real requests. */
  public CircuitBreaker breaker() {
    return breaker;
  }

  /**
   * Records the outcome of a request.
   *
   * @param isFailure whether the replica failed or refused the request
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void recordOutcome(boolean isFailure, long nowMillis) {
    failures.add(isFailure, nowMillis);
  }

  /**
   * Returns the share of recent requests that the replica failed or refused.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return a share from 0 to 1
   */
  public double failureShare(long nowMillis) {
    return failures.share(nowMillis);
  }

  /**
   * Records that the replica refused a connection or did not answer a request in time.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void markUnreachable(long nowMillis) {
    unreachableUntilMillis = nowMillis + AVOIDANCE_MILLIS;
  }

  /**
   * Records that the replica has answered.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void recordActivity(long nowMillis) {
    lastActivityMillis = nowMillis;
    unreachableUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Returns the monotonic time of the last answer to any request, in milliseconds. The time lies in
   * the distant past if there was none.
   */
  public long lastActivityMillis() {
    return lastActivityMillis;
  }

  /**
   * Checks whether the replica recently did not answer.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true until it answers again or the avoidance period ends
   */
  public boolean isUnreachable(long nowMillis) {
    return nowMillis < unreachableUntilMillis;
  }

  /** Returns the prompt parts that its cache memory is expected to hold. */
  public CachedParts parts() {
    return parts;
  }

  /**
   * Returns the weight version that the replica serves.
   *
   * @param model the name of the model
   * @return the version, or 0 if unknown
   */
  public int version(String model) {
    return versions.getOrDefault(model, 0);
  }

  /**
   * Records the weight version that the replica serves. Clears the cached parts if the version has
   * changed, as parts of another version cannot be used.
   *
   * @param model the name of the model
   * @param version the version
   */
  public void recordVersion(String model, int version) {
    Integer before = versions.put(model, version);
    if (before != null && before != version) {
      parts.clear();
    }
  }

  /**
   * Records the load that the replica reported.
   *
   * @param load the load
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void recordLoad(ReportedLoad load, long nowMillis) {
    if (load.hasDuration()) {
      workDuration.record(load.durationPercent(), nowMillis);
    }
    if (load.hasRequests()) {
      reportedLoad = load;
      reportedMillis = nowMillis;
      ownAtReport = inFlight.size();
    }
  }

  /**
   * Returns how long work is expected to take at the replica, compared to the usual time.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return a factor, 1 if the replica has not said anything else of late
   */
  public double workDurationFactor(long nowMillis) {
    return workDuration.factor(nowMillis);
  }

  /** Returns the load that the replica last reported, or zero load if it never reported any. */
  public ReportedLoad reportedLoad() {
    return reportedLoad;
  }

  /**
   * Estimates the number of requests that other instances have at the replica.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @param validMillis how long a reported load remains valid, in milliseconds
   * @return the number of running and waiting requests, or 0 without a valid report
   */
  public int otherRequests(long nowMillis, long validMillis) {
    if (nowMillis - reportedMillis > validMillis) {
      return 0;
    }
    return Math.max(0, reportedLoad.running() + reportedLoad.waiting() - ownAtReport);
  }

  /**
   * Adds a request in flight.
   *
   * @param id the id of the request
   * @param request the request
   */
  public void begin(String id, InFlightRequest request) {
    inFlight.put(id, request);
  }

  /**
   * Removes a request that has ended or was given up.
   *
   * @param id the id of the request
   */
  public void end(String id) {
    inFlight.remove(id);
  }

  /** Returns the number of requests that this instance has in flight at the replica. */
  public int ownRequests() {
    return inFlight.size();
  }

  /** Returns whether the response to any request in flight has started. */
  public boolean hasStartedRequest() {
    return inFlight.values().stream().anyMatch(InFlightRequest::isStarted);
  }

  /**
   * Returns the number of requests of this instance whose response is overdue.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the number of requests that have not started although their expected time has passed
   */
  public int overdueRequests(long nowMillis) {
    int count = 0;
    for (InFlightRequest request : inFlight.values()) {
      if (!request.isStarted() && request.isOverdue(nowMillis)) {
        count++;
      }
    }
    return count;
  }

  /** Returns the number of prompt tokens of this instance's requests that await prefill. */
  public long pendingPrefillTokens() {
    return pendingPrefillTokens(Integer.MAX_VALUE);
  }

  /**
   * Returns the number of prompt tokens that await prefill in this instance's requests that are
   * served before a new one.
   *
   * @param priority the priority of the new request, 0 being the most urgent
   * @return the tokens of the waiting requests that are at least as urgent
   */
  public long pendingPrefillTokens(int priority) {
    long tokens = 0;
    for (InFlightRequest request : inFlight.values()) {
      if (!request.isStarted() && request.priority <= priority) {
        tokens += request.uncachedTokens;
      }
    }
    return tokens;
  }

  /**
   * Returns the remaining transfer time of cached parts for this instance's requests, in
   * milliseconds. Transfers run one after the other.
   */
  public double transferMillis() {
    double millis = 0;
    for (InFlightRequest request : inFlight.values()) {
      if (!request.isStarted()) {
        millis += request.transferMillis;
      }
    }
    return millis;
  }

  /**
   * Adds the copy of a run that another replica executes.
   *
   * @param request the id of the request
   * @param tokens the tokens that the copy occupies when the run ends
   */
  public void beginCopy(String request, int tokens) {
    copies.put(request, tokens);
  }

  /**
   * Removes a copy that is used or no longer needed.
   *
   * @param request the id of the request
   */
  public void endCopy(String request) {
    copies.remove(request);
  }

  /** Returns whether this instance has ordered copies here. */
  public boolean hasCopies() {
    return !copies.isEmpty();
  }

  /** Returns the number of tokens that the copies ordered by this instance occupy. */
  public long copyTokens() {
    long tokens = 0;
    for (int copy : copies.values()) {
      tokens += copy;
    }
    return tokens;
  }

  /** Returns the load that this instance puts on the replica, as it is told to others. */
  public UpstreamLoad ownLoad() {
    List<Long> pendingTokens = new ArrayList<>();
    for (InFlightRequest request : inFlight.values()) {
      if (!request.isStarted() && request.uncachedTokens > 0) {
        while (pendingTokens.size() <= request.priority) {
          pendingTokens.add(0L);
        }
        pendingTokens.set(
            request.priority, pendingTokens.get(request.priority) + request.uncachedTokens);
      }
    }
    return new UpstreamLoad(
        entry.id(), inFlight.size(), reservedTokens(), pendingTokens, copyTokens());
  }

  /** Returns the number of tokens that this instance's requests occupy when they end. */
  public long reservedTokens() {
    long tokens = 0;
    for (InFlightRequest request : inFlight.values()) {
      tokens += request.totalTokens;
    }
    return tokens;
  }

  @Override
  public String toString() {
    return entry.id() + "@" + entry.address();
  }
}
