package org.bulrushpier.limit;

/**
 * A token bucket rate limiter with a short burst.
 *
 * <pre>{@code
 * TokenBucket bucket = TokenBucket.of(100, now);
 * if (bucket.hasToken(now)) {
 *   bucket.take();
 *   ...
 * }
 * }</pre>
 *
 * <p>Invariant: in any interval of {@code t} seconds at a constant rate, at most {@code rate * (t +
 * BURST_SECONDS)} tokens are taken, or {@code rate * t + 1} if the burst is less than one token.
 * Not thread-safe; the owner must guard it with its lock.
 */
public final class TokenBucket {

  /** The burst size, in seconds of the rate. */
  static final double BURST_SECONDS = 0.25;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private double ratePerSecond;
  private double tokens;
  private long lastMillis;

  private TokenBucket(double ratePerSecond, long nowMillis) {
    this.ratePerSecond = ratePerSecond;
    this.lastMillis = nowMillis;
    this.tokens = burst();
  }

  /**
   * Creates a full bucket.
   *
   * @param ratePerSecond the tokens per second, positive
   * @param nowMillis the current time
   * @return the bucket
   */
  public static TokenBucket of(double ratePerSecond, long nowMillis) {
    return new TokenBucket(ratePerSecond, nowMillis);
  }

  /**
   * Changes the rate from now on. Tokens in excess of the new burst size are discarded.
   *
   * @param rate the tokens per second, positive
   * @param nowMillis the current time
   */
  public void setRate(double rate, long nowMillis) {
    refill(nowMillis);
    ratePerSecond = rate;
    tokens = Math.min(tokens, burst());
  }

  /**
   * Refills the bucket and returns whether a token is available.
   *
   * @param nowMillis the current time
   * @return true if {@link #take} may be called
   */
  public boolean hasToken(long nowMillis) {
    refill(nowMillis);
    return tokens >= 1;
  }

  /** Takes a token, whose availability {@link #hasToken} must have confirmed. */
  public void take() {
    tokens -= 1;
  }

  /**
   * Returns the time until a token is available.
   *
   * @return the milliseconds, at least 1
   */
  public long waitMillis() {
    return Math.max(1, (long) Math.ceil((1 - tokens) / ratePerSecond * MILLIS_PER_SECOND));
  }

  private double burst() {
    return Math.max(1, ratePerSecond * BURST_SECONDS);
  }

  private void refill(long nowMillis) {
    double seconds = Math.max(0, nowMillis - lastMillis) / MILLIS_PER_SECOND;
    lastMillis = nowMillis;
    tokens = Math.min(burst(), tokens + seconds * ratePerSecond);
  }
}
