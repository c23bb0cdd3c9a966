package org.bulrushpier.replica;

import java.util.HashMap;
import java.util.Map;
import org.bulrushpier.fleet.PaceReport;

/**
 * The window of requests in flight at one replica that has just started or recovered, as this
 * instance knows it.
 *
 * <p>Invariants: the window is never below {@link #MIN_WINDOW} for all instances together or 1 for
 * this one alone; what another instance has told counts for {@value #VALIDITY_MILLIS} ms.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
final class Pace {

  /** The window of all instances together at the start. */
  static final int START_WINDOW = 4;

  /** The smallest window of all instances together. */
  static final int MIN_WINDOW = 2;

  /** How long the numbers of another instance count, in milliseconds. */
  static final long VALIDITY_MILLIS = 1_500;

  /** The shortest time between two halvings by one instance, in milliseconds. */
  static final long HALVING_MILLIS = 500;

  /** The time without a late answer in which the window grows by one, in milliseconds. */
  private static final long GROWTH_MILLIS = 1_000;

  private record Told(int credit, long millis) {}

  private final boolean isJoint;
  private final String reason;
  private final long startMillis;
  private final Map<String, Told> others = new HashMap<>();
  private int credit;
  private long quietSinceMillis;
  private long halvedMillis = Long.MIN_VALUE / 2;

  Pace(boolean isJoint, String reason, long nowMillis) {
    this.isJoint = isJoint;
    this.reason = reason;
    this.startMillis = nowMillis;
    this.quietSinceMillis = nowMillis;
  }

  boolean isJoint() {
    return isJoint;
  }

  String reason() {
    return reason;
  }

  long startMillis() {
    return startMillis;
  }

  /** Returns the time since any instance had a late answer or the start, in milliseconds. */
  long quietMillis(long nowMillis) {
    return nowMillis - quietSinceMillis;
  }

  private int minimum() {
    return isJoint ? MIN_WINDOW : 1;
  }

  private long sum(long nowMillis) {
    long sum = (isJoint ? START_WINDOW : 1) + (long) credit;
    for (Told told : others.values()) {
      if (nowMillis - told.millis <= VALIDITY_MILLIS) {
        sum += told.credit;
      }
    }
    return sum + quietMillis(nowMillis) / GROWTH_MILLIS;
  }

  /** Returns the number of requests that may be in flight. */
  int window(long nowMillis) {
    return (int) Math.clamp(sum(nowMillis), minimum(), (long) PaceReport.MAX_CREDIT);
  }

  void answeredInTime(long nowMillis) {
    long missing = Math.max(0, minimum() - sum(nowMillis));
    credit = (int) Math.min(PaceReport.MAX_CREDIT, credit + missing + 1);
  }

  void answeredLate(long nowMillis) {
    if (nowMillis - halvedMillis < HALVING_MILLIS) {
      return;
    }
    int window = window(nowMillis);
    halvedMillis = nowMillis;
    quietSinceMillis = nowMillis;
    long max = PaceReport.MAX_CREDIT;
    long excess = Math.max(0, Math.min(max, sum(nowMillis)) - window / 2);
    credit = (int) Math.max(-max, credit - excess);
  }

  void learn(String sender, int told, long nowMillis) {
    Told before = others.put(sender, new Told(told, nowMillis));
    if (told < (before == null ? 0 : before.credit)) {
      quietSinceMillis = nowMillis;
    }
  }

  int credit() {
    return credit;
  }
}
