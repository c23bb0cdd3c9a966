package org.bulrushpier.survival;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.site.ConfiguredRoute;
import org.bulrushpier.site.RouteKind;
import org.bulrushpier.site.Service;

/**
 * Decides which runs get a copy, and which replica holds it.
 *
 * <p>Streams that may be resumed need none, as they are continued from their last event. The holder
 * is one with much free memory among a few replicas drawn at random: with a draw, instances that
 * know the same loads do not all choose the same holder, and the work for a request does not grow
 * with the number of replicas. One in another failure domain than the run survives the loss of that
 * domain and is preferred. One that may be lost itself, as a response is overdue, is the last
 * choice.
 *
 * <p>Invariant: as far as the loads are known, the copies at a replica leave room for its runs, or
 * for as many as the other replicas have if it has fewer. Not thread-safe; guarded by the lock of
 * the gateway's event loop.
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
   * The number of replicas that are compared at a large site, whose reports are older than copies
   * last. With more, all instances choose the one that was empty some time ago.
   */
  private static final int COMPARED_AT_LARGE_SITE = 2;

  /**
   * The memory up to which replicas are filled by runs and copies, as a share of it. Runs that come
   * while copies are held must not lack the room: without it they are preempted, which costs
   * callers more than the copies save them.
   */
  private static final double MAX_MEMORY_SHARE = 0.8;

  /** How long the number of requests that a replica reported is valid, in milliseconds. */
  private static final long LOAD_VALIDITY_MILLIS = 700;

  /** For how long the mean memory of the runs of a service is used, in milliseconds. */
  private static final long MEAN_VALIDITY_MILLIS = 100;

  private record MeanRuns(double tokens, long computedMillis) {}

  private final PeerLoads peers;
  private final LoadGroup group;
  private final RandomGenerator random;
  private final Map<String, MeanRuns> means = new HashMap<>();

  private CopyPlacement(PeerLoads peers, LoadGroup group, RandomGenerator random) {
    this.peers = peers;
    this.group = group;
    this.random = random;
  }

  /**
   * Creates the policy of an instance.
   *
   * @param peers the load of the other instances
   * @param group the instances whose load is known at any moment
   * @param random the source of the draws
   * @return the policy
   */
  public static CopyPlacement of(PeerLoads peers, LoadGroup group, RandomGenerator random) {
    return new CopyPlacement(peers, group, random);
  }

  /** The holder of a copy, or why there is none. */
  public sealed interface Choice {

    /**
     * A replica is to hold the copy. Immutable and thread-safe, except for the replica.
     *
     * @param replica the replica
     * @param isDoubtful whether a response of it is overdue
     */
    record Holder(Replica replica, boolean isDoubtful) implements Choice {}

    /**
     * The run gets no copy. Immutable and thread-safe.
     *
     * @param reason the reason
     */
    record None(Reason reason) implements Choice {}
  }

  /** Why a run gets no copy. Immutable and thread-safe. */
  public enum Reason {
    /** Its prompt is long compared to its output. */
    LONG_PROMPT,
    /** No replica that was drawn may take it over. */
    NO_REPLICA,
    /** Those that may have no room. */
    NO_MEMORY
  }

  /**
   * Checks whether runs on a route may get copies at all.
   *
   * @param route the route
   * @param service the service that runs its requests
   * @return true for streams that may not be resumed, if the service offers copies
   */
  public static boolean isOffered(ConfiguredRoute route, Service.Engines service) {
    return service.hasCopies() && route.kind() == RouteKind.STREAM && !route.isRepeatable();
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
    return isOffered(route, service)
        && prompt.inputTokens() <= MAX_PROMPT_PER_OUTPUT * prompt.expectedOutputTokens();
  }

  /** What is known of the memory of a replica that may hold the copy. */
  private record Candidate(Replica replica, boolean isSound, boolean isApart, Memory memory) {

    /** Returns whether this one belongs to a better class than another, whatever their memory. */
    boolean isPreferredTo(Candidate other) {
      return isSound == other.isSound ? isApart && !other.isApart : isSound;
    }
  }

  /**
   * The memory in use at a replica, in tokens.
   *
   * @param runs what runs occupy when they end
   * @param copies what copies occupy when their runs end
   */
  private record Memory(double runs, long copies) {

    double total() {
      return runs + copies;
    }
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
   * @return the holder; none if the weights of the run are not known, if none of the drawn replicas
   *     is known to have the same and is suitable, or if none of these has room beside its runs
   */
  public Choice choose(
      PromptShape prompt,
      Service.Engines service,
      Replica run,
      List<Replica> replicas,
      Predicate<Replica> mayReceive,
      long nowMillis) {
    List<Candidate> candidates = new ArrayList<>(DRAWS);
    for (Replica drawn : draw(replicas)) {
      if (isSuitable(drawn, run, prompt.model(), nowMillis) && mayReceive.test(drawn)) {
        boolean isSound = drawn.overdueRequests(nowMillis) == 0;
        boolean isApart = !drawn.entry().domain().equals(run.entry().domain());
        candidates.add(new Candidate(drawn, isSound, isApart, memory(drawn, prompt, nowMillis)));
      }
    }
    if (candidates.isEmpty()) {
      return new Choice.None(Reason.NO_REPLICA);
    }
    double mean = meanRuns(service, prompt, replicas, nowMillis);
    double limit = service.memoryTokens() * MAX_MEMORY_SHARE - prompt.totalTokens();
    candidates.removeIf(c -> c.memory.copies + Math.max(c.memory.runs, mean) > limit);
    return best(candidates)
        .<Choice>map(c -> new Choice.Holder(c.replica, !c.isSound))
        .orElse(new Choice.None(Reason.NO_MEMORY));
  }

  private Optional<Candidate> best(List<Candidate> candidates) {
    int compared = group.isLargeSite() ? COMPARED_AT_LARGE_SITE : DRAWS;
    Candidate best = null;
    int count = 0;
    for (Candidate candidate : candidates) {
      if (best == null || candidate.isPreferredTo(best)) {
        best = candidate;
        count = 1;
      } else if (!best.isPreferredTo(candidate) && count < compared) {
        count++;
        best = candidate.memory.total() < best.memory.total() ? candidate : best;
      }
    }
    return Optional.ofNullable(best);
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
        && version > 0
        && replica.version(model) == version;
  }

  /** Returns what runs occupy on average at the replicas that take requests, in tokens. */
  private double meanRuns(
      Service.Engines service, PromptShape prompt, List<Replica> replicas, long nowMillis) {
    MeanRuns known = means.get(service.name());
    if (known == null || nowMillis - known.computedMillis >= MEAN_VALIDITY_MILLIS) {
      double mean =
          replicas.stream()
              .filter(r -> r.isUsable(nowMillis) && !r.isUnreachable(nowMillis))
              .mapToDouble(r -> memory(r, prompt, nowMillis).runs)
              .average()
              .orElse(0);
      known = new MeanRuns(mean, nowMillis);
      means.put(service.name(), known);
    }
    return known.tokens;
  }

  /**
   * Returns the memory in use at a replica. Requests of instances that are not heard from are taken
   * to be as large as the others there, or as this one if there are no others.
   */
  private Memory memory(Replica replica, PromptShape prompt, long nowMillis) {
    PeerLoads.Total told = peers.at(replica.entry().id(), Integer.MAX_VALUE);
    long runs = replica.reservedTokens() + told.memoryTokens();
    int known = replica.ownRequests() + told.requests();
    int unknown =
        Math.max(0, replica.otherRequests(nowMillis, LOAD_VALIDITY_MILLIS) - told.requests());
    double size = known == 0 ? prompt.totalTokens() : (double) runs / known;
    return new Memory(runs + unknown * size, replica.copyTokens() + told.copyTokens());
  }
}
