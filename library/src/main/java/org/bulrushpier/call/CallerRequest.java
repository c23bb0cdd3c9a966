package org.bulrushpier.call;

import java.util.Optional;

/**
 * The attributes of a caller's request that routing decisions depend on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of this attempt, which upstreams echo
 * @param method the HTTP method
 * @param host the host named by the caller, without a port
 * @param path the path without the query
 * @param key the caller's API key, or empty
 * @param waitMillis how long the caller is prepared to wait, in milliseconds
 * @param lastEventId the event after which a stream resumes, or -1
 * @param prompt the prompt of a generation, or empty for a plain service
 */
public record CallerRequest(
    String id,
    String method,
    String host,
    String path,
    String key,
    long waitMillis,
    long lastEventId,
    Optional<PromptShape> prompt) {}
