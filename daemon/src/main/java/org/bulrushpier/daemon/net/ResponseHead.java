package org.bulrushpier.daemon.net;

import org.eclipse.jetty.http.HttpFields;

/**
 * The status line and header of a response. Immutable and thread-safe.
 *
 * @param status the status code
 * @param fields the header fields in their order
 * @param length the declared length of the body in bytes, or -1
 */
public record ResponseHead(int status, HttpFields fields, long length) {}
