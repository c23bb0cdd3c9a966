package org.bulrushpier.timeline;

import org.bulrushpier.Clock;

/**
 * A hybrid logical clock, whose timestamps follow the host's clock and respect causality.
 *
 * <pre>{@code
 * long sent = clock.tick();
 * other.observe(sent); // every later timestamp of the other process is larger
 * }</pre>
 *
 * <p>A timestamp consists of milliseconds in the upper 48 bits and a counter in the lower 16 bits.
 * Invariant: the timestamps of a clock are strictly increasing. Thread-safe.
 */
public final class HybridClock {

  private static final int COUNTER_BITS = 16;

  private final Clock clock;
  private long last;

  private HybridClock(Clock clock) {
    this.clock = clock;
  }

  /**
   * Creates a hybrid clock.
   *
   * @param clock the host's clock
   * @return the hybrid clock
   */
  public static HybridClock of(Clock clock) {
    return new HybridClock(clock);
  }

  /**
   * Returns the physical part of a timestamp.
   *
   * @param stamp the timestamp
   * @return milliseconds since the Unix epoch
   */
  public static long millis(long stamp) {
    return stamp >>> COUNTER_BITS;
  }

  /**
   * Returns the timestamp of a new event in this process.
   *
   * @return a timestamp that is larger than all earlier and observed ones
   */
  public synchronized long tick() {
    last = Math.max(last + 1, clock.millis() << COUNTER_BITS);
    return last;
  }

  /**
   * Advances the clock to the timestamp of a received message.
   *
   * @param stamp the timestamp of the sender
   */
  public synchronized void observe(long stamp) {
    last = Math.max(last, stamp);
  }
}
