package org.bulrushpier.placing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;

/**
 * The replicas of a service that may get a request now, and why the others may not.
 *
 * <p>Immutable and thread-safe, except for the replicas.
 *
 * @param usable the replicas that may get the request
 * @param starting those that have just started, which get it only if no usable one can take it
 * @param cold those that are cold and have no seat now
 * @param deferred those that want no requests for some time, and might get it otherwise
 * @param excluded the number of the other replicas by the first reason that applies
 */
public record Candidates(
    List<Replica> usable,
    List<Replica> starting,
    List<Replica> cold,
    List<Replica> deferred,
    Map<Exclusion, Integer> excluded) {

  /**
   * Retry delay while operators let no replica take a request, in milliseconds. They change their
   * mind in minutes rather than within the time that a caller waits.
   */
  static final long BARRED_RETRY_MILLIS = 1_000;

  /** Copies the collections. */
  public Candidates {
    usable = List.copyOf(usable);
    starting = List.copyOf(starting);
    cold = List.copyOf(cold);
    deferred = List.copyOf(deferred);
    excluded = Map.copyOf(excluded);
  }

  /**
   * Sorts out the replicas that may get a request.
   *
   * @param replicas the replicas of a service
   * @param exclusion returns the reason for which a replica may not get the request, if any
   * @return the candidates
   */
  public static Candidates of(
      List<Replica> replicas, Function<Replica, Optional<Exclusion>> exclusion) {
    List<Replica> usable = new ArrayList<>();
    List<Replica> starting = new ArrayList<>();
    List<Replica> cold = new ArrayList<>();
    List<Replica> deferred = new ArrayList<>();
    Map<Exclusion, Integer> excluded = new EnumMap<>(Exclusion.class);
    for (Replica replica : replicas) {
      Optional<Exclusion> reason = exclusion.apply(replica);
      if (reason.isEmpty()) {
        usable.add(replica);
      } else {
        excluded.merge(reason.get(), 1, Integer::sum);
        if (reason.get() == Exclusion.STARTING) {
          starting.add(replica);
        } else if (reason.get() == Exclusion.COLD) {
          cold.add(replica);
        } else if (reason.get() == Exclusion.DEFERRED) {
          deferred.add(replica);
        }
      }
    }
    return new Candidates(usable, starting, cold, deferred, excluded);
  }

  /** Returns whether a replica is excluded because it is cold or has just started. */
  public boolean isAnyLimited() {
    return excluded.containsKey(Exclusion.COLD) || excluded.containsKey(Exclusion.STARTING);
  }

  /** Returns the usable replicas and those that have just started. */
  public List<Replica> usableOrStarting() {
    List<Replica> all = new ArrayList<>(usable);
    all.addAll(starting);
    return all;
  }

  /**
   * Lets a request wait that would be refused only because the replicas that could take it are
   * cold.
   *
   * @param placement the placement among the other replicas
   * @param excludedIds the ids of replicas that must not be selected for the request
   * @return the placement, or a wait in place of a refusal
   */
  public Placement orWait(Placement placement, Set<String> excludedIds) {
    return placement instanceof Placement.Refuse
            && isAnyLeft(cold, excludedIds)
            && !isAnyLeft(usableOrStarting(), excludedIds)
        ? new Placement.Wait("the replicas that could take it are cold")
        : placement;
  }

  private static boolean isAnyLeft(List<Replica> replicas, Set<String> excludedIds) {
    return replicas.stream().anyMatch(replica -> !excludedIds.contains(replica.entry().id()));
  }

  /**
   * Returns the time until one of the replicas that want no requests now wants some again. Replicas
   * that may not take the request for another reason have no say.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the shortest time in milliseconds, or empty if there is no such replica
   */
  public OptionalLong deferralMillis(long nowMillis) {
    return deferred.stream().mapToLong(replica -> replica.deferralMillis(nowMillis)).min();
  }

  /** Returns whether a replica is excluded by an evacuation. */
  public boolean isAnyEvacuated() {
    return excluded.containsKey(Exclusion.EVACUATED);
  }

  /**
   * Returns the refusal of a request that no replica may take, because of evacuations or its homes,
   * as long as operators do not change their mind, so that a wait would be in vain.
   *
   * @return the refusal, or empty if a replica may take the request now or soon
   */
  public Optional<Placement.Refuse> refusal() {
    boolean isBarred =
        usable.isEmpty()
            && (isAnyEvacuated() || excluded.containsKey(Exclusion.OUTSIDE_HOMES))
            && excluded.keySet().stream().allMatch(Exclusion::isLasting);
    return isBarred
        ? Optional.of(
            new Placement.Refuse("no replica may take it: " + reasons(), BARRED_RETRY_MILLIS))
        : Optional.empty();
  }

  private String reasons() {
    return excluded.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(entry -> entry.getValue() + " " + entry.getKey().description())
        .collect(Collectors.joining(", "));
  }
}
