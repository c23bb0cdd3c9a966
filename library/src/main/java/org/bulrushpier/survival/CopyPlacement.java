package org.bulrushpier.survival;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.site.ConfiguredRoute;
import org.bulrushpier.site.RouteKind;
import org.bulrushpier.site.Service;

/**
 * Decides which runs get a copy, and which replica holds it.
 *
 * <p>Streams that may be resumed need none, as they are continued from their last event. The holder
 * is the replica with the least memory in use among a few drawn at random: with a draw, instances
 * that know the same loads do not all choose the same holder, and the work for a request does not
 * grow with the number of replicas. One in another failure domain than the run survives the loss of
 * that domain and is preferred.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class CopyPlacement {

  /**
   * The prompt tokens for each token of output beyond which a run gets no copy. The time in which a
   * run can be lost with a copy grows with its output, and the cost of the copy with its prompt.
   */
  private static final int MAX_PROMPT_PER_OUTPUT = 100;

  /** The number of replicas that are drawn; a service with no more is looked at as a whole. */
  private static final int DRAWS = 8;

  /**
   * The memory up to which copies are placed, as a share of a replica's memory. The copies that
   * other instances have ordered are not known, and runs must not lack the room: without it they
   * are preempted, which costs callers more than the copies save them.
   */
  private static final double MAX_MEMORY_SHARE = 0.4;

  private final PeerLoads peers;
  private final RandomGenerator random;

  private CopyPlacement(PeerLoads peers, RandomGenerator random) {
    this.peers = peers;
    this.random = random;
  }

  /**
   * Creates the policy of an instance.
   *
   * @param peers the load of the other instances
   * @param random the source of the draws
   * @return the policy
   */
  public static CopyPlacement of(PeerLoads peers, RandomGenerator random) {
    return new CopyPlacement(peers, random);
  }

  /**
   * Checks whether a run gets a copy.
   *
   * @param route the route
   * @param service the service that runs its requests
   * @param prompt the prompt of the run
   * @return true for streams that may not be resumed and whose output is not small compared to
   *     their prompt, if the service offers copies
   */
  public static boolean isWanted(
      ConfiguredRoute route, Service.Engines service, PromptShape prompt) {
    return service.hasCopies()
        && route.kind() == RouteKind.STREAM
        && !route.isRepeatable()
        && prompt.inputTokens() <= MAX_PROMPT_PER_OUTPUT * prompt.expectedOutputTokens();
  }

  /**
   * Selects the holder of the copy of a run.
   *
   * @param prompt the prompt of the run
   * @param service the service of the replicas
   * @param run the replica that executes the run
   * @param replicas the replicas of the service
   * @param mayReceive whether a replica may get this request now
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the holder, or empty if the weights of the run are not known, if none of the drawn
   *     replicas is known to have the same and is suitable, or if as many of them are full as have
   *     room, so that memory is scarce in the whole service
   */
  public Optional<Replica> choose(
      PromptShape prompt,
      Service.Engines service,
      Replica run,
      List<Replica> replicas,
      Predicate<Replica> mayReceive,
      long nowMillis) {
    double limit = service.memoryTokens() * MAX_MEMORY_SHARE - prompt.totalTokens();
    Replica best = null;
    boolean isBestApart = false;
    long least = 0;
    int full = 0;
    int roomy = 0;
    for (Replica drawn : draw(replicas)) {
      if (!isSuitable(drawn, run, prompt.model(), nowMillis) || !mayReceive.test(drawn)) {
        continue;
      }
      long held = heldTokens(drawn);
      if (held > limit) {
        full++;
        continue;
      }
      roomy++;
      boolean isApart = !drawn.entry().domain().equals(run.entry().domain());
      boolean isBetter = best == null || (isApart == isBestApart ? held < least : isApart);
      if (isBetter) {
        best = drawn;
        isBestApart = isApart;
        least = held;
      }
    }
    return full >= roomy ? Optional.empty() : Optional.ofNullable(best);
  }

  /** Returns some replicas, or all of a service that has few. */
  private List<Replica> draw(List<Replica> replicas) {
    List<Replica> drawn = new ArrayList<>(DRAWS);
    int first = replicas.isEmpty() ? 0 : random.nextInt(replicas.size());
    for (int i = 0; i < Math.min(DRAWS, replicas.size()); i++) {
      int index = replicas.size() > DRAWS ? random.nextInt(replicas.size()) : first + i;
      drawn.add(replicas.get(index % replicas.size()));
    }
    return drawn;
  }

  private static boolean isSuitable(Replica replica, Replica run, String model, long nowMillis) {
    int version = run.version(model);
    return !replica.entry().id().equals(run.entry().id())
        && !replica.isUnreachable(nowMillis)
        && replica.overdueRequests(nowMillis) == 0
        && version > 0
        && replica.version(model) == version;
  }

  private long heldTokens(Replica replica) {
    return replica.reservedTokens()
        + replica.copyTokens()
        + peers.at(replica.entry().id(), Integer.MAX_VALUE).memoryTokens();
  }
}
