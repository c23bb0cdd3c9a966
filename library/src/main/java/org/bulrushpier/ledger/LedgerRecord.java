package org.bulrushpier.ledger;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A record of the idempotency ledger.
 *
 * <p>All kinds are immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = LedgerRecord.Claim.class, name = "c"),
  @JsonSubTypes.Type(value = LedgerRecord.Result.class, name = "r"),
  @JsonSubTypes.Type(value = LedgerRecord.Lost.class, name = "l"),
  @JsonSubTypes.Type(value = LedgerRecord.Release.class, name = "x")
})
public sealed interface LedgerRecord {

  /**
   * Returns the hash of the customer and the idempotency key.
   *
   * @return the hash in hexadecimal digits
   */
  String key();

  /**
   * Returns the id of the attempt that wrote the record.
   *
   * @return an id that is unique among all attempts
   */
  String claimId();

  /**
   * The exclusive right to execute a call, written before the first byte is sent upstream.
   *
   * @param key the hash of the customer and the idempotency key
   * @param claimId the id of the attempt
   * @param requestHash the hash of the request, to detect the reuse of a key for another request
   * @param atMillis the time at which the key was claimed
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Claim(String key, String claimId, String requestHash, long atMillis)
      implements LedgerRecord {}

  /**
   * The outcome of a claimed call.
   *
   * @param key the hash of the customer and the idempotency key
   * @param claimId the id of the attempt
   * @param outcome the response
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Result(String key, String claimId, Outcome outcome) implements LedgerRecord {}

  /**
   * Marks a claimed call whose outcome will never be known, so that retries do not wait for it.
   *
   * @param key the hash of the customer and the idempotency key
   * @param claimId the id of the attempt
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Lost(String key, String claimId) implements LedgerRecord {}

  /**
   * Releases a claim whose call was definitely not executed.
   *
   * @param key the hash of the customer and the idempotency key
   * @param claimId the id of the attempt
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Release(String key, String claimId) implements LedgerRecord {}
}
