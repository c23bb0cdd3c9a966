package org.bulrushpier.rollout;

import java.util.Optional;
import org.bulrushpier.Moment;

/**
 * Decides whether this instance may give orders about one model's engines.
 *
 * <p>The lease is an object in the platform's store that is changed only under its revision. Its
 * holder may give orders for a short time after the sending of its last successful write. Others
 * take over when they have not seen the object change for that time and the turn time together, so
 * that two holders' orders are always at least the turn time apart. The revision of the write that
 * began a tenure is its fencing number.
 *
 * <pre>{@code
 * if (lease.mayOrder(now)) { ... }
 * }</pre>
 *
 * <p>Invariants: a suspension counts against the holder, as ages are those of {@link Moment}; a
 * later tenure has a larger fencing number. Not thread-safe.
 */
public final class OrderLease {

  /** How long orders may be given after a write was sent, in milliseconds. */
  public static final long TENURE_MILLIS = 800;

  /** After this long a holder with work writes again, in milliseconds: two tries in a tenure. */
  public static final long RENEW_MILLIS = 300;

  /** Allowance for the way of an order and of a change notice, in milliseconds. */
  private static final long MARGIN_MILLIS = 200;

  private final String self;
  private final long turnMillis;
  private LeaseRecord record;
  private long revision;
  private Moment seen;
  private Moment written;
  private long fence;

  private OrderLease(String self, long turnMillis) {
    this.self = self;
    this.turnMillis = turnMillis;
  }

  /**
   * Creates a lease of which nothing is known.
   *
   * @param self this instance's name
   * @param turnMillis how far apart two holders' orders must be
   * @return the lease
   */
  public static OrderLease of(String self, long turnMillis) {
    return new OrderLease(self, turnMillis);
  }

  /**
   * Takes note of the stored object.
   *
   * @param read the object
   * @param readRevision its revision
   * @param now when it was read
   */
  public void observed(LeaseRecord read, long readRevision, Moment now) {
    if (readRevision <= revision) {
      return;
    }
    record = read;
    revision = readRevision;
    seen = now;
    if (!read.holder().equals(self)) {
      fence = 0;
      written = null;
    }
  }

  /**
   * Takes note of this instance's own successful write.
   *
   * @param record what was written
   * @param newRevision its revision
   * @param sent when the write was sent
   */
  public void wrote(LeaseRecord record, long newRevision, Moment sent) {
    if (newRevision < revision) {
      return;
    }
    if (fence == 0) {
      fence = newRevision;
    }
    this.record = record;
    revision = newRevision;
    seen = sent;
    written = sent;
    if (record.isReleased()) {
      fence = 0;
      written = null;
    }
  }

  /** Takes note that a write was refused, as the object had changed: the tenure is over. */
  public void lost() {
    fence = 0;
    written = null;
  }

  /**
   * Tells whether an order may be given now.
   *
   * @param now the moment at which it would be sent
   * @return true within the tenure
   */
  public boolean mayOrder(Moment now) {
    return fence > 0 && written != null && written.ageMillis(now) < TENURE_MILLIS - MARGIN_MILLIS;
  }

  /**
   * Tells whether this instance should try to take the lease.
   *
   * @param now the current moment
   * @return true if nobody's orders can still be under way
   */
  public boolean mayTake(Moment now) {
    if (record == null || record.holder().equals(self)) {
      return true;
    }
    long wait = turnMillis + MARGIN_MILLIS + (record.isReleased() ? 0 : TENURE_MILLIS);
    return seen.ageMillis(now) >= wait;
  }

  /**
   * Tells whether a holder with work should write again.
   *
   * @param now the current moment
   * @return true after the renewal time
   */
  public boolean isRenewalDue(Moment now) {
    return written == null || written.ageMillis(now) >= RENEW_MILLIS;
  }

  /**
   * Tells whether this instance has a tenure, though it may have run out.
   *
   * @return true after a successful write that no other has followed
   */
  public boolean isHeld() {
    return fence > 0;
  }

  /**
   * Returns the fencing number of the tenure.
   *
   * @return the number, or 0 without a tenure
   */
  public long fence() {
    return fence;
  }

  /**
   * Returns the object's last known revision.
   *
   * @return the revision, or 0 if none exists
   */
  public long revision() {
    return revision;
  }

  /**
   * Returns the object as last seen.
   *
   * @return the record, or empty if none exists
   */
  public Optional<LeaseRecord> record() {
    return Optional.ofNullable(record);
  }
}
