package org.bulrushpier.call;

import java.util.Optional;

/**
 * A caller's request as far as decisions need it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the identity of this attempt, which upstreams echo
 * @param method the HTTP method
 * @param host the host that the caller names, without a port
 * @param path the path without its query
 * @param key the caller's key, or empty
 * @param waitMillis how long the caller will wait, in milliseconds
 * @param resumesAfter the event after which a stream goes on, or -1
 * @param prompt what it asks of an engine, or empty for a plain service
 */
public record CallerRequest(
    String id,
    String method,
    String host,
    String path,
    String key,
    long waitMillis,
    long resumesAfter,
    Optional<PromptShape> prompt) {}
