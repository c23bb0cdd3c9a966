package org.bulrushpier.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Infers which prompt parts crash engines from crashes and sound answers.
 *
 * <p>A crash takes many requests with it, and each of their parts may be its cause. A part under
 * which an answer ended well since is not; a part that has never been in a sound answer is more
 * likely than one that has. The part that was present at most crashes is taken to explain them, and
 * only the crashes that it does not explain count against others: so a part that was merely there
 * is not blamed once the cause is known. Crashes at about the same moment count once, as engines
 * that end together have a cause in common, such as a rack without power.
 *
 * <p>Stateless and thread-safe.
 */
final class PoisonInference {

  /** A moment at which no sound answer has been seen. */
  static final long NEVER = Long.MIN_VALUE / 2;

  /** Crashes within this time count once, in milliseconds. */
  static final long MOMENT_MILLIS = 100;

  /** The crashes that make a part suspect if no other part was there at all of them. */
  static final int LEADING_CRASHES = 3;

  /** The crashes that make a part suspect even if others were there at all of them. */
  static final int TIED_CRASHES = 5;

  /** The crashes since its last sound answer that make a part suspect which has had one. */
  static final int CRASHES_AFTER_SOUND = 6;

  /**
   * The time without a sound answer up to the last crash that makes such a part suspect, in ms.
   * Engines that end one after the other leave a part without one for as long as an answer takes.
   */
  static final long UNSOUND_MILLIS = 3_000;

  private PoisonInference() {}

  /**
   * Returns the parts that explain the crashes.
   *
   * @param crashes the crashes
   * @param lastSound maps a part to the time of its last sound answer, or {@link #NEVER}
   * @return the suspect parts
   */
  static Set<String> suspects(Collection<Crash> crashes, ToLongFunction<String> lastSound) {
    Set<String> suspects = new HashSet<>();
    List<Crash> unexplained = new ArrayList<>(crashes);
    Set<String> found = leading(unexplained, lastSound);
    while (!found.isEmpty()) {
      suspects.addAll(found);
      unexplained.removeIf(crash -> crash.parts().stream().anyMatch(suspects::contains));
      found = leading(unexplained, lastSound);
    }
    return suspects;
  }

  /** Returns the parts that explain most of the crashes, if these are enough. */
  private static Set<String> leading(List<Crash> crashes, ToLongFunction<String> lastSound) {
    Map<String, Integer> untested = new HashMap<>();
    Map<String, Integer> tested = new HashMap<>();
    Map<String, Integer> counts = counts(crashes);
    counts.values().removeIf(count -> count < LEADING_CRASHES);
    for (String part : counts.keySet()) {
      long sound = lastSound.applyAsLong(part);
      if (sound == NEVER) {
        untested.put(part, moments(crashes, part, sound));
      } else if (last(crashes, part) - sound >= UNSOUND_MILLIS) {
        tested.put(part, moments(crashes, part, sound));
      }
    }
    Set<String> first = most(untested);
    int most = first.isEmpty() ? 0 : untested.get(first.iterator().next());
    if (most >= TIED_CRASHES) {
      return first;
    }
    Set<String> distinct = most >= LEADING_CRASHES ? withoutCompanions(crashes, first) : Set.of();
    if (!distinct.isEmpty()) {
      return distinct;
    }
    Set<String> firstTested = most(tested);
    boolean isEnough =
        !firstTested.isEmpty() && tested.get(firstTested.iterator().next()) >= CRASHES_AFTER_SOUND;
    return isEnough ? firstTested : Set.of();
  }

  /** Returns the number of crashes at which each part was present. */
  static Map<String, Integer> counts(Collection<Crash> crashes) {
    Map<String, Integer> counts = new HashMap<>();
    crashes.forEach(crash -> crash.parts().forEach(part -> counts.merge(part, 1, Integer::sum)));
    return counts;
  }

  /** Returns the parts without those that never came without another one of them. */
  private static Set<String> withoutCompanions(List<Crash> crashes, Set<String> parts) {
    Set<String> distinct = new HashSet<>();
    for (String part : parts) {
      Set<String> always = new HashSet<>(parts);
      crashes.stream()
          .filter(crash -> crash.parts().contains(part))
          .forEach(crash -> always.retainAll(crash.parts()));
      if (always.size() == 1) {
        distinct.add(part);
      }
    }
    return distinct;
  }

  private static long last(List<Crash> crashes, String part) {
    return crashes.stream()
        .filter(crash -> crash.parts().contains(part))
        .mapToLong(Crash::millis)
        .max()
        .orElse(NEVER);
  }

  private static Set<String> most(Map<String, Integer> moments) {
    int most = moments.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    Set<String> parts = new HashSet<>();
    moments.forEach(
        (part, count) -> {
          if (count == most) {
            parts.add(part);
          }
        });
    return parts;
  }

  /**
   * Returns the number of distinct moments after a given one at which engines crashed under a part.
   *
   * @param crashes the crashes
   * @param part the part
   * @param sinceMillis the moment
   * @return the number
   */
  static int moments(Collection<Crash> crashes, String part, long sinceMillis) {
    long[] times =
        crashes.stream()
            .filter(crash -> crash.millis() > sinceMillis && crash.parts().contains(part))
            .mapToLong(Crash::millis)
            .sorted()
            .toArray();
    int count = 0;
    long momentMillis = NEVER;
    for (long time : times) {
      if (time - momentMillis > MOMENT_MILLIS) {
        count++;
        momentMillis = time;
      }
    }
    return count;
  }
}
