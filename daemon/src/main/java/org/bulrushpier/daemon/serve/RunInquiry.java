package org.bulrushpier.daemon.serve;

import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.EngineFormat;
import org.bulrushpier.daemon.serve.EngineReports.Answer;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.survival.RunEnd;

/**
 * Asks a replica whose answer broke off whether it still works on the run, so that the run goes on
 * elsewhere only afterwards.
 *
 * <p>Guarded by the loop's lock.
 */
final class RunInquiry {

  /** The pause before the next question, in milliseconds. */
  private static final long PAUSE_MILLIS = 60;

  /** Time after which a question is given up, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 400;

  private final GatewayContext context;
  private final Replica replica;
  private final RunEnd end;
  private final Runnable listener;
  private final long begunMillis = MonotonicClock.millis();
  private long askedMillis;
  private boolean isBegun;
  private boolean isStopped;

  /**
   * Creates an inquiry.
   *
   * @param replica the replica whose answer broke off
   * @param end the judgement of the run
   * @param listener is told when the run has ended
   */
  RunInquiry(GatewayContext context, Replica replica, RunEnd end, Runnable listener) {
    this.context = context;
    this.replica = replica;
    this.end = end;
    this.listener = listener;
  }

  Replica replica() {
    return replica;
  }

  /** Returns the time since the answer broke off, in milliseconds. */
  long ageMillis(long nowMillis) {
    return nowMillis - begunMillis;
  }

  /** Returns whether the run has ended; begins to ask the replica if that is not known. */
  boolean isEnded() {
    if (!isBegun) {
      isBegun = true;
      ask();
    }
    return end.isEnded();
  }

  /** Stops asking, as the answer is not needed any more. */
  void stop() {
    isStopped = true;
  }

  /** Records that the replica does not answer and is taken to be gone. */
  void replicaGone() {
    end.replicaGone();
  }

  private void ask() {
    if (isStopped || end.isEnded()) {
      return;
    }
    askedMillis = MonotonicClock.millis();
    context.reports().ask(replica, TIMEOUT_MILLIS, this::answered);
  }

  private void answered(Answer answer) {
    if (isStopped) {
      return;
    }
    switch (answer) {
      case Answer.Told told -> reported(told.report());
      case Answer.Refused refused -> {
        // A full replica refuses connections, too, but then it works on what it has.
        if (replica.ownRequests() == 0) {
          end.replicaGone();
        }
      }
      case Answer.Nothing nothing -> {}
    }
    if (end.isEnded()) {
      listener.run();
    } else {
      context.loop().after(PAUSE_MILLIS, this::ask);
    }
  }

  private void reported(EngineFormat.Report report) {
    if (report.bornMillis() > 0
        && replica.entry().startMillis() > 0
        && report.bornMillis() != replica.entry().startMillis()) {
      end.replicaGone();
    } else {
      replica.recordActivity(MonotonicClock.millis());
      end.reported(report.runs(), report.running(), report.waiting(), askedMillis);
    }
  }
}
