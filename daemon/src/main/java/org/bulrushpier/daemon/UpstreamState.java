package org.bulrushpier.daemon;

import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.Upstream;
import org.bulrushpier.limit.CircuitBreaker;
import org.bulrushpier.routing.EngineLoad;
import org.bulrushpier.routing.Router;

/**
 * The state of one upstream instance as this entry knows it.
 *
 * <p>Thread-safe. The sends are guarded by this object's lock; no other lock is taken while it is
 * held.
 */
final class UpstreamState {

  private static final EngineLoad NO_REPORT = new EngineLoad("", false, 0, 0);
  private static final long REPORT_LAG_MILLIS = 300;
  private static final long MAX_REPORT_AGE_MILLIS = 3_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double MIN_ESTIMATE_FOR_BIAS_MILLIS = 100;
  private static final double BIAS_SMOOTHING = 0.1;
  private static final double MAX_BIAS = 4;
  private static final long LEAVING_EXPIRY_MILLIS = 20_000;
  private static final long INITIAL_SURVIVAL_MILLIS = 20_000;
  private static final long MAX_SURVIVAL_MILLIS = 600_000;

  private final CircuitBreaker breaker = new CircuitBreaker();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong pendingTokens = new AtomicLong();
  private final ArrayDeque<Send> sends = new ArrayDeque<>();
  private volatile Upstream upstream;
  private volatile EngineLoad load = NO_REPORT;
  private volatile long leavingMillis;
  private volatile long loadMillis;
  private volatile double bias = 1;
  private volatile long survivalMillis = INITIAL_SURVIVAL_MILLIS;

  UpstreamState(Upstream upstream) {
    this.upstream = upstream;
  }

  Upstream upstream() {
    return upstream;
  }

  void setUpstream(Upstream changed) {
    upstream = changed;
  }

  CircuitBreaker breaker() {
    return breaker;
  }

  AtomicInteger inFlight() {
    return inFlight;
  }

  /**
   * Returns the prompt tokens sent by this entry for which no first token has been received yet.
   */
  AtomicLong pendingTokens() {
    return pendingTokens;
  }

  /** Records prompt tokens sent now. */
  synchronized void recordSend(long tokens, long nowMillis) {
    sends.addLast(new Send(nowMillis, tokens));
    evictOldSends(nowMillis);
  }

  /**
   * Estimates the prompt tokens queued at the engine now: the reported backlog, minus what it has
   * computed since, plus what has been sent since. The other entries are assumed to send as much as
   * this one, so that not all entries choose the same engine on the basis of the same outdated
   * report.
   */
  synchronized long backlogTokens(long nowMillis, long tokensPerSecond, int entries) {
    evictOldSends(nowMillis);
    long age = Math.min(MAX_REPORT_AGE_MILLIS, nowMillis - loadMillis + REPORT_LAG_MILLIS);
    long sentSinceReport = 0;
    for (Send send : sends) {
      sentSinceReport += nowMillis - send.millis() <= age ? send.tokens() : 0;
    }
    double rate = tokensPerSecond / Router.slowdown(load.running());
    long computed = (long) (rate * age / MILLIS_PER_SECOND);
    long estimate = load.backlogTokens() + sentSinceReport * entries - computed;
    return Math.max(pendingTokens.get(), Math.max(0, estimate));
  }

  private void evictOldSends(long nowMillis) {
    while (!sends.isEmpty() && nowMillis - sends.peekFirst().millis() > MAX_REPORT_AGE_MILLIS) {
      sends.removeFirst();
    }
  }

  private record Send(long millis, long tokens) {}

  EngineLoad load() {
    return load;
  }

  void setLoad(EngineLoad reported, long nowMillis) {
    load = reported;
    loadMillis = nowMillis;
  }

  /**
   * Clears the reported weight version until the next report, since the engine serves another one.
   */
  void clearWeightVersion() {
    load = new EngineLoad("", load.isLeaving(), load.backlogTokens(), load.running());
  }

  /** Returns the age of the last load report. */
  long loadAgeMillis(long nowMillis) {
    return nowMillis - loadMillis;
  }

  /**
   * Returns whether the instance is leaving. Expires if no source has reported it for a while,
   * since an instance may come back.
   */
  boolean isLeaving(long nowMillis) {
    return leavingMillis > 0 && nowMillis - leavingMillis < LEAVING_EXPIRY_MILLIS;
  }

  void setLeaving(long nowMillis) {
    leavingMillis = nowMillis;
  }

  /** Returns the factor by which recent first tokens came later than estimated, at least 1. */
  double bias() {
    return Math.max(1, bias);
  }

  /** Updates the bias with the actual time to a first token. */
  synchronized void updateBias(double estimateMillis, long elapsedMillis) {
    if (estimateMillis >= MIN_ESTIMATE_FOR_BIAS_MILLIS) {
      bias += BIAS_SMOOTHING * (Math.min(MAX_BIAS, elapsedMillis / estimateMillis) - bias);
    }
  }

  /** Returns the estimated time that unused blocks stay cached at the engine. */
  long survivalMillis() {
    return survivalMillis;
  }

  /**
   * Adjusts the survival time after learning whether blocks that were unused for the given time
   * were still cached.
   */
  void updateSurvival(long unusedMillis, boolean wereCached) {
    if (wereCached && unusedMillis > survivalMillis) {
      survivalMillis = Math.min(MAX_SURVIVAL_MILLIS, unusedMillis);
    } else if (!wereCached && unusedMillis < survivalMillis) {
      survivalMillis = Math.max(1, unusedMillis);
    }
  }
}
