package org.bulrushpier.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushpier.fleet.Place;
import org.bulrushpier.limit.ColdLimit;

/**
 * Decides which replicas this instance may send a request to, so that all instances together do not
 * exceed what a cold replica bears.
 *
 * <p>Designed for replicas that come back in groups: they look idle and empty, so that all
 * instances would send their requests there at once. Instances decide without messages, from their
 * places among the remembered ones.
 *
 * <p>Invariant: a replica whose service has no limit is never withheld. Not thread-safe; guarded by
 * the lock of the gateway's event loop.
 */
public final class ColdReplicas {

  /** The shortest stall in which a replica may have turned cold unnoticed, in milliseconds. */
  static final long STALL_MILLIS = 1_000;

  /** How long after a stall the registry is awaited, in milliseconds: a little over one watch. */
  static final long NEWS_MILLIS = 3_000;

  /** How long a place is used, in milliseconds, as to compute it takes many hashes. */
  private static final long PLACE_MILLIS = 500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PlaceSource places;
  private final Map<Replica, KnownPlace> known = new HashMap<>();
  private final Set<Replica> cold = new LinkedHashSet<>();
  private long wokenMillis = NEVER;
  private long uncertainUntilMillis = NEVER;
  private long lastTickMillis = Long.MAX_VALUE;

  /** Returns the place of this instance among those of the site. */
  @FunctionalInterface
  public interface PlaceSource {

    /**
     * Returns the place for a key.
     *
     * @param key the key
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the place, or empty while this instance cannot know it
     */
    Optional<Place> place(String key, long nowMillis);
  }

  private record KnownPlace(Optional<Place> place, long millis) {}

  private ColdReplicas(PlaceSource places) {
    this.places = places;
  }

  /**
   * Creates the decision of an instance that knows of no cold replica.
   *
   * @param places the source of the instance's places
   * @return the decision
   */
  public static ColdReplicas of(PlaceSource places) {
    return new ColdReplicas(places);
  }

  /**
   * Records how long a replica remains cold.
   *
   * @param replica the replica
   * @param leftMillis the time that its entry or an answer states, in milliseconds, or 0
   * @param isKnown whether requests may have been sent to this incarnation before
   * @param nowMillis the monotonic time of the receipt, in milliseconds
   * @return true if it was not taken to be cold before
   */
  public boolean told(Replica replica, long leftMillis, boolean isKnown, long nowMillis) {
    boolean isNew = replica.coldSpell().told(leftMillis, nowMillis);
    if (isNew) {
      cold.add(replica);
      if (isKnown) {
        replica.coldSpell().pause(nowMillis);
      }
    }
    return isNew;
  }

  /**
   * Records that a replica broke off or was silent while the registry cannot tell whether it has
   * restarted.
   *
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if it was not taken to be cold before
   */
  public boolean mayHaveRestarted(Replica replica, long nowMillis) {
    boolean wasCold = replica.coldSpell().isCold(nowMillis);
    replica.coldSpell().suspect(nowMillis);
    cold.add(replica);
    return !wasCold;
  }

  /**
   * Records that a replica refused a connection, so that it has just started when it listens again.
   * Its new entry may come after that.
   *
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if it was not taken to be cold before
   */
  public boolean refused(Replica replica, long nowMillis) {
    boolean wasCold = replica.coldSpell().isCold(nowMillis);
    replica.coldSpell().refused(nowMillis);
    cold.add(replica);
    return !wasCold;
  }

  /**
   * Records an answer of a replica, which is cold for its full time if it may have restarted.
   *
   * @param replica the replica
   * @param coldMillis how long replicas of its service are cold after their start, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void answered(Replica replica, long coldMillis, long nowMillis) {
    if (replica.coldSpell().isSuspect(nowMillis)) {
      replica.coldSpell().told(coldMillis, nowMillis);
      replica.coldSpell().answered();
    }
  }

  /**
   * Records that the registry has been read. What was true before this process stalled says nothing
   * of the stall.
   *
   * @param provenMillis a moment at which what was read was certainly true, in milliseconds
   * @param isCurrent whether all replicas that live have had the time to renew their entries, so
   *     that what the registry does not say has not happened
   */
  public void registryRead(long provenMillis, boolean isCurrent) {
    if (provenMillis < wokenMillis) {
      return;
    }
    uncertainUntilMillis = NEVER;
    if (isCurrent) {
      cold.forEach(replica -> replica.coldSpell().clearSuspicion());
    }
  }

  /**
   * Checks whether no replica is limited now.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if each request may be sent to any replica
   */
  public boolean isIdle(long nowMillis) {
    return cold.isEmpty() && !isUncertain(nowMillis);
  }

  /**
   * Checks whether a request may be sent to a replica now.
   *
   * @param limit the limit of its service
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if it is not cold or has a free seat
   */
  public boolean admits(ColdLimit limit, Replica replica, long nowMillis) {
    return !limit.isLimiting()
        || replica.coldSpell().sends(nowMillis) < share(limit, replica, nowMillis);
  }

  /**
   * Checks whether more requests are placed at a replica than it may be sent, because it has turned
   * cold since.
   *
   * @param limit the limit of its service
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if one of the requests that are not sent yet must not be sent
   */
  public boolean isExceeded(ColdLimit limit, Replica replica, long nowMillis) {
    return limit.isLimiting()
        && replica.coldSpell().sends(nowMillis) > share(limit, replica, nowMillis);
  }

  /**
   * Returns the number of requests that may be sent to a replica in a window.
   *
   * @param limit the limit of its service
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the number, at least 0
   */
  public int share(ColdLimit limit, Replica replica, long nowMillis) {
    ColdSpell spell = replica.coldSpell();
    if (spell.isPaused(nowMillis)) {
      return 0;
    }
    boolean isLimited = spell.isCold(nowMillis) || isUncertain(nowMillis);
    long warmMillis = spell.warmMillis(nowMillis);
    if (!isLimited && warmMillis >= ColdLimit.RAMP_MILLIS) {
      return Integer.MAX_VALUE;
    }
    Optional<Place> place = place(replica, nowMillis);
    if (place.isEmpty()) {
      return 0;
    }
    return isLimited ? limit.share(place.get()) : limit.share(place.get(), warmMillis);
  }

  /** Checks whether replicas may have turned cold in a stall of this process. */
  private boolean isUncertain(long nowMillis) {
    return nowMillis < uncertainUntilMillis || nowMillis - lastTickMillis >= STALL_MILLIS;
  }

  private Optional<Place> place(Replica replica, long nowMillis) {
    KnownPlace last = known.get(replica);
    if (last == null || nowMillis - last.millis >= PLACE_MILLIS) {
      String key = replica.entry().incarnation();
      last = new KnownPlace(places.place(key, nowMillis), nowMillis);
      known.put(replica, last);
    }
    return last.place;
  }

  /**
   * Records a request that is about to be sent to a replica.
   *
   * @param limit the limit of its service
   * @param replica the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the request, whose further course is to be recorded
   */
  public ColdSpell.Send begin(ColdLimit limit, Replica replica, long nowMillis) {
    return limit.isLimiting() ? replica.coldSpell().begin(nowMillis) : new ColdSpell.Send();
  }

  /**
   * Records that the process runs, and removes the replicas whose load is no longer limited; to be
   * called at short intervals.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the removed replicas
   */
  public List<Replica> tick(long nowMillis) {
    if (nowMillis - lastTickMillis >= STALL_MILLIS) {
      wokenMillis = nowMillis;
      uncertainUntilMillis = nowMillis + NEWS_MILLIS;
    }
    lastTickMillis = nowMillis;
    List<Replica> warm = new ArrayList<>();
    for (Replica replica : List.copyOf(cold)) {
      ColdSpell spell = replica.coldSpell();
      boolean isOver =
          !spell.isCold(nowMillis) && spell.warmMillis(nowMillis) >= ColdLimit.RAMP_MILLIS;
      if (isOver || replica.isLeaving()) {
        cold.remove(replica);
        warm.add(replica);
      }
    }
    if (cold.isEmpty() && !isUncertain(nowMillis)) {
      known.clear();
    }
    return warm;
  }

  /** Returns the replicas whose load is limited, or was until a moment ago. */
  public Set<Replica> limited() {
    return cold;
  }
}
