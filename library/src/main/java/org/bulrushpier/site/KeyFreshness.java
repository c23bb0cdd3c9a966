package org.bulrushpier.site;

/**
 * How old the proof of the configuration may be for an instance that honours callers' keys.
 *
 * <p>The load it answers: operators take keys away while instances lose their way to the platform's
 * store. An instance without news asks for no new connections first, then honours no key; and it
 * asks for news so often that in calm neither happens.
 *
 * <pre>{@code
 * KeyFreshness.of(5_000).isHonoured(configuration.ageMillis(now));
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 */
public final class KeyFreshness {

  /** The share of the revocation time from which on callers are not owed an answer here. */
  private static final double READY_SHARE = 0.6;

  /** Taken off the time that a key stays valid, in milliseconds, for the way to the replica. */
  private static final long MARGIN_MILLIS = 400;

  /** What the answer to a watch may take in calm, in milliseconds: a slow store's. */
  private static final long ANSWER_MILLIS = 400;

  private final long revocationMillis;

  private KeyFreshness(long revocationMillis) {
    this.revocationMillis = revocationMillis;
  }

  /**
   * Creates the bounds.
   *
   * @param revocationMillis how long after its removal a key may still be honoured
   * @return the bounds
   */
  public static KeyFreshness of(long revocationMillis) {
    return new KeyFreshness(revocationMillis);
  }

  /**
   * Tells whether the instance should be given new connections.
   *
   * @param ageMillis the age of the proof
   * @return true if it is far from honouring no key
   */
  public boolean isReady(long ageMillis) {
    return ageMillis < readyMillis();
  }

  /**
   * Tells whether keys may be honoured.
   *
   * @param ageMillis the age of the proof
   * @return true if no key can have been taken away for longer than allowed
   */
  public boolean isHonoured(long ageMillis) {
    return ageMillis <= revocationMillis - MARGIN_MILLIS;
  }

  /**
   * Returns how long a watch for news may wait. The proof is as old as the sending of the last
   * watch that ended, which is the length of two watches just before the next one ends.
   *
   * @return milliseconds
   */
  public long watchMillis() {
    return (readyMillis() - ANSWER_MILLIS) / 2;
  }

  private long readyMillis() {
    return (long) (revocationMillis * READY_SHARE);
  }
}
