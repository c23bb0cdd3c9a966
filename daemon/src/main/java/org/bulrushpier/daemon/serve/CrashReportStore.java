package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.List;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.CrashFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.ReadableObject;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.adapter.StoreFormat.UnreadableObject;
import org.bulrushpier.poison.CrashKnowledge;

/**
 * Exchanges the knowledge of crashes through the platform's metadata store, for instances that
 * cannot reach each other, and keeps the suspect parts there in case all instances restart.
 *
 * <p>Each instance has one object of its own, which it removes when there is nothing left to tell.
 * While all instances hear each other, only the one whose turn it is writes the suspect parts.
 * Guarded by the loop's lock.
 */
final class CrashReportStore implements StoreWatch.Listener {

  /** Minimum interval between two writes, in milliseconds. */
  private static final long WRITE_INTERVAL_MILLIS = 400;

  private static final long CALL_TIMEOUT_MILLIS = 700;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final GatewayContext context;
  private long revision;
  private boolean isCalling;
  private long calledMillis = Long.MIN_VALUE / 2;
  private long writtenChanges;
  private long writtenSuspects;

  CrashReportStore(GatewayContext context) {
    this.context = context;
    context.storeEras().listen(this::storeRestored);
  }

  /** Writes the object once more, as it may be lost. */
  private void storeRestored() {
    writtenChanges = revision > 0 ? -1 : writtenChanges;
    writtenSuspects = revision > 0 ? -1 : writtenSuspects;
    revision = 0;
  }

  /**
   * Writes or removes the object of this instance if that is due.
   *
   * @param isFleetComplete whether all other instances are heard from
   */
  void tick(boolean isFleetComplete) {
    long now = MonotonicClock.millis();
    if (isCalling || now - calledMillis < WRITE_INTERVAL_MILLIS) {
      return;
    }
    if (isWriteDue(isFleetComplete)) {
      write(now);
    } else if (revision > 0 && context.poison().isEmpty()) {
      remove(now);
    }
  }

  private boolean isWriteDue(boolean isFleetComplete) {
    PoisonGuard guard = context.poison();
    boolean hasNewSuspects = guard.suspectChanges() != writtenSuspects;
    boolean hasSeenChanges = guard.ownChanges() != writtenChanges;
    return (hasSeenChanges && !isFleetComplete)
        || (hasNewSuspects && (revision > 0 || guard.hasFirstTurn()));
  }

  private void write(long nowMillis) {
    CrashKnowledge knowledge = context.poison().knowledge();
    long changes = context.poison().ownChanges();
    long suspectChanges = context.poison().suspectChanges();
    byte[] body = StoreFormat.write(name(), revision, CrashFormat.encode(knowledge, Moment.now()));
    call(
        nowMillis,
        revision > 0 ? "PUT" : "POST",
        revision > 0
            ? StoreFormat.object(StoreFormat.CRASH_REPORTS, name())
            : StoreFormat.kind(StoreFormat.CRASH_REPORTS),
        body,
        outcome -> {
          if (written(outcome)) {
            writtenChanges = changes;
            writtenSuspects = suspectChanges;
          }
        });
  }

  private void remove(long nowMillis) {
    call(
        nowMillis,
        "DELETE",
        StoreFormat.object(StoreFormat.CRASH_REPORTS, name()),
        new byte[0],
        outcome -> {
          if (outcome.isOk() || outcome.status() == NOT_FOUND) {
            revision = 0;
          }
        });
  }

  private String name() {
    return context.settings().name();
  }

  private interface Handler {
    void handle(ControlClient.Outcome outcome) throws IOException;
  }

  private void call(long nowMillis, String method, String target, byte[] body, Handler handler) {
    isCalling = true;
    calledMillis = nowMillis;
    context
        .client()
        .call(
            context.settings().platformAddress(),
            method,
            target,
            body,
            CALL_TIMEOUT_MILLIS,
            outcome -> {
              isCalling = false;
              if (!context.storeEras().isUnchangedBy(outcome)) {
                return;
              }
              try {
                handler.handle(outcome);
              } catch (IOException e) {
                context.log().event("crash-report-unwritten", "detail", e.getMessage());
              }
            });
  }

  private boolean written(ControlClient.Outcome outcome) throws IOException {
    if (outcome.isOk()) {
      revision = StoreFormat.value(StoreFormat.CRASH_REPORTS, outcome.body()).revision();
      context.log().event("crash-report-written", "revision", revision);
    } else if (outcome.status() == NOT_FOUND) {
      revision = 0;
    } else if (outcome.status() == CONFLICT) {
      revision = StoreFormat.value(StoreFormat.CRASH_REPORTS, outcome.body()).revision();
    } else {
      context
          .log()
          .event("crash-report-unwritten", "status", outcome.status(), "detail", outcome.detail());
    }
    return outcome.isOk();
  }

  @Override
  public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
    values.forEach(this::learn);
  }

  @Override
  public void changed(List<Event> events, Moment sent, Moment changedAfter) {
    events.stream().filter(event -> !event.isRemoved()).forEach(event -> learn(event.value()));
  }

  @Override
  public void unavailable(String detail) {
    // The watch of the configuration logs an outage of the store.
  }

  @Override
  public void failed(String detail) {
    context
        .log()
        .event("store-response-unread", "kind", StoreFormat.CRASH_REPORTS, "detail", detail);
  }

  private void learn(StoreObject value) {
    if (value.name().equals(name())) {
      revision = Math.max(revision, value.revision());
    }
    switch (value) {
      case ReadableObject readable -> {
        CrashKnowledge knowledge = CrashFormat.decode(readable.content(), Moment.now());
        if (knowledge.isPlausible()) {
          context.poison().learn(knowledge);
        } else {
          context.logChange("crash-report-unreadable", value.name(), "ids or ages out of range");
        }
      }
      case UnreadableObject unreadable ->
          context.logChange("crash-report-unreadable", unreadable.name(), unreadable.defect());
    }
  }
}
