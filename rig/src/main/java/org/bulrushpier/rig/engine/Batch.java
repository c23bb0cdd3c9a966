package org.bulrushpier.rig.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.bulrushpier.rig.Faults;

/**
 * Simulates continuous batching: each step prefills a chunk of the waiting prompts and decodes one
 * token for every running stream.
 *
 * <p>Thread-safe. Guarded by one lock, which is not held while the duration of a step elapses.
 */
final class Batch {

  private static final int PREFILL_CHUNK_TOKENS = 256;
  private static final long IDLE_NANOS = 1_000_000;
  private static final double NANOS_PER_MILLI = 1e6;

  private final StepTiming timing;
  private final Faults faults;
  private final List<Sequence> sequences = new ArrayList<>();

  Batch(StepTiming timing, Faults faults) {
    this.timing = timing;
    this.faults = faults;
  }

  synchronized void add(Sequence sequence) {
    sequences.add(sequence);
  }

  synchronized int size() {
    return sequences.size();
  }

  synchronized int running() {
    return (int) sequences.stream().filter(Sequence::isPrefilled).count();
  }

  synchronized long backlogTokens() {
    return sequences.stream().mapToLong(Sequence::waitingTokens).sum();
  }

  /** Runs batch steps until the process exits. */
  void run() {
    double stepEndNanos = System.nanoTime();
    while (true) {
      if (faults.value("freeze") > 0) {
        Faults.sleep(10);
        continue;
      }
      double stepMillis = step() * Math.max(1, faults.value("slow-factor"));
      double now = System.nanoTime();
      if (stepMillis == 0) {
        LockSupport.parkNanos(IDLE_NANOS);
        stepEndNanos = System.nanoTime();
        continue;
      }
      stepEndNanos =
          Math.max(stepEndNanos, now - stepMillis * NANOS_PER_MILLI) + stepMillis * NANOS_PER_MILLI;
      waitUntil(stepEndNanos);
      emit();
    }
  }

  private static void waitUntil(double nanos) {
    for (double remaining = nanos - System.nanoTime();
        remaining > 0;
        remaining = nanos - System.nanoTime()) {
      LockSupport.parkNanos((long) remaining);
    }
  }

  /**
   * Prefills waiting prompts and returns the duration of the step in milliseconds. The step's
   * tokens are emitted by {@link #emit} after that time.
   */
  private synchronized double step() {
    sequences.removeIf(Sequence::isCancelled);
    int streams = running();
    int budget = PREFILL_CHUNK_TOKENS;
    int computed = 0;
    for (Sequence sequence : waitingByPriority()) {
      sequence.loadCachedPrefix();
      int processed = sequence.prefill(budget - computed);
      computed += processed;
      if (computed == budget) {
        break;
      }
    }
    return timing.stepMillis(computed, Math.max(streams, running()));
  }

  private List<Sequence> waitingByPriority() {
    Comparator<Sequence> byPriority = Comparator.comparingInt(s -> -s.request().priority());
    return sequences.stream().filter(s -> !s.isPrefilled()).sorted(byPriority).toList();
  }

  private synchronized void emit() {
    List<Sequence> finished = new ArrayList<>();
    for (Sequence sequence : sequences) {
      if (sequence.isPrefilled() && !sequence.isCancelled()) {
        if (!sequence.isDone()) {
          sequence.decode();
        }
        if (sequence.isDone()) {
          sequence.finish();
          finished.add(sequence);
        }
      }
    }
    sequences.removeAll(finished);
  }
}
