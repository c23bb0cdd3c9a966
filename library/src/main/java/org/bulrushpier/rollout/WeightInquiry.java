package org.bulrushpier.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushpier.Moment;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.WeightAge;

/**
 * Asks other instances when weight versions were requested that this instance did not see being
 * requested, and answers their questions.
 *
 * <p>The ages in an answer are valid for some moment between the question and the receipt of the
 * answer, so no assumption is made about the delay of datagrams or about a suspension of either
 * process. Questions are repeated for a while, as datagrams may be lost and other instances may not
 * know either.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class WeightInquiry {

  /** Interval between questions, in milliseconds. */
  static final long INTERVAL_MILLIS = 100;

  /** How long after this instance first saw a version it asks for it, in milliseconds. */
  static final long DURATION_MILLIS = 3_000;

  /** The most versions in one answer, which keeps it within a datagram. */
  private static final int MAX_TOLD = 200;

  /** The number of last questions whose answers are accepted. */
  private static final int MAX_PENDING = 8;

  private final TargetWeights weights;
  private final Map<Long, Moment> pending = new LinkedHashMap<>();
  private final Map<String, Map<Integer, Moment>> firstSeen = new HashMap<>();
  private long lastId;
  private Moment lastAsked = Moment.DISTANT_PAST;

  private WeightInquiry(TargetWeights weights, long firstId) {
    this.weights = weights;
    this.lastId = firstId;
  }

  /**
   * Creates an inquiry without questions.
   *
   * @param weights the requested versions, which answers make more precise
   * @param firstId the number before the first question, which differs between starts of an
   *     instance so that an answer to an earlier start is ignored
   * @return the inquiry
   */
  public static WeightInquiry of(TargetWeights weights, long firstId) {
    return new WeightInquiry(weights, firstId);
  }

  /**
   * Returns the question to send now.
   *
   * @param now the current moment
   * @param changeMillis the time within which a requested version must be in place, in
   *     milliseconds; it does not matter when older versions were requested
   * @return a question, or empty if none is due
   */
  public Optional<FleetMessage.WeightQuestion> nextQuestion(Moment now, long changeMillis) {
    if (lastAsked.ageMillis(now) < INTERVAL_MILLIS || !isQuestionNeeded(now, changeMillis)) {
      return Optional.empty();
    }
    lastAsked = now;
    pending.put(++lastId, now);
    if (pending.size() > MAX_PENDING) {
      pending.remove(lastId - MAX_PENDING);
    }
    return Optional.of(new FleetMessage.WeightQuestion(lastId));
  }

  private boolean isQuestionNeeded(Moment now, long changeMillis) {
    boolean isNeeded = false;
    for (String model : weights.models()) {
      Map<Integer, Moment> seen = firstSeen.computeIfAbsent(model, name -> new HashMap<>());
      List<TargetWeights.TargetVersion> versions = weights.target(model).withPrevious();
      for (TargetWeights.TargetVersion version : versions) {
        Moment first = seen.computeIfAbsent(version.version(), number -> now);
        isNeeded |=
            !version.requested().isPrecise()
                && version.requested().notAfter().ageMillis(now) < changeMillis
                && first.ageMillis(now) < DURATION_MILLIS;
      }
      seen.keySet().retainAll(versions.stream().map(TargetWeights.TargetVersion::version).toList());
    }
    return isNeeded;
  }

  /**
   * Answers a question of another instance.
   *
   * @param question the question
   * @param now the current moment
   * @return the answer
   */
  public FleetMessage.WeightAnswer answer(FleetMessage.WeightQuestion question, Moment now) {
    List<WeightAge> ages = new ArrayList<>();
    for (String model : weights.models()) {
      for (TargetWeights.TargetVersion version : weights.target(model).withPrevious()) {
        if (ages.size() < MAX_TOLD) {
          ages.add(age(model, version, now));
        }
      }
    }
    return new FleetMessage.WeightAnswer(question.id(), ages);
  }

  private static WeightAge age(String model, TargetWeights.TargetVersion version, Moment now) {
    RequestInterval requested = version.requested();
    return new WeightAge(
        model,
        version.version(),
        Math.min(WeightAge.MAX_MILLIS, requested.notBefore().ageMillis(now)),
        Math.min(WeightAge.MAX_MILLIS, requested.notAfter().minAgeMillis(now)));
  }

  /**
   * Applies an answer. An answer to no recent question and implausible ages are ignored.
   *
   * @param answer the answer
   * @param now the current moment
   * @return the ages that were applied
   */
  public List<WeightAge> apply(FleetMessage.WeightAnswer answer, Moment now) {
    Moment asked = pending.get(answer.id());
    if (asked == null) {
      return List.of();
    }
    List<WeightAge> plausible = answer.ages().stream().filter(WeightAge::isPlausible).toList();
    for (WeightAge age : plausible) {
      Moment notBefore =
          age.maxMillis() == WeightAge.MAX_MILLIS
              ? Moment.DISTANT_PAST
              : asked.plusMillis(-age.maxMillis());
      Moment notAfter = now.plusMillis(-age.minMillis());
      weights.refine(age.model(), age.version(), new RequestInterval(notBefore, notAfter), now);
    }
    return plausible;
  }
}
