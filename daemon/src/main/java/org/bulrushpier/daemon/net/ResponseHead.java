package org.bulrushpier.daemon.net;

import org.eclipse.jetty.http.HttpFields;

/**
 * The status line and header of a response. Immutable and thread-safe.
 *
 * @param status the status code
 * @param fields the header fields in their order
 * @param length the declared length of the body in bytes, or -1
 * @param isAttributable whether the response can belong only to the pending request even if it
 *     names none, because no other request was sent on the connection
 */
public record ResponseHead(int status, HttpFields fields, long length, boolean isAttributable) {}
