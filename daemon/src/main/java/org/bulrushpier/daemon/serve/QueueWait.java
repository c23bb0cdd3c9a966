package org.bulrushpier.daemon.serve;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushpier.placing.Placement;
import org.bulrushpier.placing.PlacementQueue;
import org.bulrushpier.placing.PlacementRound;

/**
 * The wait of one request in the queue of its service.
 *
 * <p>Guarded by the loop's lock.
 */
final class QueueWait implements PlacementRound.Turn {

  private final GatewayContext context;
  private final Exchange exchange;
  private final ReplicaSelection selection;
  private final int promptTokens;
  private Placement.Wait wait;

  /**
   * Creates the wait of a request that does not wait yet.
   *
   * @param promptTokens the size of its prompt, or 0 if it has none
   */
  QueueWait(
      GatewayContext context, Exchange exchange, ReplicaSelection selection, int promptTokens) {
    this.context = context;
    this.exchange = exchange;
    this.selection = selection;
    this.promptTokens = promptTokens;
  }

  private PlacementQueue<QueueWait> queue() {
    return context.placementQueue(selection.service());
  }

  /** Records the arrival of the request, whether or not it has to wait. */
  void arrived(long now) {
    queue().arrived(selection.customer(), promptTokens, selection.priority(), now);
  }

  /**
   * Decides on a new request behind which no replica is looked for, because others wait that are at
   * least as urgent.
   *
   * @return a wait or a refusal, or empty if no other request comes first
   */
  Optional<Placement> behindOthers(long now) {
    if (!queue().isAhead(selection.priority())) {
      return Optional.empty();
    }
    Optional<Placement.Refuse> refusal = selection.refusal(now);
    if (refusal.isPresent()) {
      return Optional.of(refusal.get());
    }
    boolean isFull =
        queue().isFull(selection.customer(), selection.priority(), selection.goalMillis(), now);
    return Optional.of(
        isFull
            ? refusal("too many other requests wait for an engine", now)
            : ReplicaSelection.BEHIND_OTHERS);
  }

  private Placement.Refuse refusal(String reason, long now) {
    return new Placement.Refuse(
        reason,
        queue()
            .retryDelayMillis(
                selection.priority(), selection.goalMillis(), now, ThreadLocalRandom.current()));
  }

  /** Begins the wait, or goes on with it for another reason. */
  void await(Placement.Wait placement, long now) {
    if (wait == null) {
      queue()
          .add(
              this,
              selection.customer(),
              promptTokens,
              selection.priority(),
              selection.goalMillis(),
              now);
    }
    wait = placement;
  }

  /** Ends the wait, if there is one, as the request is sent. */
  void placed(long now) {
    if (wait != null) {
      wait = null;
      queue().placed(this, now);
    }
  }

  /** Ends the wait, if there is one, as the request ends. */
  void leave() {
    if (wait != null) {
      wait = null;
      queue().remove(this);
    }
  }

  /** Refuses the request, which has left the queue because it waited too long. */
  void expired(long now) {
    Placement.Refuse refusal = refusal(wait.reason(), now);
    wait = null;
    exchange.giveUp(refusal.reason(), refusal.retryAfterMillis());
  }

  @Override
  public PlacementRound.Restriction restriction() {
    return new PlacementRound.Restriction(selection.homes(), exchange.triedReplicas());
  }

  @Override
  public Set<String> replicas() {
    return selection.replicas(exchange.triedReplicas());
  }

  @Override
  public boolean place(Set<String> reserved) {
    if (wait != null) {
      exchange.tryPlace(reserved);
    }
    return wait == null;
  }
}
