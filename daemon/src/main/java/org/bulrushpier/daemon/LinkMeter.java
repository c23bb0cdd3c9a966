package org.bulrushpier.daemon;

import org.bulrushpier.Clock;

/**
 * Measures the rate of imports over a store's link and limits the exports of this entry over it.
 *
 * <p>Exports may use a fraction of the link's rate, divided among the live entries; imports are
 * never limited. Thread-safe.
 */
final class LinkMeter {

  /** The fraction of a link's rate that exports may use. */
  private static final double EXPORT_FRACTION = 0.4;

  private static final double SMOOTHING = 0.3;
  private static final double RECOVERY_FACTOR_PER_SECOND = 1.05;
  private static final double BURST_SECONDS = 1.0;
  private static final long MIN_SAMPLE_BYTES = 32_768;
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final Clock clock;
  private double observedBytesPerSecond = Double.MAX_VALUE;
  private long observedMillis;
  private double availableExportBytes = Double.MAX_VALUE;
  private long refillMillis;

  LinkMeter(Clock clock) {
    this.clock = clock;
    this.refillMillis = clock.millis();
  }

  /** Returns the expected rate of an import, in bytes per second. */
  synchronized long expectedRate(long linkBytesPerSecond) {
    double seconds = (clock.millis() - observedMillis) / MILLIS_PER_SECOND;
    double recovered =
        observedBytesPerSecond * Math.pow(RECOVERY_FACTOR_PER_SECOND, Math.max(0, seconds));
    return (long) Math.max(1, Math.min(linkBytesPerSecond, recovered));
  }

  synchronized void recordImport(long bytes, long elapsedMillis, long linkBytesPerSecond) {
    if (bytes < MIN_SAMPLE_BYTES) {
      return;
    }
    double rate = bytes * MILLIS_PER_SECOND / Math.max(1, elapsedMillis);
    double before = expectedRate(linkBytesPerSecond);
    observedBytesPerSecond = before + SMOOTHING * (rate - before);
    observedMillis = clock.millis();
  }

  /** Takes bytes from the export budget; returns false if it is exhausted. */
  synchronized boolean tryAcquireExport(long bytes, long linkBytesPerSecond, int entries) {
    double rate = expectedRate(linkBytesPerSecond) * EXPORT_FRACTION / Math.max(1, entries);
    long now = clock.millis();
    double seconds = Math.max(0, now - refillMillis) / MILLIS_PER_SECOND;
    refillMillis = now;
    availableExportBytes = Math.min(rate * BURST_SECONDS, availableExportBytes + seconds * rate);
    if (availableExportBytes < Math.min(bytes, rate * BURST_SECONDS)) {
      return false;
    }
    availableExportBytes -= bytes;
    return true;
  }
}
