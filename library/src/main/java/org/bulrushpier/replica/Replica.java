package org.bulrushpier.replica;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bulrushpier.call.UpstreamAnswer.ToldLoad;
import org.bulrushpier.limit.CircuitBreaker;
import org.bulrushpier.placing.PartMemory;

/**
 * One life of a replica as this instance sees it: its registry entry, what its answers showed, and
 * the calls that this instance has under way there.
 *
 * <p>Invariant: leaving is never undone within a life; a replica that starts again is a new object.
 * Not thread-safe; guarded by the lock of the tables.
 */
public final class Replica {

  /** How long a replica that did not answer is avoided, in milliseconds: a few tries a minute. */
  private static final long UNREACHABLE_MILLIS = 2_000;

  private ReplicaEntry entry;
  private String leavingBy = "";
  private long missingSinceMillis = -1;
  private ToldLoad told = new ToldLoad(0, 0, 0);
  private long toldAtMillis = Long.MIN_VALUE / 2;
  private int ownAtTold;
  private long pausedUntilMillis = Long.MIN_VALUE;
  private long unreachableUntilMillis = Long.MIN_VALUE;
  private long heardMillis = Long.MIN_VALUE / 2;
  private final FailureShare failures = new FailureShare();
  private final CircuitBreaker breaker = new CircuitBreaker();
  private final Map<String, Integer> versions = new HashMap<>();
  private final PartMemory parts = new PartMemory();
  private final Map<String, Work> work = new LinkedHashMap<>();

  Replica(ReplicaEntry entry) {
    this.entry = entry;
    versions.putAll(entry.weightVersions());
  }

  /**
   * A call under way. Not thread-safe.
   *
   * <p>A call counts as started once its first event or its answer was read.
   */
  public static final class Work {
    private final int uncachedTokens;
    private final int totalTokens;
    private final double transferMillis;
    private final long sentMillis;
    private final long overdueMillis;
    private boolean isStarted;

    /**
     * Creates the record of a call that is being sent.
     *
     * @param uncachedTokens prompt tokens that the replica is expected to read
     * @param totalTokens tokens that it occupies when it ends
     * @param transferMillis how long its parts are fetched
     * @param sentMillis the steady time of the send
     * @param overdueMillis the steady time after which its answer is late
     */
    public Work(
        int uncachedTokens,
        int totalTokens,
        double transferMillis,
        long sentMillis,
        long overdueMillis) {
      this.transferMillis = transferMillis;
      this.uncachedTokens = uncachedTokens;
      this.totalTokens = totalTokens;
      this.sentMillis = sentMillis;
      this.overdueMillis = overdueMillis;
    }

    /**
     * Returns the tokens to be read.
     *
     * @return tokens
     */
    public int uncachedTokens() {
      return uncachedTokens;
    }

    /**
     * Returns when it was sent.
     *
     * @return steady milliseconds
     */
    public long sentMillis() {
      return sentMillis;
    }

    /**
     * Tells whether its answer should have begun.
     *
     * @param nowMillis the steady time
     * @return true if it is late
     */
    public boolean isOverdue(long nowMillis) {
      return nowMillis > overdueMillis;
    }

    /** Takes note that the answer began. */
    public void started() {
      isStarted = true;
    }

    /**
     * Tells whether the answer began.
     *
     * @return true after {@link #started}
     */
    public boolean isStarted() {
      return isStarted;
    }
  }

  /**
   * Returns the registry entry.
   *
   * @return the newest entry of this life
   */
  public ReplicaEntry entry() {
    return entry;
  }

  void entry(ReplicaEntry newer) {
    if (!newer.weightVersions().equals(entry.weightVersions())) {
      newer.weightVersions().forEach(this::sawVersion);
    }
    entry = newer;
    missingSinceMillis = -1;
  }

  /**
   * Takes note that the replica is about to leave or gone.
   *
   * @param sign what showed it
   * @return true if that was news
   */
  public boolean leave(String sign) {
    boolean isNews = leavingBy.isEmpty();
    if (isNews) {
      leavingBy = sign;
    }
    return isNews;
  }

  /**
   * Tells whether the replica takes no new calls.
   *
   * @return true once any sign of its leaving was seen
   */
  public boolean isLeaving() {
    return !leavingBy.isEmpty();
  }

  void missing(long nowMillis) {
    if (missingSinceMillis < 0) {
      missingSinceMillis = nowMillis;
    }
  }

  boolean isMissing() {
    return missingSinceMillis >= 0;
  }

  /**
   * Keeps calls away for a while, because the replica changes its weights or refused one.
   *
   * @param untilMillis the steady time until which it is left alone
   */
  public void pause(long untilMillis) {
    pausedUntilMillis = Math.max(pausedUntilMillis, untilMillis);
  }

  /** Ends a pause. */
  public void resume() {
    pausedUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Tells whether a call may be sent there now.
   *
   * @param nowMillis the steady time
   * @return true if it is neither leaving, paused nor cut off by its breaker
   */
  public boolean isUsable(long nowMillis) {
    return !isLeaving() && nowMillis >= pausedUntilMillis && breaker.isUsable(nowMillis);
  }

  /**
   * Returns the breaker, driven by real answers.
   *
   * @return the breaker
   */
  public CircuitBreaker breaker() {
    return breaker;
  }

  /**
   * Takes note of how a call ended.
   *
   * @param isFailure whether the replica failed or refused it
   * @param nowMillis the steady time
   */
  public void outcome(boolean isFailure, long nowMillis) {
    failures.add(isFailure, nowMillis);
  }

  /**
   * Returns the share of calls that it failed or refused lately.
   *
   * @param nowMillis the steady time
   * @return 0 to 1
   */
  public double failureShare(long nowMillis) {
    return failures.share(nowMillis);
  }

  /**
   * Takes note that it took no connection, or did not answer a call in time.
   *
   * @param nowMillis the steady time
   */
  public void unreachable(long nowMillis) {
    unreachableUntilMillis = nowMillis + UNREACHABLE_MILLIS;
  }

  /**
   * Takes note that it answers.
   *
   * @param nowMillis the steady time
   */
  public void heard(long nowMillis) {
    heardMillis = nowMillis;
    unreachableUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Returns when anything was last heard from it.
   *
   * @return steady milliseconds, long ago if never
   */
  public long heardMillis() {
    return heardMillis;
  }

  /**
   * Tells whether it lately did not answer.
   *
   * @param nowMillis the steady time
   * @return true until it answers again, or for a while
   */
  public boolean isUnreachable(long nowMillis) {
    return nowMillis < unreachableUntilMillis;
  }

  /**
   * Returns what is believed to be in its cache memory.
   *
   * @return the parts
   */
  public PartMemory parts() {
    return parts;
  }

  /**
   * Returns the version of a model's weights that it serves.
   *
   * @param model the model
   * @return the version, or 0 if unknown
   */
  public int version(String model) {
    return versions.getOrDefault(model, 0);
  }

  /**
   * Takes note of the version that it serves; its cache of other versions is of no use.
   *
   * @param model the model
   * @param version the version
   */
  public void sawVersion(String model, int version) {
    Integer before = versions.put(model, version);
    if (before != null && before != version) {
      parts.clear();
    }
  }

  /**
   * Takes note of the load that it told.
   *
   * @param load the load
   * @param nowMillis the steady time
   */
  public void told(ToldLoad load, long nowMillis) {
    told = load;
    toldAtMillis = nowMillis;
    ownAtTold = work.size();
  }

  /**
   * Returns the load that it told last.
   *
   * @return the load, zero if it never told any
   */
  public ToldLoad told() {
    return told;
  }

  /**
   * Estimates the calls that other instances have there.
   *
   * @param nowMillis the steady time
   * @param lifeMillis how long a told load is of use
   * @return calls running or waiting
   */
  public int others(long nowMillis, long lifeMillis) {
    if (nowMillis - toldAtMillis > lifeMillis) {
      return 0;
    }
    return Math.max(0, told.running() + told.waiting() - ownAtTold);
  }

  /**
   * Adds a call under way.
   *
   * @param id the call's id
   * @param call the call
   */
  public void begin(String id, Work call) {
    work.put(id, call);
  }

  /**
   * Removes a call that ended or was given up.
   *
   * @param id the call's id
   */
  public void end(String id) {
    work.remove(id);
  }

  /**
   * Returns how many calls this instance has there.
   *
   * @return the number
   */
  public int own() {
    return work.size();
  }

  /**
   * Returns how many of its calls there are late.
   *
   * @param nowMillis the steady time
   * @return the number without a begun answer after their expected time
   */
  public int overdue(long nowMillis) {
    int count = 0;
    for (Work call : work.values()) {
      if (!call.isStarted && call.isOverdue(nowMillis)) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns the prompt tokens that own calls still wait to have read.
   *
   * @return tokens
   */
  public long unreadTokens() {
    long tokens = 0;
    for (Work call : work.values()) {
      if (!call.isStarted) {
        tokens += call.uncachedTokens;
      }
    }
    return tokens;
  }

  /**
   * Returns how long own calls' parts are still fetched, one after the other.
   *
   * @return milliseconds
   */
  public double transferMillis() {
    double millis = 0;
    for (Work call : work.values()) {
      if (!call.isStarted) {
        millis += call.transferMillis;
      }
    }
    return millis;
  }

  /**
   * Returns the memory that own calls occupy when they end.
   *
   * @return tokens
   */
  public long heldTokens() {
    long tokens = 0;
    for (Work call : work.values()) {
      tokens += call.totalTokens;
    }
    return tokens;
  }

  @Override
  public String toString() {
    return entry.id() + "@" + entry.address();
  }
}
