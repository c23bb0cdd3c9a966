package org.bulrushpier;

/**
 * A source of the current time in milliseconds since the Unix epoch.
 *
 * <p>Decisions in the library read the current time through this type, so that tests can substitute
 * their own clock:
 *
 * <pre>{@code
 * long now = Clock.system().millis();
 * }</pre>
 *
 * <p>Implementations are thread-safe. The time may step back when the host's clock is corrected, so
 * code that measures intervals must tolerate negative differences.
 */
@FunctionalInterface
public interface Clock {

  /**
   * Returns a clock that reads the system time of the host.
   *
   * @return the system clock, never null
   */
  static Clock system() {
    return System::currentTimeMillis;
  }

  /**
   * Returns the current time.
   *
   * @return milliseconds since the Unix epoch
   */
  long millis();
}
