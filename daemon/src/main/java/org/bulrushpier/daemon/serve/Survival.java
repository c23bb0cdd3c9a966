package org.bulrushpier.daemon.serve;

import java.util.Optional;
import java.util.Set;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.call.CallerRequest;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.placing.CachePlan;
import org.bulrushpier.placing.Placement;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.site.ConfiguredRoute;
import org.bulrushpier.survival.CopyPlacement;
import org.bulrushpier.survival.CopyPlacement.Choice;
import org.bulrushpier.survival.RunCopy;
import org.bulrushpier.survival.RunCopy.Continuation;
import org.bulrushpier.survival.RunEnd;
import org.bulrushpier.survival.SilenceWatch;

/**
 * The copy of one request's run, from which the run goes on if its replica is lost.
 *
 * <p>Guarded by the loop's lock.
 */
final class Survival {

  private static final Continuation.Lost NO_RETRY = new Continuation.Lost("no retry is left");
  private static final Continuation.Wait STILL_RUNNING =
      new Continuation.Wait("its replica may still work on it");

  private final GatewayContext context;
  private final CallerRequest request;
  private final ReplicaSelection selection;
  private final Set<String> triedReplicas;
  private final SilenceWatch silence;
  private final Optional<RunCopy> copy;

  /** The inquiry after the run whose answer broke off last, or null. */
  private RunInquiry inquiry;

  Survival(
      GatewayContext context,
      CallerRequest request,
      ConfiguredRoute route,
      ReplicaSelection selection,
      Set<String> triedReplicas) {
    this.context = context;
    this.request = request;
    this.selection = selection;
    this.triedReplicas = triedReplicas;
    silence = SilenceWatch.of(route.gapMillis());
    copy = request.prompt().map(prompt -> RunCopy.of(request.id(), prompt));
  }

  /**
   * Orders a copy with a send of the request, if its run is to have one.
   *
   * @return the address of the holder, or empty
   */
  String order(Replica run, int weightVersion) {
    release();
    // Without an id, the copy could not be named.
    Optional<Choice> choice =
        request.id().isEmpty()
            ? Optional.empty()
            : selection.chooseCopyHolder(run, triedReplicas, MonotonicClock.millis());
    if (choice.isEmpty()) {
      return "";
    }
    return switch (choice.get()) {
      case Choice.Holder(Replica holder, boolean isDoubtful) -> {
        copy.get().ordered(holder, weightVersion);
        context
            .metrics()
            .copyOrdered(request.prompt().map(PromptShape::totalTokens).orElse(0), isDoubtful);
        yield holder.entry().address().toString();
      }
      case Choice.None(CopyPlacement.Reason reason) -> {
        context.metrics().withoutCopy(reason);
        yield "";
      }
    };
  }

  /** Returns the id of the holder of the copy, or empty without a copy. */
  String holder() {
    return copy.flatMap(RunCopy::holder).map(holder -> holder.entry().id()).orElse("");
  }

  private Continuation continuation(long nowMillis) {
    return copy.map(c -> c.continuation(replica -> selection.exclusion(replica, nowMillis)))
        .orElse(new Continuation.Lost("there is no copy of its run"));
  }

  /** Returns whether the run may go on now. */
  boolean mayGoOn(long nowMillis) {
    return continuation(nowMillis) instanceof Continuation.GoOn && hasRetry(nowMillis);
  }

  /**
   * Returns whether the run, whose replica is lost, may go on now or as soon as the holder of its
   * copy takes requests.
   *
   * @param isTakenByCaller whether the caller can still be sent a continuation
   */
  boolean mayGoOnSoon(boolean isTakenByCaller, long nowMillis) {
    Continuation outlook = continuation(nowMillis);
    if (!(outlook instanceof Continuation.Lost)) {
      if (!isTakenByCaller) {
        outlook = new Continuation.Lost("its caller can be sent no continuation");
      } else if (!hasRetry(nowMillis)) {
        outlook = NO_RETRY;
      }
    }
    if (outlook instanceof Continuation.Lost lost) {
      lost(lost);
      return false;
    }
    return true;
  }

  /**
   * Records that the answer of a run broke off, at which its replica may still work.
   *
   * @param run the replica
   * @param inFlight the request at the replica
   * @param listener is told when the run has ended
   */
  void brokeOff(Replica run, Replica.InFlightRequest inFlight, Runnable listener) {
    RunEnd end =
        inFlight.isStarted()
            ? RunEnd.ofRun(request.id(), inFlight.startedMillis())
            : RunEnd.ofRequest(request.id(), inFlight.sentMillis());
    if (inquiry != null) {
      inquiry.stop();
    }
    inquiry = new RunInquiry(context, run, end, listener);
  }

  /** Returns whether the replica whose answer broke off does not work on the run any more. */
  private boolean isEndedElsewhere(long nowMillis) {
    if (inquiry == null || inquiry.isEnded()) {
      return true;
    }
    if (isGone(inquiry.replica(), inquiry.replica().lastActivityMillis(), nowMillis)) {
      inquiry.replicaGone();
      return true;
    }
    return false;
  }

  private boolean hasRetry(long nowMillis) {
    return context.retryBudget(selection.service()).mayRetry(nowMillis);
  }

  /**
   * Decides whether the run goes on now, and takes a retry from the budget if so. It is the same
   * run, so the route's number of attempts is no bound.
   */
  Continuation next(long nowMillis) {
    Continuation next = continuation(nowMillis);
    if (next instanceof Continuation.GoOn && !isEndedElsewhere(nowMillis)) {
      return STILL_RUNNING;
    }
    return next instanceof Continuation.GoOn
            && !context.retryBudget(selection.service()).tryRetry(nowMillis)
        ? NO_RETRY
        : next;
  }

  /** Returns the placement of a run that goes on, for which its copy is used. */
  Placement.Send use(Continuation.GoOn continuation) {
    copy.get().used();
    return new Placement.Send(continuation.holder(), CachePlan.EMPTY, 0, 0, false);
  }

  /**
   * Returns whether a silent stream's replica is taken to be gone. Asks it and the holder of the
   * copy if that is not known.
   */
  boolean isGone(Replica run, long lastEventMillis, long nowMillis) {
    Optional<Replica> holder = copy.flatMap(RunCopy::holder);
    long silentSinceMillis = Math.max(lastEventMillis, run.lastActivityMillis());
    if (holder.isEmpty() || !silence.isSuspicious(silentSinceMillis, nowMillis)) {
      return false;
    }
    ReplicaInquiries inquiries = context.inquiries();
    return switch (silence.judge(
        silentSinceMillis, inquiries.of(run), inquiries.of(holder.get()), nowMillis)) {
      case WAIT -> false;
      case ASK -> {
        inquiries.ask(run);
        inquiries.ask(holder.get());
        yield false;
      }
      case GONE -> true;
    };
  }

  /** Logs that the run goes on at the holder of its copy. */
  void logGoesOn(Replica holder, long lastEvent, long silentMillis, String attemptEnd) {
    context
        .log()
        .event(
            "goes-on",
            "request",
            request.id(),
            "replica",
            holder.entry().id(),
            "lastEvent",
            lastEvent,
            "silentMs",
            silentMillis,
            "attemptEnd",
            attemptEnd,
            "askedForMs",
            inquiry == null ? 0 : inquiry.ageMillis(MonotonicClock.millis()));
  }

  /** Records that a run cannot go on although it has a copy. */
  void lost(Continuation.Lost lost) {
    if (holder().isEmpty()) {
      return;
    }
    context.metrics().continuation("impossible");
    context
        .log()
        .event(
            "copy-unused", "request", request.id(), "replica", holder(), "reason", lost.reason());
  }

  /** Records that the copy is no longer needed. */
  void release() {
    copy.ifPresent(RunCopy::release);
    if (inquiry != null) {
      inquiry.stop();
    }
  }
}
