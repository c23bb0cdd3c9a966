package org.bulrushpier.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The replicas that this instance believes to live.
 *
 * <p>An entry that is removed while the registry's store was away says little: its replica may be
 * well and unable to renew it. Such replicas stay in use until a short time after the store's
 * return. Any other removal means that the replica is leaving.
 *
 * <p>Invariants: a draining replica never becomes ready again within a life; an entry of an earlier
 * life never replaces a later one. Not thread-safe; guarded by the lock of the tables.
 */
public final class ReplicaTable {

  /** How long after the store's return a living replica's entry is back, in milliseconds. */
  public static final long RETURN_MILLIS = 2_000;

  private final Map<String, Replica> replicas = new LinkedHashMap<>();
  private boolean isStoreAway;
  private long storeBackMillis = Long.MIN_VALUE / 2;
  private boolean knowsBirths;

  /** What a change of the table was. Immutable and thread-safe. */
  public enum Change {
    /** Nothing that matters. */
    NONE,
    /** A replica became known. */
    ADDED,
    /** A replica began a new life under its id. */
    RESTARTED,
    /** A replica is about to leave. */
    DRAINING,
    /** A replica's entry is missing, and will be waited for. */
    MISSING,
    /** A replica is gone. */
    REMOVED,
    /** The entry was older than what is known. */
    STALE,
    /** The entry lacks the time of birth that entries have here. */
    FOREIGN
  }

  /**
   * Takes an entry.
   *
   * @param entry the entry
   * @return what changed
   */
  public Change put(ReplicaEntry entry) {
    if (entry.bornMillis() > 0) {
      knowsBirths = true;
    } else if (knowsBirths) {
      return Change.FOREIGN;
    }
    Replica known = replicas.get(entry.id());
    if (known == null) {
      Replica added = new Replica(entry);
      replicas.put(entry.id(), added);
      if (entry.isDraining()) {
        added.leave("draining entry");
      }
      return Change.ADDED;
    }
    if (entry.bornMillis() < known.entry().bornMillis()) {
      return Change.STALE;
    }
    if (entry.bornMillis() > known.entry().bornMillis()) {
      known.leave("restarted");
      Replica restarted = new Replica(entry);
      replicas.put(entry.id(), restarted);
      if (entry.isDraining()) {
        restarted.leave("draining entry");
      }
      return Change.RESTARTED;
    }
    known.entry(entry);
    return entry.isDraining() && known.leave("draining entry") ? Change.DRAINING : Change.NONE;
  }

  /**
   * Takes note that an entry was removed.
   *
   * @param id the replica
   * @param nowMillis the steady time
   * @return what changed
   */
  public Change remove(String id, long nowMillis) {
    Replica known = replicas.get(id);
    if (known == null) {
      return Change.NONE;
    }
    if (!known.isLeaving() && isReturning(nowMillis)) {
      known.missing(nowMillis);
      return Change.MISSING;
    }
    known.leave("entry removed");
    replicas.remove(id);
    return Change.REMOVED;
  }

  /**
   * Takes note of all entries that exist.
   *
   * @param ids the ids in a whole list
   * @param nowMillis the steady time
   * @return the ids whose entries are gone, with what that means
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
   * Removes replicas whose entries did not come back after the store did.
   *
   * @param nowMillis the steady time
   * @return the ids that were removed
   */
  public List<String> expire(long nowMillis) {
    List<String> expired = new ArrayList<>();
    if (!isReturning(nowMillis)) {
      for (Replica replica : List.copyOf(replicas.values())) {
        if (replica.isMissing()) {
          String id = replica.entry().id();
          replica.leave("entry did not return");
          replicas.remove(id);
          expired.add(id);
        }
      }
    }
    return expired;
  }

  /** Takes note that the store does not answer. */
  public void storeAway() {
    isStoreAway = true;
  }

  /**
   * Takes note that the store answered.
   *
   * @param nowMillis the steady time
   * @return true if it had been away
   */
  public boolean storeBack(long nowMillis) {
    boolean wasAway = isStoreAway;
    if (wasAway) {
      isStoreAway = false;
      storeBackMillis = nowMillis;
    }
    return wasAway;
  }

  private boolean isReturning(long nowMillis) {
    return isStoreAway || nowMillis - storeBackMillis < RETURN_MILLIS;
  }

  /**
   * Returns the replicas of a service.
   *
   * @param service the service's name
   * @return the replicas, leaving ones included
   */
  public List<Replica> of(String service) {
    List<Replica> found = new ArrayList<>();
    for (Replica replica : replicas.values()) {
      if (replica.entry().service().equals(service)) {
        found.add(replica);
      }
    }
    return found;
  }

  /**
   * Returns all replicas.
   *
   * @return the replicas
   */
  public Collection<Replica> all() {
    return replicas.values();
  }

  /**
   * Finds a replica.
   *
   * @param id its id
   * @return the replica, or null
   */
  public Replica find(String id) {
    return replicas.get(id);
  }
}
