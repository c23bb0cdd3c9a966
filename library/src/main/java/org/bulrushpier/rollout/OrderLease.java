package org.bulrushpier.rollout;

import java.util.Optional;
import org.bulrushpier.Moment;

/**
 * A lease that permits this instance to order weight changes of one model's engines.
 *
 * <p>The lease is an object in the platform's store that is updated only by conditional writes on
 * its revision. The holder may send orders for a short time, counted from the moment at which it
 * sent its last successful write. Another instance may take the lease once it has seen no change of
 * the object for that time plus the turn time, so that orders of two holders are always at least
 * the turn time apart. The fencing token grows with the revision of the write that acquired the
 * lease; renewals keep it.
 *
 * <pre>{@code
 * if (lease.mayOrder(now)) { ... }
 * }</pre>
 *
 * <p>Invariants: time during which the process is suspended counts as elapsed for the holder, as
 * ages are computed by {@link Moment}; a later acquisition has a larger fencing token.
 *
 * <p>Not thread-safe.
 */
public final class OrderLease {

  /**
   * The term of the lease: how long after sending a write the holder may send orders, in
   * milliseconds.
   */
  public static final long TERM_MILLIS = 800;

  /**
   * The interval after which a holder with pending work renews the lease, in milliseconds. It
   * allows two attempts within a term.
   */
  public static final long RENEW_MILLIS = 300;

  /** Safety margin for the latency of an order and of a change notification, in milliseconds. */
  private static final long MARGIN_MILLIS = 200;

  private final String instance;
  private final long turnMillis;
  private LeaseRecord record;
  private long revision;
  private Moment lastChange;
  private Moment lastWrite;
  private long fence;

  private OrderLease(String instance, long turnMillis) {
    this.instance = instance;
    this.turnMillis = turnMillis;
  }

  /**
   * Creates a lease whose stored state is not known yet.
   *
   * @param instance the name of this instance
   * @param turnMillis the minimum time between the orders of two holders, in milliseconds
   * @return the lease
   */
  public static OrderLease of(String instance, long turnMillis) {
    return new OrderLease(instance, turnMillis);
  }

  /**
   * Records the stored state. An older revision than the last known one is ignored.
   *
   * @param readRecord the stored record
   * @param readRevision the revision of the record
   * @param now the moment at which it was read
   */
  public void recordRead(LeaseRecord readRecord, long readRevision, Moment now) {
    if (readRevision <= revision) {
      return;
    }
    record = readRecord;
    revision = readRevision;
    lastChange = now;
    if (!readRecord.holder().equals(instance)) {
      fence = 0;
      lastWrite = null;
    }
  }

  /**
   * Records a successful write of this instance whose revision is the fencing token.
   *
   * @param record the record that was written
   * @param newRevision the revision of the write
   * @param sentAt the moment at which the write was sent
   */
  public void recordWrite(LeaseRecord record, long newRevision, Moment sentAt) {
    recordWrite(record, newRevision, newRevision, sentAt);
  }

  /**
   * Records a successful write of this instance.
   *
   * @param record the record that was written
   * @param newRevision the revision of the write
   * @param token the fencing token, if the write acquired the lease
   * @param sentAt the moment at which the write was sent
   */
  public void recordWrite(LeaseRecord record, long newRevision, long token, Moment sentAt) {
    if (newRevision < revision) {
      return;
    }
    if (fence == 0) {
      fence = token;
    }
    this.record = record;
    revision = newRevision;
    lastChange = sentAt;
    lastWrite = sentAt;
    if (record.isReleased()) {
      fence = 0;
      lastWrite = null;
    }
  }

  /**
   * Records that the store came back from a copy. The lease is no longer held, and what was stored
   * counts as written by another holder that may order until its term is over.
   *
   * @param now the moment at which this was noticed
   */
  public void storeRestored(Moment now) {
    record = LeaseRecord.UNKNOWN;
    revision = 0;
    lastChange = now;
    lastWrite = null;
    fence = 0;
  }

  /**
   * Records that a write was rejected because the object had changed. The lease is no longer held.
   */
  public void recordConflict() {
    fence = 0;
    lastWrite = null;
  }

  /**
   * Checks whether an order may be sent.
   *
   * @param now the moment at which the order would be sent
   * @return true within the term, less the safety margin
   */
  public boolean mayOrder(Moment now) {
    return fence > 0 && lastWrite != null && lastWrite.ageMillis(now) < TERM_MILLIS - MARGIN_MILLIS;
  }

  /**
   * Checks whether this instance may try to take the lease.
   *
   * @param now the current moment
   * @return true if every order of another holder is certainly at least the turn time old
   */
  public boolean mayTake(Moment now) {
    if (record == null || record.holder().equals(instance)) {
      return true;
    }
    long wait = turnMillis + MARGIN_MILLIS + (record.isReleased() ? 0 : TERM_MILLIS);
    return lastChange.ageMillis(now) >= wait;
  }

  /**
   * Checks whether a holder with pending work should renew the lease.
   *
   * @param now the current moment
   * @return true after the renewal interval
   */
  public boolean isRenewalDue(Moment now) {
    return lastWrite == null || lastWrite.ageMillis(now) >= RENEW_MILLIS;
  }

  /**
   * Checks whether this instance holds the lease, although its term may have expired.
   *
   * @return true after a successful write that no write of another holder has followed
   */
  public boolean isHeld() {
    return fence > 0;
  }

  /** Returns the fencing token of this instance, or 0 if the lease is not held. */
  public long fence() {
    return fence;
  }

  /** Returns the last known revision of the stored object, or 0 if none is known. */
  public long revision() {
    return revision;
  }

  /** Returns the last known record, or empty if none is known. */
  public Optional<LeaseRecord> record() {
    return Optional.ofNullable(record);
  }
}
