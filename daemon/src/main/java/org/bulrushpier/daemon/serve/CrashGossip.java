package org.bulrushpier.daemon.serve;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.bulrushpier.Address;

/**
 * Decides which instances are told of crashes, and when. News goes to a few instances at random at
 * short intervals, and each of them passes it on, so that the effort of an instance does not grow
 * with their number.
 *
 * <p>Guarded by the loop's lock.
 */
final class CrashGossip {

  /** The number of instances that are told at a time. */
  private static final int FANOUT = 4;

  /** Interval at which news is told, in milliseconds. */
  private static final long INTERVAL_MILLIS = 120;

  /** How long something is news, in milliseconds: a few intervals, as datagrams are lost. */
  private static final long NEWS_MILLIS = 1_500;

  private long toldChanges;
  private long newsUntilMillis = Long.MIN_VALUE / 2;
  private long toldMillis = Long.MIN_VALUE / 2;

  /**
   * Returns whether other instances are to be told now.
   *
   * @param changes a number that grows with each change of the knowledge
   * @param nowMillis the current monotonic time, in milliseconds
   */
  boolean isDue(long changes, long nowMillis) {
    if (changes != toldChanges) {
      toldChanges = changes;
      newsUntilMillis = nowMillis + NEWS_MILLIS;
    }
    if (nowMillis >= newsUntilMillis || nowMillis - toldMillis < INTERVAL_MILLIS) {
      return false;
    }
    toldMillis = nowMillis;
    return true;
  }

  /** Selects the instances to tell among the others. */
  List<Address> receivers(List<Address> contacts) {
    List<Address> receivers = new ArrayList<>(contacts);
    Collections.shuffle(receivers);
    return receivers.subList(0, Math.min(FANOUT, receivers.size()));
  }
}
