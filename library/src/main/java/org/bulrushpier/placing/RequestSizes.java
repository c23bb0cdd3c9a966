package org.bulrushpier.placing;

import java.util.Collection;
import org.bulrushpier.replica.Replica;

/**
 * Estimates the size of other instances' requests, of which engines report only the number.
 *
 * <p>All instances of a site receive the same mix of requests, so the means of this instance's own
 * requests are used. Long requests stay longer: the mean memory is that of the requests in flight
 * and not that of the arrivals.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class RequestSizes {

  /** The values assumed before the first sample, in tokens. */
  private static final double INITIAL_TOKENS = 1_500;

  /** The weight of a new sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.03;

  private double memoryTokens = INITIAL_TOKENS;
  private double prefillTokens = INITIAL_TOKENS;

  /**
   * Samples the requests that this instance has in flight.
   *
   * @param engines the engines of the service
   */
  void sampleInFlight(Collection<Replica> engines) {
    long tokens = 0;
    int requests = 0;
    for (Replica engine : engines) {
      tokens += engine.reservedTokens();
      requests += engine.ownRequests();
    }
    if (requests > 0) {
      memoryTokens += SAMPLE_WEIGHT * (tokens / (double) requests - memoryTokens);
    }
  }

  /**
   * Samples a request that is being placed.
   *
   * @param tokens the tokens that its engine has to prefill
   */
  void samplePrefill(int tokens) {
    prefillTokens += SAMPLE_WEIGHT * (tokens - prefillTokens);
  }

  /** Returns the mean memory that a request in flight occupies, in tokens. */
  public double memoryTokens() {
    return memoryTokens;
  }

  /** Returns the mean prefill of a request, in tokens. */
  public double prefillTokens() {
    return prefillTokens;
  }
}
