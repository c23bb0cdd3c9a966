package org.bulrushpier.replica;

/**
 * A reason for which a replica gets no request now. Immutable and thread-safe.
 *
 * <p>Reasons of the replica itself are found by {@link Replica#exclusion}; the others depend on the
 * request or on the operators.
 */
public enum Exclusion {
  /** The replica is leaving or gone. */
  LEAVING("leaving"),
  /** Its region is none in which the request may run. */
  OUTSIDE_HOMES("outside the allowed regions"),
  /** Operators asked that nothing be sent to its failure domain. */
  EVACUATED("in an evacuated failure domain"),
  /** The replica said that it wants no requests for some time. */
  DEFERRED("wanting no requests"),
  /** The replica is changing its weights, or refused a request just now. */
  PAUSED("paused"),
  /** The replica failed several requests in a row. */
  BREAKER_OPEN("failing"),
  /** The replica is cold, and this instance may send it no more requests for now. */
  COLD("cold"),
  /**
   * The replica has just started or recovered, and has as many requests as it is known to bear. It
   * gets more only if no other one can take them.
   */
  STARTING("just started");

  private final String description;

  Exclusion(String description) {
    this.description = description;
  }

  /** Returns whether the reason does not pass by itself while a caller waits. */
  public boolean isLasting() {
    return switch (this) {
      case LEAVING, OUTSIDE_HOMES, EVACUATED -> true;
      case DEFERRED, PAUSED, BREAKER_OPEN, COLD, STARTING -> false;
    };
  }

  /**
   * Returns whether a request that was placed at the replica before, and is not yet sent, must not
   * be sent to it any more. It stays with replicas that are paused or fail: no other one may be
   * free.
   */
  public boolean isWithdrawal() {
    return switch (this) {
      case LEAVING, OUTSIDE_HOMES, EVACUATED, DEFERRED -> true;
      case PAUSED, BREAKER_OPEN, COLD, STARTING -> false;
    };
  }

  /** Returns how the replica is described in reasons of refusals. */
  public String description() {
    return description;
  }
}
