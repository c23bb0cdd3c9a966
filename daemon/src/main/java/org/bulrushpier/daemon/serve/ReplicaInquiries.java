package org.bulrushpier.daemon.serve;

import java.util.Map;
import java.util.WeakHashMap;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.EngineFormat;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.survival.Inquiry;
import org.bulrushpier.survival.SilenceWatch;

/**
 * Asks engines for their reports to find out whether they are alive. All requests of this instance
 * share the answers.
 *
 * <p>Guarded by the loop's lock.
 */
final class ReplicaInquiries {

  /** Timeout of a call, in milliseconds; an answer that comes later proves nothing. */
  private static final long TIMEOUT_MILLIS = 1_000;

  private final ControlClient client;
  private final Map<Replica, Inquiry> inquiries = new WeakHashMap<>();

  ReplicaInquiries(ControlClient client) {
    this.client = client;
  }

  /** Returns when an engine was asked and has answered. */
  Inquiry of(Replica engine) {
    return inquiries.computeIfAbsent(engine, key -> new Inquiry());
  }

  /** Asks an engine unless it has been asked recently. */
  void ask(Replica engine) {
    Inquiry inquiry = of(engine);
    long now = MonotonicClock.millis();
    if (!inquiry.isDue(SilenceWatch.REPEAT_MILLIS, now)) {
      return;
    }
    inquiry.asked(now);
    client.call(
        engine.entry().address(),
        "GET",
        EngineFormat.REPORT,
        new byte[0],
        TIMEOUT_MILLIS,
        outcome -> {
          if (outcome.status() != ControlClient.NO_RESPONSE) {
            inquiry.answered(MonotonicClock.millis());
          }
        });
  }
}
