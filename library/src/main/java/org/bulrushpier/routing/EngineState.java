package org.bulrushpier.routing;

import org.bulrushpier.Upstream;

/**
 * The state of an engine as known to an instance when it selects a route.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param isUsable false if the engine is leaving, is failing or serves another weight version
 * @param isLocal whether the engine is in the failure domain of the instance
 * @param backlogTokens the number of prompt tokens waiting for prefill, according to the last
 *     report and the requests sent since then
 * @param running the number of streams that generate tokens
 * @param isWarm whether the engine served the customer within the survival time, so that it is
 *     expected to hold the blocks shared by the customer's conversations
 * @param survivalMillis how long an unused block stays in the engine's memory, as learned from
 *     responses, in milliseconds
 */
public record EngineState(
    Upstream.Engine engine,
    boolean isUsable,
    boolean isLocal,
    long backlogTokens,
    int running,
    boolean isWarm,
    long survivalMillis) {}
