package org.bulrushpier.survival;

import java.util.Optional;
import java.util.function.Function;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;

/**
 * The copy of the run of one request, and whether the run may go on there.
 *
 * <p>Invariants: a copy is used once; it is used at the incarnation that it was ordered at, under
 * the weights of the run; the memory that it occupies is counted at its holder until it is used or
 * released. Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class RunCopy {

  /** The number of times that a run may go on. */
  static final int MAX_CONTINUATIONS = 3;

  private final String requestId;
  private final PromptShape prompt;
  private Replica holder;
  private int weightVersion;
  private int continuations;

  private RunCopy(String requestId, PromptShape prompt) {
    this.requestId = requestId;
    this.prompt = prompt;
  }

  /**
   * Creates the record of a request that has no copy yet.
   *
   * @param requestId the id of the request
   * @param prompt its prompt
   * @return the record
   */
  public static RunCopy of(String requestId, PromptShape prompt) {
    return new RunCopy(requestId, prompt);
  }

  /** Whether and where a run goes on. */
  public sealed interface Continuation {

    /**
     * The run goes on. Immutable and thread-safe, except for the replica that it refers to.
     *
     * @param holder the replica that holds the copy
     * @param weightVersion the version of the weights of the run
     */
    record GoOn(Replica holder, int weightVersion) implements Continuation {}

    /**
     * The run cannot go on now, but may soon. Immutable and thread-safe.
     *
     * @param reason the reason
     */
    record Wait(String reason) implements Continuation {}

    /**
     * The run cannot go on. Immutable and thread-safe.
     *
     * @param reason the reason
     */
    record Lost(String reason) implements Continuation {}
  }

  /**
   * Records that a copy is ordered with a send of the request, in place of an earlier one.
   *
   * @param newHolder the replica that will hold it
   * @param version the version of the weights that the request is sent for
   */
  public void ordered(Replica newHolder, int version) {
    release();
    holder = newHolder;
    weightVersion = version;
    holder.beginCopy(requestId, prompt.totalTokens());
  }

  /** Returns the replica that holds the copy, or empty without a copy. */
  public Optional<Replica> holder() {
    return Optional.ofNullable(holder);
  }

  /**
   * Decides whether the run may go on now.
   *
   * @param exclusion why a replica may not get the request now, or empty if it may
   * @return where it goes on, or why it has to wait or is lost
   */
  public Continuation continuation(Function<Replica, Optional<Exclusion>> exclusion) {
    if (holder == null) {
      return new Continuation.Lost("there is no copy of its run");
    }
    if (continuations >= MAX_CONTINUATIONS) {
      return new Continuation.Lost("its run has gone on " + continuations + " times");
    }
    if (holder.version(prompt.model()) != weightVersion) {
      return new Continuation.Lost("the replica with its copy has changed its weights");
    }
    Optional<Exclusion> reason = exclusion.apply(holder);
    if (reason.isEmpty()) {
      return new Continuation.GoOn(holder, weightVersion);
    }
    String text = "the replica with its copy is " + reason.get().description();
    return reason.get().isLasting() ? new Continuation.Lost(text) : new Continuation.Wait(text);
  }

  /** Records that the run goes on from the copy, which can't be used again. */
  public void used() {
    continuations++;
    release();
  }

  /** Records that the copy is no longer needed. */
  public void release() {
    if (holder != null) {
      holder.endCopy(requestId);
      holder = null;
    }
  }
}
