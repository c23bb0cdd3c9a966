package org.bulrushpier.site;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The failure domains whose replicas must get no further requests, as operators asked.
 *
 * <p>An instance that is told of evacuations does not guess: until it has read all of them once, no
 * replica may receive requests. What it has read stays in force while nothing newer can be read.
 * Where evacuations are not watched, all replicas may receive requests.
 *
 * <pre>{@code
 * evacuations.markWatched();
 * evacuations.list(Map.of("norte", 17L));
 * boolean mayReceive = evacuations.mayReceive("norte"); // false
 * }</pre>
 *
 * <p>A store that comes back from a copy may have lost evacuations that operators will ask for once
 * more. Those that a list lacks stay in force for {@value #HOLD_MILLIS} ms.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class Evacuations {

  /** The time for operators to ask once more for what the store has lost, in milliseconds. */
  static final long HOLD_MILLIS = 10_000;

  private final Map<String, Long> revisions = new HashMap<>();
  private final Set<String> held = new HashSet<>();
  private boolean isWatched;
  private boolean isListed;
  private boolean isHolding;
  private long holdUntilMillis;

  /** The effect of an update on one domain. Immutable and thread-safe. */
  public enum Change {
    /** The evacuation was in force already, or the domain was not evacuated. */
    NONE,
    /** The domain is evacuated from now on. */
    EVACUATED,
    /** The evacuation was withdrawn and asked for again; it was in force all the time. */
    RENEWED,
    /** The evacuation was withdrawn. */
    WITHDRAWN
  }

  /** Records that evacuations apply to this instance, so that they must be known. */
  public void markWatched() {
    isWatched = true;
  }

  /** Returns whether evacuations apply to this instance. */
  public boolean isWatched() {
    return isWatched;
  }

  /**
   * Records that the store came back from a copy, so that its lists may lack evacuations.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void storeRestored(long nowMillis) {
    isHolding = true;
    holdUntilMillis = nowMillis + HOLD_MILLIS;
  }

  /**
   * Withdraws evacuations that were lost and not asked for once more in time.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the names of the domains
   */
  public Set<String> expire(long nowMillis) {
    if (!isHolding || nowMillis < holdUntilMillis) {
      return Set.of();
    }
    isHolding = false;
    Set<String> expired = Set.copyOf(held);
    expired.forEach(this::withdraw);
    return expired;
  }

  /** Returns whether the evacuations are known, or do not apply. */
  public boolean areKnown() {
    return isListed || !isWatched;
  }

  /**
   * Checks whether replicas of a failure domain may receive requests.
   *
   * @param domain the name of the domain
   * @return true if the evacuations are known and the domain is not evacuated
   */
  public boolean mayReceive(String domain) {
    return areKnown() && !revisions.containsKey(domain);
  }

  /**
   * Returns the revision of the request that a domain be evacuated.
   *
   * @param domain the name of the domain
   * @return the revision, or empty if the domain is not evacuated
   */
  public OptionalLong revision(String domain) {
    Long revision = revisions.get(domain);
    return revision == null ? OptionalLong.empty() : OptionalLong.of(revision);
  }

  /** Returns the names of the evacuated domains. */
  public Set<String> domains() {
    return Set.copyOf(revisions.keySet());
  }

  /**
   * Replaces what is known by a complete list.
   *
   * @param listed the revision of the evacuation of each domain
   * @return the changes, by the name of the domain
   */
  public Map<String, Change> list(Map<String, Long> listed) {
    Map<String, Change> changes = new HashMap<>();
    for (String domain : List.copyOf(revisions.keySet())) {
      if (!listed.containsKey(domain)) {
        if (isHolding) {
          held.add(domain);
        } else {
          changes.put(domain, withdraw(domain));
        }
      }
    }
    listed.forEach((domain, revision) -> changes.put(domain, evacuate(domain, revision)));
    changes.values().removeIf(change -> change == Change.NONE);
    isListed = true;
    return changes;
  }

  /**
   * Records that a domain is to be evacuated.
   *
   * @param domain the name of the domain
   * @param revision the revision of the request
   * @return the effect
   */
  public Change evacuate(String domain, long revision) {
    held.remove(domain);
    Long before = revisions.put(domain, revision);
    if (before == null) {
      return Change.EVACUATED;
    }
    return before == revision ? Change.NONE : Change.RENEWED;
  }

  /**
   * Records that the evacuation of a domain was withdrawn.
   *
   * @param domain the name of the domain
   * @return the effect
   */
  public Change withdraw(String domain) {
    held.remove(domain);
    return revisions.remove(domain) == null ? Change.NONE : Change.WITHDRAWN;
  }
}
