package org.bulrushpier.poison;

/** Whether a request may be sent, judged by the parts of its prompt. */
public sealed interface PartAdmission {

  /** No part is suspect. */
  record Admitted() implements PartAdmission {}

  /**
   * A part is suspect, and this request is to show whether it still crashes engines. It must be
   * sent to one engine only. Immutable and thread-safe.
   *
   * @param part the id of the part
   */
  record Trial(String part) implements PartAdmission {}

  /**
   * A part is suspect. Immutable and thread-safe.
   *
   * @param part the id of the part
   * @param retryAfterMillis the time after which it may be tried again, in milliseconds
   */
  record Barred(String part, long retryAfterMillis) implements PartAdmission {

    /** Returns the reason for a refusal. */
    public String reason() {
      return "prompt part " + part + " crashes engines";
    }
  }
}
