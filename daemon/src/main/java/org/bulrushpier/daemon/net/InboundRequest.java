package org.bulrushpier.daemon.net;

import org.eclipse.jetty.http.HttpFields;

/**
 * A whole request as it was read from a caller.
 *
 * <p>Immutable by convention: the body's array is not copied and must not be changed.
 *
 * @param method the method
 * @param target path and query, unchanged
 * @param fields the header fields in their order
 * @param body the body without its transfer coding
 */
public record InboundRequest(String method, String target, HttpFields fields, byte[] body) {}
