package org.bulrushpier.placing;

import java.util.ArrayList;
import java.util.List;

/**
 * The attempts of one request that run at the same time. The first one to make progress answers the
 * request; the others are to be cancelled.
 *
 * <pre>{@code
 * race.begin(attempt);
 * race.progressed(attempt).forEach(Attempt::cancel);
 * }</pre>
 *
 * <p>Invariant: after an attempt has made progress it is the only running one until another begins.
 * Not thread-safe; guarded by the lock of the gateway's event loop.
 *
 * @param <T> the type of the attempts
 */
public final class AttemptRace<T> {

  private final List<T> running = new ArrayList<>();

  /**
   * Adds an attempt.
   *
   * @param attempt the attempt
   */
  public void begin(T attempt) {
    running.add(attempt);
  }

  /**
   * Removes all attempts but the one that has made progress.
   *
   * @param attempt the running attempt that has made progress
   * @return the removed attempts, which are to be cancelled
   */
  public List<T> progressed(T attempt) {
    if (running.size() == 1) {
      return List.of();
    }
    List<T> others = new ArrayList<>(running);
    others.removeIf(other -> other == attempt);
    running.removeAll(others);
    return others;
  }

  /**
   * Removes an attempt that has ended.
   *
   * @param attempt the attempt
   */
  public void end(T attempt) {
    running.removeIf(other -> other == attempt);
  }

  /**
   * Checks whether no attempt is running.
   *
   * @return true if the request depends on a further attempt
   */
  public boolean isEmpty() {
    return running.isEmpty();
  }

  /** Returns a copy of the running attempts in the order in which they began. */
  public List<T> running() {
    return List.copyOf(running);
  }
}
