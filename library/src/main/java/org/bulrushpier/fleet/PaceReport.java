package org.bulrushpier.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What one instance has found about how many requests a replica bears that has just started.
 *
 * <p>Immutable and thread-safe.
 *
 * @param replica the id of the incarnation
 * @param credit the requests by which the instance has changed the window, or {@link #ENDED}
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PaceReport(String replica, int credit) {

  /** States that the replica needs no pace any more. */
  public static final int ENDED = Integer.MAX_VALUE;

  /** The largest change in either direction that is told. */
  public static final int MAX_CREDIT = 10_000;

  /** Returns whether the values are in range. */
  public boolean isPlausible() {
    return replica != null && (credit == ENDED || credit >= -MAX_CREDIT && credit <= MAX_CREDIT);
  }
}
