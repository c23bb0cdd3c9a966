package org.bulrushpier.ledger;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * The ledger's answer to a submitted record.
 *
 * <p>All kinds are immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = LedgerAnswer.Accepted.class, name = "a"),
  @JsonSubTypes.Type(value = LedgerAnswer.Repeated.class, name = "r"),
  @JsonSubTypes.Type(value = LedgerAnswer.Pending.class, name = "p"),
  @JsonSubTypes.Type(value = LedgerAnswer.Lost.class, name = "l"),
  @JsonSubTypes.Type(value = LedgerAnswer.KeyReused.class, name = "o"),
  @JsonSubTypes.Type(value = LedgerAnswer.Unavailable.class, name = "u")
})
public sealed interface LedgerAnswer {

  /** The record is in the ledger: a claimed call may be executed, an outcome is stored. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Accepted() implements LedgerAnswer {}

  /**
   * The call with this key was already executed and its outcome is known.
   *
   * @param outcome the outcome of the first call
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Repeated(Outcome outcome) implements LedgerAnswer {}

  /**
   * The key is claimed by another attempt that has not recorded an outcome yet.
   *
   * @param sinceMillis the time at which the key was claimed
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Pending(long sinceMillis) implements LedgerAnswer {}

  /**
   * The call with this key may have been executed, and its outcome will never be known.
   *
   * @param sinceMillis the time at which the key was claimed
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Lost(long sinceMillis) implements LedgerAnswer {}

  /** The key was already used for a request with different content. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record KeyReused() implements LedgerAnswer {}

  /**
   * The platform did not answer in time. A claim may or may not be in the ledger.
   *
   * @param reason the operation that failed
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Unavailable(String reason) implements LedgerAnswer {}
}
