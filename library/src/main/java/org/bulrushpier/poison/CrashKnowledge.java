package org.bulrushpier.poison;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What an instance tells others about crashes and prompt parts. Times are given as ages, as the
 * instances have no clock in common.
 *
 * <p>Immutable and thread-safe.
 *
 * @param crashes crashes of replicas
 * @param sound when the parts of these crashes and those that are or were suspect were last in a
 *     sound answer
 * @param suspects the parts that are taken to crash engines
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CrashKnowledge(
    List<ReportedCrash> crashes, List<SoundPart> sound, List<SuspectPart> suspects) {

  /** No knowledge. */
  public static final CrashKnowledge NONE = new CrashKnowledge(List.of(), List.of(), List.of());

  private static final int MAX_ID_CHARACTERS = 128;
  private static final long MAX_MILLIS = 1_000_000_000;

  /** Copies the lists. */
  public CrashKnowledge {
    crashes = List.copyOf(crashes);
    sound = List.copyOf(sound);
    suspects = List.copyOf(suspects);
  }

  /**
   * A crash. Immutable and thread-safe.
   *
   * @param replica the id of the incarnation that ended
   * @param ageMillis the time since then, in milliseconds
   * @param parts the shared prompt parts of the requests that broke off with it
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record ReportedCrash(String replica, long ageMillis, List<String> parts) {

    /** Copies the list. */
    public ReportedCrash {
      parts = List.copyOf(parts);
    }

    private boolean isPlausible() {
      return isId(replica) && isAge(ageMillis) && parts.stream().allMatch(CrashKnowledge::isId);
    }
  }

  /**
   * The last sound answer with a part. Immutable and thread-safe.
   *
   * @param part the id of the part
   * @param ageMillis the time since the end of the answer, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record SoundPart(String part, long ageMillis) {
    private boolean isPlausible() {
      return isId(part) && isAge(ageMillis);
    }
  }

  /**
   * A part that is taken to crash engines. Immutable and thread-safe.
   *
   * @param part the id of the part
   * @param ageMillis the time for which it has been suspect, in milliseconds
   * @param remainingMillis the time until it may be tried again, in milliseconds, which is negative
   *     afterwards
   * @param trials the number of trials that ended with a crash
   * @param trialAgeMillis the time since the last trial began, in milliseconds, or -1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record SuspectPart(
      String part, long ageMillis, long remainingMillis, int trials, long trialAgeMillis) {
    private boolean isPlausible() {
      return isId(part)
          && isAge(ageMillis)
          && Math.abs(remainingMillis) <= MAX_MILLIS
          && trials >= 0
          && trialAgeMillis >= -1
          && trialAgeMillis <= MAX_MILLIS;
    }
  }

  /** Returns whether there is nothing to tell. */
  public boolean isEmpty() {
    return crashes.isEmpty() && sound.isEmpty() && suspects.isEmpty();
  }

  /** Returns whether all ids and ages are in range. */
  public boolean isPlausible() {
    return crashes.stream().allMatch(ReportedCrash::isPlausible)
        && sound.stream().allMatch(SoundPart::isPlausible)
        && suspects.stream().allMatch(SuspectPart::isPlausible);
  }

  private static boolean isId(String id) {
    return id != null && !id.isEmpty() && id.length() <= MAX_ID_CHARACTERS;
  }

  private static boolean isAge(long millis) {
    return millis >= 0 && millis <= MAX_MILLIS;
  }
}
