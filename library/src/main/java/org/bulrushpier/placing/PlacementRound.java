package org.bulrushpier.placing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bulrushpier.site.Homes;

/**
 * One round in which the requests that wait for a replica of a service take their turns.
 *
 * <p>Designed for requests of which some may use only a few replicas, because of their homes or of
 * the replicas that they have tried: while these are busy or cold, the requests behind them use the
 * others.
 *
 * <p>Invariant: no request is placed at a replica for which one before it waits. Not thread-safe.
 */
public final class PlacementRound {

  private final Set<Restriction> waiting = new HashSet<>();
  private final Set<String> reserved = new HashSet<>();

  /** A request that waits. */
  public interface Turn {

    /** Returns what restricts the replicas of the request. */
    Restriction restriction();

    /** Returns the ids of the replicas that may take the request now or as soon as they can. */
    Set<String> replicas();

    /**
     * Tries to place the request.
     *
     * @param reserved the ids of replicas for which others wait that come first
     * @return true if the request no longer waits
     */
    boolean place(Set<String> reserved);
  }

  /**
   * What restricts the replicas of a request. Immutable and thread-safe.
   *
   * @param homes the regions in which it may run
   * @param triedIds the ids of the replicas that it has tried
   */
  public record Restriction(Homes homes, Set<String> triedIds) {

    /** Copies the ids. */
    public Restriction {
      triedIds = Set.copyOf(triedIds);
    }

    private boolean isNone() {
      return homes.isEverywhere() && triedIds.isEmpty();
    }
  }

  private PlacementRound() {}

  /**
   * Gives each request its turn, until one waits that may use all replicas.
   *
   * @param turns the requests in their order
   */
  public static void run(List<? extends Turn> turns) {
    PlacementRound round = new PlacementRound();
    for (Turn turn : turns) {
      Restriction restriction = turn.restriction();
      if (!round.waiting.contains(restriction) && !round.place(turn, restriction)) {
        return;
      }
    }
  }

  /** Returns whether replicas are left for the requests that follow. */
  private boolean place(Turn turn, Restriction restriction) {
    boolean isAnyLeft = reserved.isEmpty() || !reserved.containsAll(turn.replicas());
    if (isAnyLeft && turn.place(Set.copyOf(reserved))) {
      return true;
    }
    if (restriction.isNone()) {
      return false;
    }
    waiting.add(restriction);
    reserved.addAll(turn.replicas());
    return true;
  }
}
