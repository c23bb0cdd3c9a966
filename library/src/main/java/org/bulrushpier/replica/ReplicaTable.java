package org.bulrushpier.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The replicas that this instance considers alive.
 *
 * <p>An entry that is removed while the registry's store is unavailable proves little: the replica
 * may be healthy but unable to renew its entry. Such replicas remain in use until shortly after the
 * store becomes available again. Any other removal means that the replica is leaving.
 *
 * <p>Entries without a start time are foreign if at least half of all entries have one. As a single
 * entry does not decide over the others, foreign entries stay in the table.
 *
 * <p>Invariants: a draining replica does not become available again within the same incarnation;
 * the entry of an earlier incarnation never replaces that of a later one.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class ReplicaTable {

  /**
   * The time within which live replicas renew their entries after the store has become available
   * again, in milliseconds.
   */
  public static final long RENEWAL_GRACE_MILLIS = 2_000;

  /** The most removed replicas that are remembered. */
  private static final int MAX_LEFT = 1_000;

  private final Map<String, Replica> replicas = new LinkedHashMap<>();

  /**
   * The start times of replicas that were removed after they had said that they leave, by id. Their
   * entries may return, as the store may be behind; they themselves don't.
   */
  private final Map<String, Long> left =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_LEFT;
        }
      };

  private boolean isListed;
  private boolean isStoreUnavailable;
  private long storeAvailableMillis = Long.MIN_VALUE / 2;

  /** The effect of an update on the table. Immutable and thread-safe. */
  public enum Change {
    /** No relevant change. */
    NONE,
    /** A new replica was added. */
    ADDED,
    /** A replica has restarted under its id. */
    RESTARTED,
    /** A replica has announced that it is about to leave. */
    DRAINING,
    /** The entry of a replica is missing, but the replica is kept until the grace period ends. */
    MISSING,
    /** A replica was removed. */
    REMOVED,
    /** The entry is older than the one already known and was ignored. */
    STALE,
    /** The entry was ignored because it lacks the start time that the replica's entry had. */
    FOREIGN
  }

  /**
   * Adds or updates a replica from a registry entry.
   *
   * @param entry the entry
   * @return the effect on the table
   */
  public Change put(ReplicaEntry entry) {
    Replica known = replicas.get(entry.id());
    if (known == null) {
      Replica added = new Replica(entry);
      replicas.put(entry.id(), added);
      if (entry.isDraining()) {
        added.markLeaving("draining entry");
      } else if (entry.startMillis() > 0
          && left.getOrDefault(entry.id(), 0L) == entry.startMillis()) {
        added.markLeaving("left before");
      }
      return Change.ADDED;
    }
    if (entry.startMillis() == 0 && known.entry().startMillis() > 0) {
      return Change.FOREIGN;
    }
    if (entry.startMillis() < known.entry().startMillis()) {
      return Change.STALE;
    }
    if (entry.startMillis() > known.entry().startMillis()) {
      known.markLeaving("restarted");
      Replica restarted = new Replica(entry);
      replicas.put(entry.id(), restarted);
      if (entry.isDraining()) {
        restarted.markLeaving("draining entry");
      }
      return Change.RESTARTED;
    }
    known.entry(entry);
    return entry.isDraining() && known.markLeaving("draining entry")
        ? Change.DRAINING
        : Change.NONE;
  }

  /**
   * Handles the removal of a registry entry.
   *
   * @param id the id of the replica
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the effect on the table
   */
  public Change remove(String id, long nowMillis) {
    Replica known = replicas.get(id);
    if (known == null) {
      return Change.NONE;
    }
    if (!known.isLeaving() && isInGracePeriod(nowMillis)) {
      known.markMissing(nowMillis);
      return Change.MISSING;
    }
    remove(known, "entry removed");
    return Change.REMOVED;
  }

  private void remove(Replica replica, String reason) {
    if (!replica.markLeaving(reason)) {
      left.put(replica.entry().id(), replica.entry().startMillis());
    }
    replicas.remove(replica.entry().id());
  }

  /**
   * Handles the removal of all entries that a complete list does not contain.
   *
   * @param ids the ids in the list
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the ids without an entry, each with the effect on the table
   */
  public Map<String, Change> retain(Set<String> ids, long nowMillis) {
    Map<String, Change> changes = new LinkedHashMap<>();
    for (String id : List.copyOf(replicas.keySet())) {
      if (!ids.contains(id)) {
        changes.put(id, remove(id, nowMillis));
      }
    }
    return changes;
  }

  /**
   * Removes replicas whose entries were not renewed in time after the store became available again.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the ids of the removed replicas
   */
  public List<String> expire(long nowMillis) {
    List<String> expired = new ArrayList<>();
    if (!isInGracePeriod(nowMillis)) {
      for (Replica replica : List.copyOf(replicas.values())) {
        if (replica.isMissing()) {
          String id = replica.entry().id();
          remove(replica, "entry was not renewed");
          expired.add(id);
        }
      }
    }
    return expired;
  }

  /** Records that the whole registry has been read. */
  public void markListed() {
    isListed = true;
  }

  /** Returns whether the whole registry has been read once. */
  public boolean isListed() {
    return isListed;
  }

  /** Records that the registry's store does not answer. */
  public void markStoreUnavailable() {
    isStoreUnavailable = true;
  }

  /**
   * Records that the registry's store has answered.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if it was unavailable before
   */
  public boolean markStoreAvailable(long nowMillis) {
    boolean wasUnavailable = isStoreUnavailable;
    if (wasUnavailable) {
      isStoreUnavailable = false;
      storeAvailableMillis = nowMillis;
    }
    return wasUnavailable;
  }

  private boolean isInGracePeriod(long nowMillis) {
    return isStoreUnavailable || nowMillis - storeAvailableMillis < RENEWAL_GRACE_MILLIS;
  }

  /**
   * Returns whether the entries show which replicas live: the registry's store has answered, and
   * live replicas have had the time to renew their entries since.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return false during an outage of the store and shortly after it
   */
  public boolean isCurrent(long nowMillis) {
    return !isInGracePeriod(nowMillis);
  }

  /**
   * Returns the replicas of a service, including those that are leaving and except foreign ones.
   *
   * @param service the name of the service
   * @return the replicas
   */
  public List<Replica> replicasOf(String service) {
    return withoutForeign().filter(replica -> replica.entry().service().equals(service)).toList();
  }

  /** Returns all replicas, including those that are leaving and except foreign ones. */
  public Collection<Replica> all() {
    return withoutForeign().toList();
  }

  private Stream<Replica> withoutForeign() {
    long withStartTime =
        replicas.values().stream().filter(replica -> replica.entry().startMillis() > 0).count();
    boolean areStartTimesUsual = 2 * withStartTime >= replicas.size();
    return replicas.values().stream()
        .filter(replica -> replica.entry().startMillis() > 0 || !areStartTimesUsual);
  }

  /**
   * Finds a replica by id.
   *
   * @param id the id
   * @return the replica, or null if there is none
   */
  public Replica find(String id) {
    return replicas.get(id);
  }
}
