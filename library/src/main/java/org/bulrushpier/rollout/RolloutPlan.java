package org.bulrushpier.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.bulrushpier.replica.Replica;

/**
 * Selects the engines that change their weights next.
 *
 * <p>New weights must be in place everywhere within seconds while requests continue to be served.
 * Only a few engines change at a time, since loading slows down when many engines load at once. The
 * engines with the fewest requests change first, as they are drained soonest.
 *
 * <p>Stateless and thread-safe.
 */
public final class RolloutPlan {

  /** The share of a model's engines that change at the same time. */
  private static final double MAX_CHANGING_SHARE = 0.3;

  /** The lower bound of the limit on concurrent changes, for models with few engines. */
  private static final int MIN_CONCURRENT_CHANGES = 3;

  /**
   * The time until all instances have learned of the announced change and a load report can reflect
   * it, in milliseconds.
   */
  private static final long ANNOUNCEMENT_MILLIS = 600;

  /**
   * The maximum time for which queued requests delay a change, in milliseconds: a tenth of the time
   * allowed for the change.
   */
  private static final long MAX_DRAIN_MILLIS = 800;

  private RolloutPlan() {}

  /**
   * Checks whether an engine that takes no new requests may be ordered to change its weights.
   *
   * <p>An engine rejects its queued requests when it changes, so it is given time to start them
   * first. Requests that it already runs continue.
   *
   * @param sinceMillis the time since the change was announced, in milliseconds
   * @param running the number of requests that the engine runs
   * @param waiting the number of requests in its queue
   * @return true if the order would reject no request, or if it cannot be delayed any longer
   */
  public static boolean isDrained(long sinceMillis, int running, int waiting) {
    return running + waiting == 0
        || (waiting == 0 && sinceMillis >= ANNOUNCEMENT_MILLIS)
        || sinceMillis >= MAX_DRAIN_MILLIS;
  }

  /**
   * Selects the engines to order now.
   *
   * @param model the name of the model
   * @param version the target version
   * @param engines the model's engines that are not leaving
   * @param changing the ids of the engines that were selected before
   * @param active how many of them are changing now
   * @return the engines, those with the fewest requests first
   */
  public static List<Replica> next(
      String model, int version, List<Replica> engines, Set<String> changing, int active) {
    List<Replica> outdated = new ArrayList<>();
    for (Replica engine : engines) {
      if (engine.version(model) < version && !changing.contains(engine.entry().id())) {
        outdated.add(engine);
      }
    }
    outdated.sort(
        Comparator.comparingInt(engine -> engine.ownRequests() + engine.reportedLoad().running()));
    int room = Math.max(0, maxConcurrentChanges(engines.size()) - active);
    return outdated.subList(0, Math.min(room, outdated.size()));
  }

  /**
   * Returns how many engines of a model change at the same time.
   *
   * @param engines the number of the model's engines that are not leaving
   * @return the number, at least a few
   */
  public static int maxConcurrentChanges(int engines) {
    return Math.max(MIN_CONCURRENT_CHANGES, (int) Math.round(engines * MAX_CHANGING_SHARE));
  }
}
