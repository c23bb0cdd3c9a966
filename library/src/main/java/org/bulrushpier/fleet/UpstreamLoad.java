package org.bulrushpier.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * The requests that one instance has in flight at one upstream, and the copies of runs that it has
 * ordered there.
 *
 * <p>Immutable and thread-safe.
 *
 * @param upstream the id of the upstream
 * @param requests the number of requests
 * @param memoryTokens the tokens that they occupy when they end
 * @param pendingTokens the prompt tokens that await prefill, by priority; the first element belongs
 *     to the most urgent priority, and missing ones are 0
 * @param copyTokens the tokens that the copies occupy when their runs end; 0 if an older sender
 *     does not tell them
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamLoad(
    String upstream, int requests, long memoryTokens, List<Long> pendingTokens, long copyTokens) {

  /** The largest number that is accepted from another instance, which bounds sums. */
  private static final long MAX_VALUE = 1_000_000_000;

  /** Copies the list. */
  public UpstreamLoad {
    pendingTokens = List.copyOf(pendingTokens);
  }

  /** Returns whether all numbers are in a plausible range. */
  boolean isPlausible() {
    return upstream != null
        && isPlausible(requests)
        && isPlausible(memoryTokens)
        && isPlausible(copyTokens)
        && pendingTokens.stream().allMatch(UpstreamLoad::isPlausible);
  }

  private static boolean isPlausible(long value) {
    return value >= 0 && value <= MAX_VALUE;
  }

  /**
   * Returns the prompt tokens that are prefilled before those of a new request.
   *
   * @param priority the priority of the new request, 0 being the most urgent
   * @return the pending tokens of requests that are at least as urgent
   */
  long pendingTokens(int priority) {
    long tokens = 0;
    for (int i = 0; i < pendingTokens.size() && i <= priority; i++) {
      tokens += pendingTokens.get(i);
    }
    return tokens;
  }
}
