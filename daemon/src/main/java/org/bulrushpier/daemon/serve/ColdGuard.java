package org.bulrushpier.daemon.serve;

import java.util.Optional;
import java.util.OptionalInt;
import org.bulrushpier.fleet.Place;
import org.bulrushpier.limit.ColdLimit;
import org.bulrushpier.replica.ColdReplicas;
import org.bulrushpier.replica.ColdSpell;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.settings.GatewaySettings;

/**
 * Keeps requests from cold replicas beyond what they bear, and logs which ones are cold.
 *
 * <p>Guarded by the loop's lock.
 */
final class ColdGuard {

  private final GatewayContext context;
  private final ColdReplicas replicas =
      ColdReplicas.of((key, nowMillis) -> this.places.place(key, nowMillis));
  private ColdReplicas.PlaceSource places = (key, nowMillis) -> Optional.of(Place.ALONE);

  ColdGuard(GatewayContext context) {
    this.context = context;
  }

  /** Sets the source of this instance's places, which is alone without one. */
  void places(ColdReplicas.PlaceSource source) {
    places = source;
  }

  private ColdLimit limit(String service) {
    GatewaySettings settings = context.settings();
    return new ColdLimit(
        context.coldStart(service).perSecond(), settings.coldOverage(), settings.coldSlack());
  }

  /**
   * Records what a registry entry says.
   *
   * @param isKnown whether requests may have been sent to this incarnation before
   * @param revision the revision of the entry
   * @param maxAgeMillis the age that the entry has at most, in milliseconds, or -1 if not known
   */
  void entryRead(
      Replica replica, boolean isKnown, long revision, long maxAgeMillis, long nowMillis) {
    String source = "revision " + revision;
    told(replica, replica.entry().coldMillis(), isKnown, source, maxAgeMillis, nowMillis);
  }

  private void told(
      Replica replica,
      long leftMillis,
      boolean isKnown,
      String source,
      long maxAgeMillis,
      long nowMillis) {
    if (replicas.told(replica, leftMillis, isKnown, nowMillis)) {
      logCold(replica, source, maxAgeMillis, nowMillis);
      if (isKnown) {
        context.paces().begin(replica, "cold again", nowMillis);
      }
    }
  }

  /** Records what an answer says of its replica, and that there was one. */
  void answered(Replica replica, long leftMillis, long nowMillis) {
    replicas.answered(replica, context.coldStart(replica.entry().service()).millis(), nowMillis);
    told(replica, leftMillis, true, "answer", 0, nowMillis);
  }

  /** Records that a replica broke off or was silent. */
  void failed(Replica replica, long nowMillis) {
    if (limit(replica.entry().service()).isLimiting()
        && !context.replicas().isCurrent(nowMillis)
        && replicas.mayHaveRestarted(replica, nowMillis)) {
      logCold(replica, "failed while the registry cannot be read", 0, nowMillis);
    }
  }

  /** Records that a replica refused a connection. */
  void refused(Replica replica, long nowMillis) {
    if (limit(replica.entry().service()).isLimiting() && replicas.refused(replica, nowMillis)) {
      logCold(replica, "refused a connection", 0, nowMillis);
    }
  }

  private void logCold(Replica replica, String source, long maxAgeMillis, long nowMillis) {
    ColdLimit limit = limit(replica.entry().service());
    context
        .log()
        .event(
            "replica-cold",
            "id",
            replica.entry().incarnation(),
            "source",
            source,
            "maxAgeMs",
            maxAgeMillis,
            "leftMs",
            replica.coldSpell().leftMillis(nowMillis),
            "share",
            replicas.share(limit, replica, nowMillis),
            "aim",
            limit.aim(),
            "bound",
            limit.bound());
  }

  /** Records that the registry has been read, and when what was read was certainly true. */
  void registryRead(long provenMillis, long nowMillis) {
    replicas.registryRead(provenMillis, context.replicas().isCurrent(nowMillis));
  }

  /** Returns the reason if a cold replica may be sent no more requests now. */
  Optional<Exclusion> exclusion(Replica replica, long nowMillis) {
    return replicas.isIdle(nowMillis)
            || replicas.admits(limit(replica.entry().service()), replica, nowMillis)
        ? Optional.empty()
        : Optional.of(Exclusion.COLD);
  }

  /**
   * Returns the number of requests that this instance may send to a replica in a window, or empty
   * if there is no limit.
   */
  OptionalInt share(Replica replica, long nowMillis) {
    ColdLimit limit = limit(replica.entry().service());
    int share = limit.isLimiting() ? replicas.share(limit, replica, nowMillis) : Integer.MAX_VALUE;
    return share == Integer.MAX_VALUE ? OptionalInt.empty() : OptionalInt.of(share);
  }

  /** Records a request that is about to be sent to a replica. */
  ColdSpell.Send begin(Replica replica, long nowMillis) {
    if (replica.coldSpell().isCold(nowMillis)) {
      context.metrics().placedAtCold();
    }
    return replicas.begin(limit(replica.entry().service()), replica, nowMillis);
  }

  /** Returns whether a request that was placed must not be sent, as its replica is cold by now. */
  boolean isExceeded(Replica replica, long nowMillis) {
    return replicas.isExceeded(limit(replica.entry().service()), replica, nowMillis);
  }

  /** Follows the time; called at each tick of the gateway. */
  void tick(long nowMillis) {
    for (Replica replica : replicas.tick(nowMillis)) {
      context
          .log()
          .event(
              "replica-warm",
              "id",
              replica.entry().incarnation(),
              "leaving",
              replica.isLeaving(),
              "sinceMs",
              replica.coldSpell().warmMillis(nowMillis));
    }
  }

  /** Returns the number of replicas whose load is limited. */
  int limitedReplicas() {
    return replicas.limited().size();
  }

  /** Returns the requests that this instance may send to limited replicas in a window. */
  long seats(long nowMillis) {
    return replicas.limited().stream()
        .mapToLong(r -> replicas.share(limit(r.entry().service()), r, nowMillis))
        .sum();
  }

  /** Returns the requests that this instance has sent to limited replicas in the last window. */
  long usedSeats(long nowMillis) {
    return replicas.limited().stream().mapToLong(r -> r.coldSpell().sends(nowMillis)).sum();
  }
}
