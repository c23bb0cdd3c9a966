package org.bulrushpier.placing;

import java.util.List;

/**
 * Describes how the cached parts of a prompt reach the memory of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param residentTokens tokens expected to be resident in the engine already
 * @param fetchedTokens tokens to fetch from cache stores
 * @param prefillTokens tokens for which the engine has to run prefill
 * @param sharedPrefillTokens prefill tokens that belong to parts shared with other prompts
 * @param transferMillis the estimated duration of all fetches, in milliseconds
 * @param sources for each part the address to fetch it from, or {@link #NONE}
 * @param targets for each part the address of the store to save it in, or {@link #NONE}
 */
public record CachePlan(
    int residentTokens,
    int fetchedTokens,
    int prefillTokens,
    int sharedPrefillTokens,
    double transferMillis,
    List<String> sources,
    List<String> targets) {

  /** Placeholder for a part without an address. */
  public static final String NONE = "-";

  /** Copies the lists. */
  public CachePlan {
    sources = List.copyOf(sources);
    targets = List.copyOf(targets);
  }

  /** The plan of a request without a prompt. */
  public static final CachePlan EMPTY = new CachePlan(0, 0, 0, 0, 0, List.of(), List.of());

  /**
   * Returns a copy of this plan that also saves parts.
   *
   * @param newTargets for each part the address of the store to save it in, or {@link #NONE}
   * @return the new plan
   */
  public CachePlan withTargets(List<String> newTargets) {
    return new CachePlan(
        residentTokens,
        fetchedTokens,
        prefillTokens,
        sharedPrefillTokens,
        transferMillis,
        sources,
        newTargets);
  }
}
