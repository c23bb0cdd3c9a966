package org.bulrushpier.rig.load;

/**
 * Rounds results for reports.
 *
 * <p>Stateless and thread-safe.
 */
final class Rounded {

  private static final double THOUSANDTHS = 1_000.0;

  private Rounded() {}

  /** Rounds to three decimal places. */
  static double of(double value) {
    return Math.round(value * THOUSANDTHS) / THOUSANDTHS;
  }
}
