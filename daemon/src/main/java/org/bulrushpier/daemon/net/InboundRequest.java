package org.bulrushpier.daemon.net;

import org.eclipse.jetty.http.HttpFields;

/**
 * A complete request as it was read from a caller.
 *
 * <p>Immutable by convention: the body's array is not copied and must not be changed.
 *
 * @param method the method
 * @param target path and query, unchanged
 * @param fields the header fields in their order
 * @param body the body with its transfer coding removed
 */
public record InboundRequest(String method, String target, HttpFields fields, byte[] body) {}
