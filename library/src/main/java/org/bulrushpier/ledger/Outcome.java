package org.bulrushpier.ledger;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The recorded response to a call with an idempotency key.
 *
 * <p>Immutable and thread-safe, provided that the bytes of the body are not modified.
 *
 * @param status the HTTP status
 * @param contentType the content type, or empty
 * @param body the body, which must not be modified
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Outcome(int status, String contentType, byte[] body) {}
