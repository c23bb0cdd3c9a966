package org.bulrushpier.placing;

import java.util.List;

/**
 * How the parts of a prompt get into an engine's memory.
 *
 * <p>Immutable and thread-safe.
 *
 * @param keptTokens tokens that are there already
 * @param fetchedTokens tokens that are fetched from a store or another engine
 * @param readTokens tokens that the engine has to read
 * @param sharedReadTokens those among them that belong to parts which other prompts share
 * @param transferMillis how long the fetches take
 * @param sources an address for each part, or "-"
 * @param targets a store's address for each part, or "-"
 */
public record CachePlan(
    int keptTokens,
    int fetchedTokens,
    int readTokens,
    int sharedReadTokens,
    double transferMillis,
    List<String> sources,
    List<String> targets) {

  /** Stands for no address. */
  public static final String NONE = "-";

  /** Copies the lists. */
  public CachePlan {
    sources = List.copyOf(sources);
    targets = List.copyOf(targets);
  }

  /** The plan of a call without a prompt. */
  public static final CachePlan EMPTY = new CachePlan(0, 0, 0, 0, 0, List.of(), List.of());

  /**
   * Returns a plan that saves parts as well.
   *
   * @param newTargets a store's address for each part, or {@link #NONE}
   * @return the plan
   */
  public CachePlan withTargets(List<String> newTargets) {
    return new CachePlan(
        keptTokens,
        fetchedTokens,
        readTokens,
        sharedReadTokens,
        transferMillis,
        sources,
        newTargets);
  }
}
