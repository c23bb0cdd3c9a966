package org.bulrushpier.daemon.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.poison.PartAdmission;
import org.bulrushpier.poison.PartAdmission.Barred;
import org.bulrushpier.replica.Replica;

/**
 * The parts of one request's prompt that other requests may have too, and whether they allow it to
 * be sent. A request without a prompt has none and may always be sent.
 *
 * <p>Guarded by the loop's lock.
 */
final class RequestParts {

  /**
   * How long a stream waits to be continued while it may have crashed its engine itself, in
   * milliseconds: the time in which a further crash shows which part is the cause.
   */
  private static final long CLARIFICATION_MILLIS = 1_000;

  private final PoisonGuard guard;
  private final List<String> ids;
  private final List<Replica> brokenOff = new ArrayList<>();
  private boolean isTrial;
  private long brokeOffMillis = Long.MIN_VALUE / 2;

  RequestParts(PoisonGuard guard, Optional<PromptShape> prompt) {
    this.guard = guard;
    ids = prompt.map(p -> p.sharedParts().stream().map(PromptPart::id).toList()).orElse(List.of());
  }

  /** Decides whether the request may be sent at all. */
  Optional<Barred> admit() {
    return switch (guard.admit(ids)) {
      case PartAdmission.Admitted admitted -> Optional.empty();
      case PartAdmission.Trial trial -> {
        isTrial = true;
        yield Optional.empty();
      }
      case Barred barred -> Optional.of(barred);
    };
  }

  /**
   * Decides whether the request may be sent now. A trial may be sent once.
   *
   * @param sends the number of times that it has been sent
   */
  Optional<Barred> check(int sends) {
    if (isTrial && sends == 0) {
      return Optional.empty();
    }
    return guard.check(ids) instanceof Barred barred ? Optional.of(barred) : Optional.empty();
  }

  /** Returns whether the request may have crashed its engine, so that it has to wait. */
  boolean isBeingClarified(long nowMillis) {
    return nowMillis - brokeOffMillis < CLARIFICATION_MILLIS && guard.isUncertain(ids);
  }

  /** Returns whether the request may turn out to crash engines, so that one has to suffice. */
  boolean isUncertain() {
    return isTrial || guard.isUncertain(ids);
  }

  /** Returns the number of replicas that had the request and are known to have crashed since. */
  int crashedReplicas() {
    return (int) brokenOff.stream().filter(guard::hasCrashed).count();
  }

  /** Records that the request was answered to its end. */
  void answered() {
    guard.answered(ids);
  }

  /** Records that the connection of the answer, which had begun, ended before it did. */
  void answerBrokeOff(Replica replica, long nowMillis) {
    if (!ids.isEmpty()) {
      brokeOffMillis = nowMillis;
      brokenOff.add(replica);
      guard.answerBrokeOff(replica, ids);
    }
  }

  @Override
  public String toString() {
    return String.join(",", ids);
  }
}
