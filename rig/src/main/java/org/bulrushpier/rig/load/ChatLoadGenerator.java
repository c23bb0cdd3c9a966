package org.bulrushpier.rig.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.stream.ChatChunk;
import org.bulrushpier.stream.ChatRequest;

/**
 * Open-loop load generator that runs a {@link Workload} against a site. Arrivals do not wait for
 * earlier answers, and the time to the first token is measured from the intended start, which
 * avoids coordinated omission.
 *
 * <p>Thread-safe.
 */
public final class ChatLoadGenerator {

  private static final long MAX_LATENCY_MILLIS = 120_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Site site;
  private final Workload workload;
  private final long measuredFromMillis;
  private final Predicate<Workload.Turn> isMeasured;
  private final Histogram firstTokenMillis =
      new ConcurrentHistogram(MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS);
  private final Histogram betweenTokensMillis =
      new ConcurrentHistogram(MAX_LATENCY_MILLIS, SIGNIFICANT_DIGITS);
  private final AtomicLong promptTokens = new AtomicLong();
  private final AtomicLong cachedTokens = new AtomicLong();
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong inDeadline = new AtomicLong();
  private final AtomicLong wrong = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private long deadlineMillis = Long.MAX_VALUE;

  /**
   * Creates a load generator.
   *
   * @param site the running site
   * @param workload the arrivals
   * @param measuredFromMillis the end of the warm-up; earlier arrivals are not measured
   * @param isMeasured selects the arrivals after the warm-up that are measured
   */
  public ChatLoadGenerator(
      Site site, Workload workload, long measuredFromMillis, Predicate<Workload.Turn> isMeasured) {
    this.site = site;
    this.workload = workload;
    this.measuredFromMillis = measuredFromMillis;
    this.isMeasured = isMeasured;
  }

  /**
   * Sets the deadline for the first token; answers that meet it count as goodput.
   *
   * @param millis the time from the intended start, in milliseconds
   */
  public void setDeadline(long millis) {
    deadlineMillis = millis;
  }

  /** Runs the workload and waits until every call has completed. */
  public void run() {
    long startNanos = System.nanoTime();
    List<Thread> calls = new ArrayList<>();
    for (Workload.Turn turn : workload.turns()) {
      long intendedNanos = startNanos + (long) (turn.atMillis() * NANOS_PER_MILLI);
      Faults.sleep((long) ((intendedNanos - System.nanoTime()) / NANOS_PER_MILLI));
      calls.add(Thread.ofVirtual().start(() -> sendTurn(turn, intendedNanos)));
    }
    for (Thread call : calls) {
      join(call);
    }
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendTurn(Workload.Turn turn, long intendedNanos) {
    boolean measured = turn.atMillis() >= measuredFromMillis && isMeasured.test(turn);
    List<String> entries = site.entries();
    String entry = entries.get(turn.entry() % entries.size());
    OutgoingCall call =
        OutgoingCall.of("POST", site.address(entry), "/v1/chat/completions")
            .withHeader("Authorization", "Bearer " + Site.customerKey(turn.customer()))
            .withJson(new ChatRequest(Site.DEPLOYMENT, turn.messages(), true, turn.answerTokens()))
            .withTimeout(MAX_LATENCY_MILLIS);
    try (HttpCaller.ResponseStream stream = site.caller().open(call)) {
      if (stream.status() != 200) {
        increment(measured, refused);
        return;
      }
      readAnswer(turn, intendedNanos, measured, stream);
    } catch (CallFailedException e) {
      increment(measured, failed);
    }
  }

  private void readAnswer(
      Workload.Turn turn, long intendedNanos, boolean measured, HttpCaller.ResponseStream stream) {
    StringBuilder text = new StringBuilder();
    long lastNanos = 0;
    long firstNanos = 0;
    for (Optional<ChatChunk> chunk = stream.next(ChatChunk.class);
        chunk.isPresent();
        chunk = stream.next(ChatChunk.class)) {
      long now = System.nanoTime();
      if (chunk.get().isEnd()) {
        recordAnswer(
            turn,
            measured,
            text.toString(),
            chunk.get().usage(),
            millis(firstNanos - intendedNanos));
        continue;
      }
      if (measured) {
        (lastNanos == 0 ? firstTokenMillis : betweenTokensMillis)
            .recordValue(millis(now - (lastNanos == 0 ? intendedNanos : lastNanos)));
      }
      firstNanos = firstNanos == 0 ? now : firstNanos;
      lastNanos = now;
      text.append(chunk.get().content());
    }
  }

  private static long millis(long nanos) {
    return Math.min(MAX_LATENCY_MILLIS, Math.max(0, Math.round(nanos / NANOS_PER_MILLI)));
  }

  private void recordAnswer(
      Workload.Turn turn, boolean measured, String text, ChatChunk.Usage usage, long firstMillis) {
    if (!text.equals(turn.answer())) {
      wrong.incrementAndGet();
    }
    if (measured) {
      answered.incrementAndGet();
      promptTokens.addAndGet(usage.promptTokens());
      cachedTokens.addAndGet(usage.cachedTokens());
      if (firstMillis <= deadlineMillis) {
        inDeadline.incrementAndGet();
      }
    }
  }

  private static void increment(boolean measured, AtomicLong counter) {
    if (measured) {
      counter.incrementAndGet();
    }
  }

  /**
   * Returns the results.
   *
   * @return the results measured so far
   */
  public Results results() {
    double prompt = Math.max(1, promptTokens.get());
    return new Results(
        answered.get(),
        refused.get(),
        failed.get(),
        wrong.get(),
        inDeadline.get(),
        firstTokenMillis.getValueAtPercentile(50),
        firstTokenMillis.getValueAtPercentile(95),
        firstTokenMillis.getValueAtPercentile(99),
        betweenTokensMillis.getValueAtPercentile(95),
        Rounded.of((prompt - cachedTokens.get()) / prompt));
  }

  /**
   * The results of a run. Immutable and thread-safe.
   *
   * @param answered complete answers
   * @param refused calls that were answered with a status other than 200
   * @param failed calls that did not receive a complete response
   * @param wrong answers with an incorrect text, counted over all arrivals, measured or not
   * @param inDeadline answers whose first token arrived within the deadline
   * @param firstTokenP50 median time to the first token, in milliseconds
   * @param firstTokenP95 95th percentile of the time to the first token, in milliseconds
   * @param firstTokenP99 99th percentile of the time to the first token, in milliseconds
   * @param betweenTokensP95 95th percentile of the time between tokens, in milliseconds
   * @param recomputedShare the share of prompt tokens that were not read from a cache
   */
  public record Results(
      long answered,
      long refused,
      long failed,
      long wrong,
      long inDeadline,
      long firstTokenP50,
      long firstTokenP95,
      long firstTokenP99,
      long betweenTokensP95,
      double recomputedShare) {}
}
