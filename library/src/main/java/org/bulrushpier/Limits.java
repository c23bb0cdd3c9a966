package org.bulrushpier;

/**
 * The limits of a node of the settings tree, which is a team or a customer.
 *
 * <p>The rate and concurrency limits of a child never exceed those of its parent. Immutable and
 * thread-safe.
 *
 * @param requestsPerSecond the maximum request rate across all entries, at least 1
 * @param maxInFlight the maximum number of requests in flight across all entries, at least 1
 * @param maxQueued the maximum number of queued requests at a single entry, at least 0
 */
public record Limits(long requestsPerSecond, long maxInFlight, long maxQueued) {}
