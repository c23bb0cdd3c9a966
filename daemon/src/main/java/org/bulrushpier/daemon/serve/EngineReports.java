package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.function.Consumer;
import org.bulrushpier.adapter.EngineFormat;
import org.bulrushpier.replica.Replica;

/**
 * Asks engines for reports of their state.
 *
 * <p>Guarded by the loop's lock.
 */
final class EngineReports {

  private final ControlClient client;
  private final EventLog log;

  EngineReports(ControlClient client, EventLog log) {
    this.client = client;
    this.log = log;
  }

  /** What came of a question. Implementations are immutable and thread-safe. */
  sealed interface Answer {

    /**
     * The engine has answered.
     *
     * @param report its state
     */
    record Told(EngineFormat.Report report) implements Answer {}

    /** Nothing listens at the engine's address, or it takes no more connections. */
    record Refused() implements Answer {}

    /** There was no report, or none that can be read. */
    record Nothing() implements Answer {}
  }

  /** Asks an engine; the consumer is called once. */
  void ask(Replica engine, long timeoutMillis, Consumer<Answer> consumer) {
    client.call(
        engine.entry().address(),
        "GET",
        EngineFormat.REPORT,
        new byte[0],
        timeoutMillis,
        outcome -> consumer.accept(answer(engine, outcome)));
  }

  private Answer answer(Replica engine, ControlClient.Outcome outcome) {
    if (!outcome.isOk()) {
      return outcome.isRefused() ? new Answer.Refused() : new Answer.Nothing();
    }
    try {
      return new Answer.Told(EngineFormat.report(outcome.body()));
    } catch (IOException e) {
      log.event("report-unreadable", "replica", engine.entry().id(), "detail", e.getMessage());
      return new Answer.Nothing();
    }
  }
}
