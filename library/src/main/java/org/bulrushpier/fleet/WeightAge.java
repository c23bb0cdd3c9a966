package org.bulrushpier.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * How long ago a weight version was requested, as far as an instance can tell.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the name of the model
 * @param version the version
 * @param maxMillis the time for which it has been requested at most, in milliseconds
 * @param minMillis the time for which it has been requested at least, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WeightAge(String model, int version, long maxMillis, long minMillis) {

  /** The largest age that is told, in milliseconds; it stands for all larger ones. */
  public static final long MAX_MILLIS = 1_000_000_000;

  /**
   * Returns whether the values can be those of a requested version.
   *
   * @return true if there is a model and a version, and the ages are in range
   */
  public boolean isPlausible() {
    return model != null
        && version > 0
        && minMillis >= 0
        && minMillis <= maxMillis
        && maxMillis <= MAX_MILLIS;
  }
}
