package org.bulrushpier.routing;

import org.bulrushpier.Upstream;

/**
 * The engine selected for a prompt, and the source of the prompt's cached blocks.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param source the source of the cached blocks
 * @param estimateMillis the estimated time to first token, in milliseconds
 * @param prefillTokens the number of prompt tokens expected to need prefill
 */
public record Route(
    Upstream.Engine engine, Source source, double estimateMillis, long prefillTokens) {

  /** The source of a prompt's cached blocks. */
  public enum Source {
    /** The memory of the engine. */
    ENGINE,
    /** A cache store. */
    STORE,
    /** None: the engine computes the prompt, except for shared blocks that it may already hold. */
    RECOMPUTE
  }
}
