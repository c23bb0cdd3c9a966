package org.bulrushpier.daemon.net;

import org.eclipse.jetty.http.HttpFields;

/**
 * The head of an answer. Immutable and thread-safe.
 *
 * @param status the status
 * @param fields the header fields in their order
 * @param length the declared length of the body in bytes, or -1
 */
public record AnswerHead(int status, HttpFields fields, long length) {}
