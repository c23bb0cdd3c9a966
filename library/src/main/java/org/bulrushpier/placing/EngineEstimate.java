package org.bulrushpier.placing;

import org.bulrushpier.replica.Replica;

/**
 * An engine with the predictions for one request.
 *
 * <p>Immutable and thread-safe, except for the engine.
 *
 * @param engine the engine
 * @param plan how the cached parts of the prompt reach the engine
 * @param version the version of the weights that the engine serves, or 0
 * @param isVersionAllowed whether the request may run on these weights
 * @param waitMillis the predicted wait before the request's own prefill, in milliseconds
 * @param ownMillis the predicted time to the first token after that wait, in milliseconds
 * @param faultMillis the cost of failures and overdue requests, in milliseconds
 * @param cost the cost by which engines are compared, in milliseconds: the predicted time to the
 *     first token, and what speaks against the engine besides
 */
public record EngineEstimate(
    Replica engine,
    CachePlan plan,
    int version,
    boolean isVersionAllowed,
    double waitMillis,
    double ownMillis,
    double faultMillis,
    double cost) {

  /** Returns the predicted time to the first token with the cost of failures, in milliseconds. */
  public double totalMillis() {
    return waitMillis + ownMillis + faultMillis;
  }
}
