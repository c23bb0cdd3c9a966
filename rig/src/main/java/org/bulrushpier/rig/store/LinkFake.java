package org.bulrushpier.rig.store;

import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.rig.Faults;

/**
 * Simulated link of limited bandwidth, on which transfers are serialized.
 *
 * <p>Thread-safe.
 */
public final class LinkFake {

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final AtomicLong transferredBytes = new AtomicLong();
  private final long bytesPerSecond;
  private double idleFromMillis;

  /**
   * Creates an idle link.
   *
   * @param bytesPerSecond the bandwidth
   */
  public LinkFake(long bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
  }

  /**
   * Blocks until a transfer is complete.
   *
   * @param size the number of bytes
   * @param slowdown the factor by which the transfer is slowed down; 0 or 1 for the full bandwidth
   */
  public void transfer(long size, long slowdown) {
    transferredBytes.addAndGet(size);
    double waitMillis;
    synchronized (this) {
      double now = System.nanoTime() / 1e6;
      double transferMillis = size * MILLIS_PER_SECOND * Math.max(1, slowdown) / bytesPerSecond;
      idleFromMillis = Math.max(now, idleFromMillis) + transferMillis;
      waitMillis = idleFromMillis - now;
    }
    Faults.sleep(Math.round(waitMillis));
  }

  /**
   * Returns the total of all transfers, including those in progress.
   *
   * @return the number of bytes since the link was created
   */
  public long transferredBytes() {
    return transferredBytes.get();
  }
}
