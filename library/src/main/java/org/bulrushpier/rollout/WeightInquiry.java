package org.bulrushpier.rollout;

import java.util.ArrayList;
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

  /** How long after a version was first seen questions are asked, in milliseconds. */
  static final long DURATION_MILLIS = 3_000;

  /** The number of last questions whose answers are accepted. */
  private static final int MAX_PENDING = 8;

  private final TargetWeights weights;
  private final Map<Long, Moment> pending = new LinkedHashMap<>();
  private long lastId;
  private Moment lastAsked = Moment.DISTANT_PAST;

  private WeightInquiry(TargetWeights weights) {
    this.weights = weights;
  }

  /**
   * Creates an inquiry without questions.
   *
   * @param weights the requested versions, which answers make more precise
   * @return the inquiry
   */
  public static WeightInquiry of(TargetWeights weights) {
    return new WeightInquiry(weights);
  }

  /**
   * Returns the question to send now.
   *
   * @param now the current moment
   * @return a question, or empty if none is due
   */
  public Optional<FleetMessage.WeightQuestion> nextQuestion(Moment now) {
    if (lastAsked.ageMillis(now) < INTERVAL_MILLIS || !isQuestionNeeded(now)) {
      return Optional.empty();
    }
    lastAsked = now;
    pending.put(++lastId, now);
    if (pending.size() > MAX_PENDING) {
      pending.remove(lastId - MAX_PENDING);
    }
    return Optional.of(new FleetMessage.WeightQuestion(lastId));
  }

  private boolean isQuestionNeeded(Moment now) {
    for (String model : weights.models()) {
      RequestInterval requested = weights.target(model).requested();
      if (!requested.isPrecise() && requested.notAfter().ageMillis(now) < DURATION_MILLIS) {
        return true;
      }
    }
    return false;
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
        RequestInterval requested = version.requested();
        ages.add(
            new WeightAge(
                model,
                version.version(),
                Math.min(WeightAge.MAX_MILLIS, requested.notBefore().ageMillis(now)),
                Math.min(WeightAge.MAX_MILLIS, requested.notAfter().ageMillis(now))));
      }
    }
    return new FleetMessage.WeightAnswer(question.id(), ages);
  }

  /**
   * Applies an answer. An answer to no recent question is ignored.
   *
   * @param answer the answer
   * @param now the current moment
   * @return the versions that it told of, or empty if it was ignored
   */
  public List<WeightAge> apply(FleetMessage.WeightAnswer answer, Moment now) {
    Moment asked = pending.get(answer.id());
    if (asked == null || !answer.ages().stream().allMatch(WeightAge::isPlausible)) {
      return List.of();
    }
    for (WeightAge age : answer.ages()) {
      Moment notBefore =
          age.maxMillis() == WeightAge.MAX_MILLIS
              ? Moment.DISTANT_PAST
              : asked.plusMillis(-age.maxMillis());
      Moment notAfter = now.plusMillis(-age.minMillis());
      weights.refine(age.model(), age.version(), new RequestInterval(notBefore, notAfter), now);
    }
    return answer.ages();
  }
}
