package org.bulrushpier.daemon;

import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.Upstream;
import org.bulrushpier.limit.CircuitBreaker;
import org.bulrushpier.routing.EngineLoad;
import org.bulrushpier.routing.Router;

/**
 * What this entry knows of one upstream instance.
 *
 * <p>Thread-safe; the sends are guarded by the state's own lock, which is taken before no other.
 */
final class UpstreamState {

  private static final EngineLoad NOTHING = new EngineLoad("", false, 0, 0);
  private static final long REPORT_LAG_MILLIS = 300;
  private static final long LONGEST_REPORT_MILLIS = 3_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double LEAST_LEARNED_MILLIS = 100;
  private static final double BIAS_SMOOTHING = 0.1;
  private static final double LARGEST_BIAS = 4;
  private static final long LEAVING_MILLIS = 20_000;
  private static final long FIRST_SURVIVAL_MILLIS = 20_000;
  private static final long LONGEST_SURVIVAL_MILLIS = 600_000;

  private final CircuitBreaker breaker = new CircuitBreaker();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong sentTokens = new AtomicLong();
  private final ArrayDeque<Send> sends = new ArrayDeque<>();
  private volatile Upstream upstream;
  private volatile EngineLoad load = NOTHING;
  private volatile long leavingMillis;
  private volatile long loadMillis;
  private volatile double bias = 1;
  private volatile long survivalMillis = FIRST_SURVIVAL_MILLIS;

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

  /** Prompt tokens sent by this entry whose first token has not come back yet. */
  AtomicLong sentTokens() {
    return sentTokens;
  }

  /** Takes note of prompt tokens sent now. */
  synchronized void sent(long tokens, long nowMillis) {
    sends.addLast(new Send(nowMillis, tokens));
    forgetSends(nowMillis);
  }

  /**
   * Estimates the prompt tokens waiting at the engine now: what it reported, less what it computed
   * since, plus what was sent since. The other entries are taken to send as much as this one, so
   * that all do not pick the same engine by the same late report.
   */
  synchronized long backlogTokens(long nowMillis, long tokensPerSecond, int entries) {
    forgetSends(nowMillis);
    long age = Math.min(LONGEST_REPORT_MILLIS, nowMillis - loadMillis + REPORT_LAG_MILLIS);
    long since = 0;
    for (Send send : sends) {
      since += nowMillis - send.millis() <= age ? send.tokens() : 0;
    }
    double rate = tokensPerSecond / Router.slowdown(load.running());
    long computed = (long) (rate * age / MILLIS_PER_SECOND);
    long estimate = load.backlogTokens() + since * entries - computed;
    return Math.max(sentTokens.get(), Math.max(0, estimate));
  }

  private void forgetSends(long nowMillis) {
    while (!sends.isEmpty() && nowMillis - sends.peekFirst().millis() > LONGEST_REPORT_MILLIS) {
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

  /** Forgets the reported version until the next report, since the engine serves another one. */
  void forgetVersion() {
    load = new EngineLoad("", load.isLeaving(), load.backlogTokens(), load.running());
  }

  /** The age of the last load report. */
  long loadAgeMillis(long nowMillis) {
    return nowMillis - loadMillis;
  }

  /** Leaving is forgotten when no source has said so for a while, for an instance may come back. */
  boolean isLeaving(long nowMillis) {
    return leavingMillis > 0 && nowMillis - leavingMillis < LEAVING_MILLIS;
  }

  void setLeaving(long nowMillis) {
    leavingMillis = nowMillis;
  }

  /** By what factor first tokens came later than estimated of late, at least 1. */
  double bias() {
    return Math.max(1, bias);
  }

  /** Learns from a first token how good the estimate was. */
  synchronized void learnDelay(double estimateMillis, long tookMillis) {
    if (estimateMillis >= LEAST_LEARNED_MILLIS) {
      bias += BIAS_SMOOTHING * (Math.min(LARGEST_BIAS, tookMillis / estimateMillis) - bias);
    }
  }

  long survivalMillis() {
    return survivalMillis;
  }

  /** Learns from an answer whether blocks unused for a time were still there. */
  void learnSurvival(long unusedMillis, boolean wereThere) {
    if (wereThere && unusedMillis > survivalMillis) {
      survivalMillis = Math.min(LONGEST_SURVIVAL_MILLIS, unusedMillis);
    } else if (!wereThere && unusedMillis < survivalMillis) {
      survivalMillis = Math.max(1, unusedMillis);
    }
  }
}
