package org.bulrushpier.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.bulrushpier.replica.Replica;

/**
 * Chooses the engines that change their weights next.
 *
 * <p>The load it answers: new weights are to be in place everywhere within seconds while calls go
 * on. Few engines change at a time, since loading slows down when many do, and engines with the
 * fewest calls go first, as they are free soonest.
 *
 * <p>Holds no state; thread-safe.
 */
public final class RolloutPlan {

  /** The share of a model's engines that change at a time. */
  private static final double WIDTH_SHARE = 0.3;

  private static final int MIN_WIDTH = 3;

  /** Until all instances know of the change and a report can show it, in milliseconds. */
  private static final long ANNOUNCED_MILLIS = 600;

  /** How long waiting calls hold up a change, in milliseconds: a tenth of the time it has. */
  private static final long LONGEST_DRAIN_MILLIS = 800;

  private RolloutPlan() {}

  /**
   * Tells whether an engine that takes no new calls may be ordered to change.
   *
   * <p>An engine refuses the calls that wait in its queue when it changes, so it is left to begin
   * them first; those that it runs go on.
   *
   * @param sinceMillis for how long it was announced, in milliseconds
   * @param running calls that it runs
   * @param waiting calls in its queue
   * @return true if the order would refuse no call, or cannot wait any longer
   */
  public static boolean isDrained(long sinceMillis, int running, int waiting) {
    return running + waiting == 0
        || (waiting == 0 && sinceMillis >= ANNOUNCED_MILLIS)
        || sinceMillis >= LONGEST_DRAIN_MILLIS;
  }

  /**
   * Chooses.
   *
   * @param model the model
   * @param version the wanted version
   * @param engines the model's engines that are not leaving
   * @param changing ids of engines that change now
   * @return the engines to be ordered now
   */
  public static List<Replica> next(
      String model, int version, List<Replica> engines, Set<String> changing) {
    List<Replica> behind = new ArrayList<>();
    for (Replica engine : engines) {
      if (engine.version(model) < version && !changing.contains(engine.entry().id())) {
        behind.add(engine);
      }
    }
    behind.sort(Comparator.comparingInt(engine -> engine.own() + engine.told().running()));
    int width = Math.max(MIN_WIDTH, (int) Math.round(engines.size() * WIDTH_SHARE));
    int room = Math.max(0, width - changing.size());
    return behind.subList(0, Math.min(room, behind.size()));
  }
}
