package org.bulrushpier.routing;

/**
 * A load report published by an engine. The values are delayed. Immutable and thread-safe.
 *
 * @param weightVersion the weight version that the engine serves to new requests
 * @param isLeaving whether the engine takes no new requests
 * @param backlogTokens the number of prompt tokens waiting for prefill
 * @param running the number of streams that generate tokens
 */
public record EngineLoad(
    String weightVersion, boolean isLeaving, long backlogTokens, int running) {}
