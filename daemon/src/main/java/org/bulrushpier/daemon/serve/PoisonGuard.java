package org.bulrushpier.daemon.serve;

import java.util.Collection;
import java.util.Set;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.poison.Crash;
import org.bulrushpier.poison.CrashDetector;
import org.bulrushpier.poison.CrashKnowledge;
import org.bulrushpier.poison.PartAdmission;
import org.bulrushpier.poison.PoisonParts;
import org.bulrushpier.replica.Replica;

/**
 * Keeps requests from engines that a part of their prompts would crash.
 *
 * <p>Joins the crashes that this instance sees with those that other instances tell, and logs each
 * change of what is believed. Guarded by the loop's lock.
 */
final class PoisonGuard {

  private final EventLog log;
  private final GatewayMetrics metrics;
  private final PoisonParts parts = new PoisonParts();
  private final CrashDetector detector = new CrashDetector();
  private PoisonParts.Turn turn = part -> 0;
  private Set<String> loggedSuspects = Set.of();
  private long ownChanges;

  PoisonGuard(EventLog log, GatewayMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
    metrics.gauge(
        "bulrushpier.prompt.parts.suspect",
        "Prompt parts that are taken to crash engines",
        () -> loggedSuspects.size());
  }

  /** Sets the place of this instance in the order in which suspect parts are tried again. */
  void turn(PoisonParts.Turn newTurn) {
    turn = newTurn;
  }

  /** Decides whether a new request with the given shared parts may be sent. */
  PartAdmission admit(Collection<String> shared) {
    long now = MonotonicClock.millis();
    PartAdmission admission = parts.admit(shared, turn, now);
    if (admission instanceof PartAdmission.Trial trial) {
      ownChanges++;
      log.event("part-tried", "part", trial.part());
    }
    return admission;
  }

  /** Decides whether a request under way may be sent now or once more. */
  PartAdmission check(Collection<String> shared) {
    return parts.check(shared, MonotonicClock.millis());
  }

  /** Returns whether a replica is known to have crashed. */
  boolean hasCrashed(Replica replica) {
    return parts.hasCrashed(replica.entry().incarnation());
  }

  /** Returns whether one of the parts may turn out to crash engines. */
  boolean isUncertain(Collection<String> shared) {
    return parts.isUncertain(shared);
  }

  /** Records a sound answer to a request with the given shared parts. */
  void answered(Collection<String> shared) {
    long before = parts.suspectChanges();
    parts.answered(shared, MonotonicClock.millis());
    if (parts.suspectChanges() != before) {
      ownChanges++;
    }
  }

  /** Records that the connection of an answer that had begun ended before the answer did. */
  void answerBrokeOff(Replica replica, Collection<String> shared) {
    detector.answerBrokeOff(replica, shared, MonotonicClock.millis());
  }

  /** Adds what another instance told, directly or through the store. */
  void learn(CrashKnowledge knowledge) {
    parts.learn(knowledge, MonotonicClock.millis());
  }

  /** Returns whether there is nothing to tell other instances. */
  boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Returns what there is to tell other instances. */
  CrashKnowledge knowledge() {
    return parts.knowledge(MonotonicClock.millis());
  }

  /** Returns a number that grows whenever there is something new to tell other instances. */
  long changes() {
    return parts.changes();
  }

  /** Returns a number that grows whenever a part is barred, tried or cleared. */
  long suspectChanges() {
    return parts.suspectChanges();
  }

  /** Returns whether this instance is the first in the order of turns for any suspect part. */
  boolean hasFirstTurn() {
    return parts.suspects().stream().anyMatch(part -> turn.before(part) == 0);
  }

  /** Returns a number that grows with each change that this instance has seen itself. */
  long ownChanges() {
    return ownChanges;
  }

  /**
   * Draws the conclusions from the crashes of which this instance has become certain.
   *
   * @return whether another part has become suspect
   */
  boolean tick(long nowMillis) {
    for (Crash crash : detector.confirmed(nowMillis)) {
      ownChanges++;
      metrics.replicaCrashed();
      log.event("replica-crashed", "replica", crash.replica(), "parts", crash.parts());
      parts.crashed(crash, nowMillis);
    }
    parts.expire(nowMillis);
    Set<String> suspects = parts.suspects();
    if (suspects.equals(loggedSuspects)) {
      return false;
    }
    final Set<String> before = loggedSuspects;
    loggedSuspects = suspects;
    logAll("part-suspected", suspects, before);
    logAll("part-cleared", before, suspects);
    return !before.containsAll(suspects);
  }

  private void logAll(String event, Set<String> ids, Set<String> excluded) {
    for (String part : ids) {
      if (!excluded.contains(part)) {
        log.event(event, "part", part, "knownCrashes", parts.crashes());
      }
    }
  }
}
