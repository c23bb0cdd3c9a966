package org.bulrushpier.rollout;

import org.bulrushpier.Moment;

/**
 * The preference of a generation for engines with new weights during a rollout.
 *
 * <p>At the start of a rollout few engines have the new weights, and requests that crowd onto them
 * would wait longer than the use of outdated weights costs. The preference grows with the time
 * since the version was requested, until outdated weights are not used at all.
 *
 * <p>Immutable and thread-safe.
 */
public final class WeightPreference {

  /** The grace period during which outdated weights cost nothing, in milliseconds. */
  private static final long GRACE_MILLIS = 1_300;

  /** The cost of outdated weights at the end of the grace period, in milliseconds of waiting. */
  private static final double OUTDATED_COST_MILLIS = 150;

  /** The increase of the cost, in milliseconds, with each further millisecond. */
  private static final double COST_GROWTH = 0.05;

  /**
   * How long outdated weights are used after a version was first seen, in milliseconds, if it may
   * have been requested long before. Without it, all engines would be excluded at once.
   */
  private static final long UNDATED_GRACE_MILLIS = 1_500;

  /** How long before the end of the allowed time outdated weights are excluded, in milliseconds. */
  private static final long MARGIN_MILLIS = 700;

  /**
   * How long before the end of the allowed time a generation that has not started on outdated
   * weights is cancelled, in milliseconds: the way of the cancellation to the engine.
   */
  private static final long RECALL_MARGIN_MILLIS = 150;

  private final TargetWeights.TargetVersion target;
  private final Moment now;
  private final long limitMillis;

  private WeightPreference(TargetWeights.TargetVersion target, Moment now, long limitMillis) {
    this.target = target;
    this.now = now;
    this.limitMillis = limitMillis;
  }

  /**
   * Creates the preference that applies at a moment.
   *
   * @param target the newest requested version
   * @param now the moment
   * @param changeMillis the time within which a requested version must be in place, in milliseconds
   * @return the preference
   */
  public static WeightPreference of(
      TargetWeights.TargetVersion target, Moment now, long changeMillis) {
    return new WeightPreference(target, now, changeMillis - MARGIN_MILLIS);
  }

  /**
   * Checks whether an engine may be used.
   *
   * @param served the version that the engine serves
   * @param expectedMillis the predicted time until the generation starts there, in milliseconds
   * @return true if the version is recent enough, or if the generation starts in time
   */
  public boolean allows(int served, double expectedMillis) {
    return served >= target.version() || outdatedMillis(served) + 2 * expectedMillis < limitMillis;
  }

  /**
   * Checks whether a generation that waits at an engine must no longer start there.
   *
   * @param served the version that the engine serves
   * @return true shortly before the end of the time allowed for a change
   */
  public boolean isExpired(int served) {
    return outdatedMillis(served) >= limitMillis + MARGIN_MILLIS - RECALL_MARGIN_MILLIS;
  }

  /**
   * Returns the cost of using an engine with a given version.
   *
   * @param served the version that the engine serves
   * @return the cost, in milliseconds of waiting
   */
  public double penaltyMillis(int served) {
    if (served >= target.version()) {
      return 0;
    }
    long outdated = outdatedMillis(served);
    return outdated < GRACE_MILLIS
        ? 0
        : OUTDATED_COST_MILLIS + COST_GROWTH * (outdated - GRACE_MILLIS);
  }

  /**
   * Returns how long an engine's weights have been outdated. If it is not known when their
   * successor was requested, they are outdated soon after it was seen.
   *
   * @param served the version that the engine serves
   * @return the time in milliseconds, or 0 if no newer version was requested
   */
  public long outdatedMillis(int served) {
    if (served >= target.version()) {
      return 0;
    }
    RequestInterval requested = target.outdatedBy(served);
    long sinceSeen =
        requested.notAfter().ageMillis(now) + Math.max(0, limitMillis - UNDATED_GRACE_MILLIS);
    return Math.min(requested.notBefore().ageMillis(now), sinceSeen);
  }
}
