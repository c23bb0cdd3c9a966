package org.bulrushpier.routing;

import org.bulrushpier.Deployment;
import org.bulrushpier.cache.PrefixChain;
import org.bulrushpier.cache.StoreLookup;

/**
 * A prompt to be routed. Immutable and thread-safe.
 *
 * @param deployment the deployment
 * @param chain the blocks of the prompt
 * @param sharedBlocks the number of leading blocks common to the customer's conversations, assumed
 *     to be resident at the engines that serve the customer
 * @param lastEngine the engine to which this instance last sent the conversation, or empty
 * @param lastBlocks the number of blocks that the engine held then
 * @param sinceLastMillis the time since then, in milliseconds
 * @param stored the blocks that the store holds
 * @param linkBytesPerSecond the available rate of the store's link, in bytes per second
 */
public record RoutingRequest(
    Deployment deployment,
    PrefixChain chain,
    int sharedBlocks,
    String lastEngine,
    int lastBlocks,
    long sinceLastMillis,
    StoreLookup stored,
    long linkBytesPerSecond) {}
