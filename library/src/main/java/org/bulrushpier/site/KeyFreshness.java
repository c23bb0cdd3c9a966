package org.bulrushpier.site;

/**
 * Limits how old the configuration may be for an instance to accept callers' API keys.
 *
 * <p>Operators may revoke keys while an instance cannot reach the platform's store. An instance
 * without updates first stops being ready for new connections and later accepts no keys at all. It
 * checks for updates often enough that neither happens in normal operation.
 *
 * <pre>{@code
 * KeyFreshness.of(5_000).mayAcceptKeys(configuration.ageMillis(now));
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 */
public final class KeyFreshness {

  /**
   * The share of the revocation time after which the instance is no longer ready for new
   * connections, and callers cannot expect it to answer.
   */
  private static final double READY_SHARE = 0.6;

  /**
   * Safety margin deducted from the time for which a key remains valid, in milliseconds. Covers the
   * transfer of a request to the replica.
   */
  private static final long MARGIN_MILLIS = 400;

  /**
   * The time allowed for the response to a watch request in normal operation, in milliseconds: that
   * of a slow store.
   */
  private static final long RESPONSE_MILLIS = 400;

  private final long revocationMillis;

  private KeyFreshness(long revocationMillis) {
    this.revocationMillis = revocationMillis;
  }

  /**
   * Creates the limits.
   *
   * @param revocationMillis how long a key may still be accepted after its revocation, in
   *     milliseconds
   * @return the limits
   */
  public static KeyFreshness of(long revocationMillis) {
    return new KeyFreshness(revocationMillis);
  }

  /**
   * Checks whether the instance is ready for new connections.
   *
   * @param ageMillis the time since the configuration was last confirmed, in milliseconds
   * @return true if the age is well below the limit for accepting keys
   */
  public boolean isReady(long ageMillis) {
    return ageMillis < readyMillis();
  }

  /**
   * Checks whether keys may be accepted.
   *
   * @param ageMillis the time since the configuration was last confirmed, in milliseconds
   * @return true if no key can have been revoked for longer than allowed
   */
  public boolean mayAcceptKeys(long ageMillis) {
    return ageMillis <= revocationMillis - MARGIN_MILLIS;
  }

  /**
   * Returns how long a watch request may wait for updates, in milliseconds. The configuration was
   * last confirmed when the last completed watch request was sent, so its age reaches the duration
   * of two watch requests just before the next one completes.
   */
  public long watchMillis() {
    return (readyMillis() - RESPONSE_MILLIS) / 2;
  }

  private long readyMillis() {
    return (long) (revocationMillis * READY_SHARE);
  }
}
