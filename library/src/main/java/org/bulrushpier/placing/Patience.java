package org.bulrushpier.placing;

/**
 * How long an upstream may leave a call without any answer before the call goes elsewhere.
 *
 * <p>The load it answers: engines that are busy, not gone. A call that waits its turn at an engine
 * which answers others is better left there, as sending it again doubles the work when there is
 * least room; an engine from which nothing at all is heard is given up sooner.
 *
 * <pre>{@code
 * Patience.of(expectedMillis, goalMillis).isOver(sentMillis, heardMillis, nowMillis);
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 */
public final class Patience {

  /** No call is given up for silence sooner, in milliseconds: a few times a plain call's work. */
  private static final long MIN_MILLIS = 250;

  /** How often the expected time must pass at an upstream from which nothing is heard. */
  private static final int EXPECTED_TIMES = 2;

  /** How much longer calls wait at an upstream that answers others: its answer may be lost. */
  private static final double ALIVE_FACTOR = 1.5;

  private final long millis;

  private Patience(long millis) {
    this.millis = millis;
  }

  /**
   * Creates the patience with one call.
   *
   * @param expectedMillis when its answer is predicted to begin, in milliseconds after the send
   * @param goalMillis when callers expect it, in milliseconds
   * @return the patience
   */
  public static Patience of(long expectedMillis, long goalMillis) {
    return new Patience(
        Math.max(MIN_MILLIS, EXPECTED_TIMES * Math.max(expectedMillis, goalMillis)));
  }

  /**
   * Tells whether the call should go elsewhere.
   *
   * @param sentMillis when it was sent, steady time
   * @param heardMillis when anything was last heard from the upstream, on any call
   * @param nowMillis the steady time
   * @return true if it waited too long
   */
  public boolean isOver(long sentMillis, long heardMillis, long nowMillis) {
    boolean isAlive = nowMillis - heardMillis < millis / EXPECTED_TIMES;
    return nowMillis - sentMillis > (isAlive ? millis * ALIVE_FACTOR : millis);
  }
}
