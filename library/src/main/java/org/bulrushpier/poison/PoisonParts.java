package org.bulrushpier.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.bulrushpier.poison.CrashKnowledge.ReportedCrash;
import org.bulrushpier.poison.CrashKnowledge.SoundPart;
import org.bulrushpier.poison.CrashKnowledge.SuspectPart;

/**
 * The prompt parts that crash engines, as far as the instances of the site know together.
 *
 * <p>Every request with such a part costs an engine, whichever instance sends it. The instances
 * therefore tell each other the crashes that they see and the parts that they have seen answered;
 * each draws the conclusions by itself with {@link PoisonInference}. What is told may arrive late,
 * repeatedly and in any order.
 *
 * <p>A suspect part is barred for a term. After it a single request is let through as a trial: a
 * sound answer clears the part, another crash bars it for twice the term. The instances take their
 * turns in an order that differs by part, so that only one of them holds the trial. A sound answer
 * at any time clears the part too, and so does another part that explains its crashes.
 *
 * <p>Invariants: the number of crashes, suspects and remembered parts is bounded; a part that is
 * not seen at a crash again is forgotten. Not thread-safe; guarded by the lock of the gateway's
 * event loop.
 */
public final class PoisonParts {

  /** How long a crash is remembered, in milliseconds. */
  static final long MEMORY_MILLIS = 120_000;

  /**
   * The age up to which a crash is learned from others, in milliseconds. It lies far below the time
   * for which crashes are remembered, as instances would otherwise remind each other forever.
   */
  static final long LEARNING_MILLIS = 60_000;

  /** The first term of a suspect part, in milliseconds. */
  static final long FIRST_TERM_MILLIS = 30_000;

  private static final long MAX_TERM_MILLIS = 600_000;
  private static final int MAX_DOUBLINGS = 10;

  /** The time from one trial to the next if the first one shows nothing, in milliseconds. */
  static final long TRIAL_MILLIS = 10_000;

  /** The time by which each instance gives the one before it precedence, in milliseconds. */
  static final long TURN_MILLIS = 1_000;

  /** How long a suspect part is remembered after the end of its term, in milliseconds. */
  private static final long PROBATION_MILLIS = 600_000;

  /** How long after the end of its term a suspect part is learned from others, in milliseconds. */
  private static final long PROBATION_LEARNING_MILLIS = 300_000;

  static final int MAX_CRASHES = 48;
  private static final int MAX_SUSPECTS = 32;
  private static final int MAX_SOUND = 4_096;
  private static final int MAX_CRASH_PARTS = 256;

  /** The most crashes that are told at once, which keeps a message within a datagram. */
  private static final int MAX_TOLD_CRASHES = 8;

  /** The most parts of a crash that are told. */
  private static final int MAX_TOLD_PARTS = 16;

  /** The most cleared parts that are told. */
  private static final int MAX_CLEARED = 32;

  /**
   * By how much a sound answer must be younger than the known one to be news, in milliseconds. Ages
   * grow younger by the time that they travel, so that without it a time would advance with each
   * exchange.
   */
  private static final long TRAVEL_MILLIS = 1_000;

  private final Map<String, Crash> crashes = new LinkedHashMap<>();

  /** The parts of crashes that this instance has seen itself, which others may not know. */
  private final Map<String, Set<String>> ownParts = new HashMap<>();

  private final Map<String, Suspect> suspects = new TreeMap<>();
  private final Map<String, Long> sound =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_SOUND;
        }
      };

  /** Parts that are no longer suspect, of which others may not have heard. */
  private final Set<String> cleared = new LinkedHashSet<>();

  private final Random random = new Random();
  private long changes;
  private long suspectChanges;

  private record Suspect(long sinceMillis, long untilMillis, int trials, long trialMillis) {

    private Suspect renewed(long crashMillis) {
      long term =
          Math.min(FIRST_TERM_MILLIS << Math.min(trials + 1, MAX_DOUBLINGS), MAX_TERM_MILLIS);
      return new Suspect(sinceMillis, crashMillis + term, trials + 1, trialMillis);
    }

    private Suspect tried(long nowMillis) {
      return new Suspect(sinceMillis, untilMillis, trials, nowMillis);
    }

    /** Returns the moment from which the instance with the first turn may hold a trial. */
    private long dueMillis() {
      return Math.max(untilMillis, trialMillis + TRIAL_MILLIS);
    }
  }

  /** The place of this instance among those that may try a suspect part, 0 being the first. */
  public interface Turn {

    /**
     * Returns the number of instances that come before this one.
     *
     * @param part the id of the part
     * @return the number
     */
    int before(String part);
  }

  /**
   * Records a crash that this instance has seen.
   *
   * @param crash the crash
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void crashed(Crash crash, long nowMillis) {
    ownParts.computeIfAbsent(crash.replica(), id -> new HashSet<>()).addAll(crash.parts());
    if (add(crash)) {
      changes++;
    }
    infer(nowMillis);
  }

  private boolean add(Crash crash) {
    Crash known = crashes.get(crash.replica());
    if (known == null && crashes.size() >= MAX_CRASHES) {
      crashes.values().stream()
          .min(Comparator.comparingLong(Crash::millis))
          .ifPresent(oldest -> crashes.remove(oldest.replica()));
    }
    Set<String> parts = new HashSet<>(known == null ? Set.of() : known.parts());
    crash.parts().stream().filter(part -> parts.size() < MAX_CRASH_PARTS).forEach(parts::add);
    parts.addAll(ownParts.getOrDefault(crash.replica(), Set.of()));
    long millis = known == null ? crash.millis() : Math.min(known.millis(), crash.millis());
    crashes.put(crash.replica(), new Crash(crash.replica(), millis, parts));
    return known == null || known.parts().size() < parts.size();
  }

  /**
   * Records a sound answer.
   *
   * @param parts the ids of the shared parts of its prompt
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void answered(Collection<String> parts, long nowMillis) {
    boolean isNews = false;
    for (String part : parts) {
      isNews |= recordSound(part, nowMillis);
    }
    if (isNews) {
      infer(nowMillis);
    }
  }

  /** Returns whether the answer changes what is known of a part that is under suspicion. */
  private boolean recordSound(String part, long millis) {
    Long before = sound.get(part);
    if (before != null && before >= millis) {
      return false;
    }
    sound.put(part, millis);
    boolean isNews =
        suspects.containsKey(part)
            || (before == null
                && crashes.values().stream().anyMatch(crash -> crash.parts().contains(part)));
    if (isNews) {
      changes++;
    }
    return isNews;
  }

  private long lastSound(String part) {
    return sound.getOrDefault(part, PoisonInference.NEVER);
  }

  private Set<String> inferred() {
    return PoisonInference.suspects(crashes.values(), this::lastSound);
  }

  /** Draws the conclusions from what is known. */
  private void infer(long nowMillis) {
    Set<String> inferred = inferred();
    for (String part : inferred) {
      if (!suspects.containsKey(part) && suspects.size() < MAX_SUSPECTS) {
        long until = nowMillis + FIRST_TERM_MILLIS;
        put(part, new Suspect(nowMillis, until, 0, PoisonInference.NEVER));
      }
    }
    for (Map.Entry<String, Suspect> entry : Map.copyOf(suspects).entrySet()) {
      String part = entry.getKey();
      Suspect suspect = entry.getValue();
      long lastCrash = lastCrash(part);
      if (lastSound(part) > suspect.sinceMillis) {
        remove(part);
        rememberCleared(part);
      } else if (isAcquitted(part, inferred)) {
        remove(part);
      } else if (lastCrash > suspect.untilMillis) {
        put(part, suspect.renewed(lastCrash));
      }
    }
  }

  private void put(String part, Suspect suspect) {
    suspects.put(part, suspect);
    suspectChanges++;
    changes++;
  }

  private void remove(String part) {
    suspects.remove(part);
    suspectChanges++;
    changes++;
  }

  private void rememberCleared(String part) {
    if (cleared.size() >= MAX_CLEARED) {
      cleared.remove(cleared.iterator().next());
    }
    cleared.add(part);
  }

  private long lastCrash(String part) {
    return crashes.values().stream()
        .filter(crash -> crash.parts().contains(part))
        .mapToLong(Crash::millis)
        .max()
        .orElse(PoisonInference.NEVER);
  }

  /** Returns whether enough crashes under a part are known, and other parts explain them. */
  private boolean isAcquitted(String part, Set<String> inferred) {
    return !inferred.contains(part)
        && PoisonInference.moments(crashes.values(), part, PoisonInference.NEVER)
            >= PoisonInference.LEADING_CRASHES;
  }

  /**
   * Decides whether a new request may be sent.
   *
   * @param parts the ids of the shared parts of its prompt
   * @param turn the place of this instance in the order of trials
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the decision; a trial counts as begun
   */
  public PartAdmission admit(Collection<String> parts, Turn turn, long nowMillis) {
    List<String> suspect = parts.stream().filter(suspects::containsKey).toList();
    if (suspect.isEmpty()) {
      return new PartAdmission.Admitted();
    }
    for (String part : suspect) {
      long due = suspects.get(part).dueMillis() + turn.before(part) * TURN_MILLIS;
      if (nowMillis < due) {
        return new PartAdmission.Barred(part, due - nowMillis);
      }
    }
    suspect.forEach(part -> put(part, suspects.get(part).tried(nowMillis)));
    return new PartAdmission.Trial(suspect.get(0));
  }

  /**
   * Checks whether a request that is already under way may be sent now or once more.
   *
   * @param parts the ids of the shared parts of its prompt
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the decision, never a trial
   */
  public PartAdmission check(Collection<String> parts, long nowMillis) {
    for (String part : parts) {
      Suspect suspect = suspects.get(part);
      if (suspect != null) {
        long due = Math.max(suspect.dueMillis(), nowMillis + TURN_MILLIS);
        return new PartAdmission.Barred(part, due - nowMillis);
      }
    }
    return new PartAdmission.Admitted();
  }

  /**
   * Checks whether one of the parts may turn out to crash engines: it was there at an unexplained
   * crash and has never been in a sound answer.
   *
   * @param parts the ids of the shared parts of a prompt
   * @return true if a request should not be sent once more before that is known
   */
  public boolean isUncertain(Collection<String> parts) {
    return parts.stream()
        .anyMatch(
            part ->
                lastSound(part) == PoisonInference.NEVER
                    && crashes.values().stream()
                        .anyMatch(
                            crash ->
                                crash.parts().contains(part)
                                    && crash.parts().stream().noneMatch(suspects::containsKey)));
  }

  /**
   * Checks whether a replica has crashed.
   *
   * @param replica the id of the incarnation
   * @return true if a crash of it is remembered
   */
  public boolean hasCrashed(String replica) {
    return crashes.containsKey(replica);
  }

  /** Returns the ids of the parts that are barred or on trial. */
  public Set<String> suspects() {
    return Set.copyOf(suspects.keySet());
  }

  /** Returns the number of crashes that are remembered. */
  public int crashes() {
    return crashes.size();
  }

  /** Returns a number that grows whenever there is something new to tell other instances. */
  public long changes() {
    return changes;
  }

  /** Returns a number that grows whenever a part is barred, tried or cleared. */
  public long suspectChanges() {
    return suspectChanges;
  }

  /**
   * Forgets what is too old.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void expire(long nowMillis) {
    crashes.values().removeIf(crash -> nowMillis - crash.millis() > MEMORY_MILLIS);
    ownParts.keySet().retainAll(crashes.keySet());
    cleared.removeIf(part -> nowMillis - lastSound(part) > MEMORY_MILLIS);
    suspects.values().removeIf(s -> nowMillis - s.untilMillis > PROBATION_MILLIS);
  }

  /** Returns whether there is nothing to tell other instances. */
  public boolean isEmpty() {
    return crashes.isEmpty() && suspects.isEmpty() && cleared.isEmpty();
  }

  /**
   * Returns what there is to tell other instances, newest crashes first.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the knowledge
   */
  public CrashKnowledge knowledge(long nowMillis) {
    List<Crash> told =
        crashes.values().stream()
            .sorted(Comparator.comparingLong(Crash::millis).reversed())
            .limit(MAX_TOLD_CRASHES)
            .toList();
    Map<String, Integer> counts = PoisonInference.counts(crashes.values());
    List<ReportedCrash> reports =
        told.stream().map(crash -> report(crash, counts, nowMillis)).toList();
    Set<String> parts = new HashSet<>(suspects.keySet());
    parts.addAll(cleared);
    reports.forEach(report -> parts.addAll(report.parts()));
    List<SoundPart> soundParts = new ArrayList<>();
    for (String part : parts) {
      if (lastSound(part) != PoisonInference.NEVER) {
        soundParts.add(new SoundPart(part, Math.max(0, nowMillis - lastSound(part))));
      }
    }
    List<SuspectPart> suspectParts = new ArrayList<>();
    suspects.forEach((part, suspect) -> suspectParts.add(told(part, suspect, nowMillis)));
    return new CrashKnowledge(reports, soundParts, suspectParts);
  }

  /**
   * Returns a crash as it is told. Parts that only this instance may know come first, in another
   * order each time, so that none is left out forever.
   */
  private ReportedCrash report(Crash crash, Map<String, Integer> counts, long nowMillis) {
    Set<String> own = ownParts.getOrDefault(crash.replica(), Set.of());
    List<String> shuffled = new ArrayList<>(crash.parts());
    Collections.shuffle(shuffled, random);
    List<String> parts =
        shuffled.stream()
            .sorted(
                Comparator.comparing((String part) -> lastSound(part) != PoisonInference.NEVER)
                    .thenComparing(part -> !own.contains(part))
                    .thenComparing(part -> -counts.get(part)))
            .limit(MAX_TOLD_PARTS)
            .toList();
    return new ReportedCrash(crash.replica(), Math.max(0, nowMillis - crash.millis()), parts);
  }

  private static SuspectPart told(String part, Suspect suspect, long nowMillis) {
    return new SuspectPart(
        part,
        Math.max(0, nowMillis - suspect.sinceMillis),
        suspect.untilMillis - nowMillis,
        suspect.trials,
        suspect.trialMillis == PoisonInference.NEVER ? -1 : nowMillis - suspect.trialMillis);
  }

  /**
   * Adds what another instance has told.
   *
   * @param told the knowledge of the other instance, which must be plausible
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void learn(CrashKnowledge told, long nowMillis) {
    boolean isNews = false;
    for (ReportedCrash crash : told.crashes()) {
      if (crash.ageMillis() <= LEARNING_MILLIS
          && add(
              new Crash(
                  crash.replica(), nowMillis - crash.ageMillis(), new HashSet<>(crash.parts())))) {
        isNews = true;
        changes++;
      }
    }
    for (SoundPart part : told.sound()) {
      long millis = nowMillis - part.ageMillis();
      if (millis > lastSound(part.part()) + TRAVEL_MILLIS) {
        isNews |= recordSound(part.part(), millis);
      }
    }
    if (isNews) {
      infer(nowMillis);
    }
    told.suspects().stream()
        .filter(part -> part.remainingMillis() >= -PROBATION_LEARNING_MILLIS)
        .forEach(part -> adopt(part.part(), suspect(part, nowMillis)));
  }

  private static Suspect suspect(SuspectPart told, long nowMillis) {
    return new Suspect(
        nowMillis - told.ageMillis(),
        nowMillis + Math.min(told.remainingMillis(), MAX_TERM_MILLIS),
        told.trials(),
        told.trialAgeMillis() < 0 ? PoisonInference.NEVER : nowMillis - told.trialAgeMillis());
  }

  private void adopt(String part, Suspect told) {
    Suspect known = suspects.get(part);
    if (lastSound(part) > told.sinceMillis
        || (known == null && (suspects.size() >= MAX_SUSPECTS || isAcquitted(part, inferred())))) {
      return;
    }
    if (known == null || told.trials > known.trials) {
      put(part, told);
    } else if (told.trialMillis > known.trialMillis + TURN_MILLIS) {
      put(part, known.tried(told.trialMillis));
    }
  }
}
