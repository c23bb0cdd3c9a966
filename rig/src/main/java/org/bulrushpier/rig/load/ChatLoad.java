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
 * Drives a workload open-loop against a site: arrivals never wait for answers, and the time to the
 * first token counts from the intended start.
 *
 * <p>Thread-safe.
 */
public final class ChatLoad {

  private static final long LONGEST_MILLIS = 120_000;
  private static final int DIGITS = 3;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Site site;
  private final Workload workload;
  private final long measuredFromMillis;
  private final Predicate<Workload.Turn> isMeasured;
  private final Histogram firstToken = new ConcurrentHistogram(LONGEST_MILLIS, DIGITS);
  private final Histogram betweenTokens = new ConcurrentHistogram(LONGEST_MILLIS, DIGITS);
  private final AtomicLong promptTokens = new AtomicLong();
  private final AtomicLong cachedTokens = new AtomicLong();
  private final AtomicLong done = new AtomicLong();
  private final AtomicLong inDeadline = new AtomicLong();
  private final AtomicLong wrong = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private long deadlineMillis = Long.MAX_VALUE;

  /**
   * Creates a run.
   *
   * @param site the running site
   * @param workload the arrivals
   * @param measuredFromMillis arrivals before this warm the site up and are not measured
   * @param isMeasured which of the others are measured
   */
  public ChatLoad(
      Site site, Workload workload, long measuredFromMillis, Predicate<Workload.Turn> isMeasured) {
    this.site = site;
    this.workload = workload;
    this.measuredFromMillis = measuredFromMillis;
    this.isMeasured = isMeasured;
  }

  /**
   * Sets the time within which a first token counts as good.
   *
   * @param millis the time from the intended start
   */
  public void setDeadline(long millis) {
    deadlineMillis = millis;
  }

  /** Runs the whole workload and waits for every answer. */
  public void run() {
    long begun = System.nanoTime();
    List<Thread> calls = new ArrayList<>();
    for (Workload.Turn turn : workload.turns()) {
      long due = begun + (long) (turn.atMillis() * NANOS_PER_MILLI);
      Faults.sleep((long) ((due - System.nanoTime()) / NANOS_PER_MILLI));
      calls.add(Thread.ofVirtual().start(() -> ask(turn, due)));
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

  private void ask(Workload.Turn turn, long due) {
    boolean counts = turn.atMillis() >= measuredFromMillis && isMeasured.test(turn);
    List<String> entries = site.entries();
    String entry = entries.get(turn.entry() % entries.size());
    OutgoingCall call =
        OutgoingCall.of("POST", site.address(entry), "/v1/chat/completions")
            .withHeader("Authorization", "Bearer " + Site.customerKey(turn.customer()))
            .withJson(new ChatRequest(Site.DEPLOYMENT, turn.messages(), true, turn.answerTokens()))
            .withTimeout(LONGEST_MILLIS);
    try (HttpCaller.Stream stream = site.caller().open(call)) {
      if (stream.status() != 200) {
        count(counts, refused);
        return;
      }
      read(turn, due, counts, stream);
    } catch (CallFailedException e) {
      count(counts, failed);
    }
  }

  private void read(Workload.Turn turn, long due, boolean counts, HttpCaller.Stream stream) {
    StringBuilder text = new StringBuilder();
    long last = 0;
    long first = 0;
    for (Optional<ChatChunk> chunk = stream.next(ChatChunk.class);
        chunk.isPresent();
        chunk = stream.next(ChatChunk.class)) {
      long now = System.nanoTime();
      if (chunk.get().isEnd()) {
        finish(turn, counts, text.toString(), chunk.get().usage(), millis(first - due));
        continue;
      }
      if (counts) {
        (last == 0 ? firstToken : betweenTokens)
            .recordValue(millis(now - (last == 0 ? due : last)));
      }
      first = first == 0 ? now : first;
      last = now;
      text.append(chunk.get().content());
    }
  }

  private static long millis(long nanos) {
    return Math.min(LONGEST_MILLIS, Math.max(0, Math.round(nanos / NANOS_PER_MILLI)));
  }

  private void finish(
      Workload.Turn turn, boolean counts, String text, ChatChunk.Usage usage, long firstMillis) {
    if (!text.equals(turn.answer())) {
      wrong.incrementAndGet();
    }
    if (counts) {
      done.incrementAndGet();
      promptTokens.addAndGet(usage.promptTokens());
      cachedTokens.addAndGet(usage.cachedTokens());
      if (firstMillis <= deadlineMillis) {
        inDeadline.incrementAndGet();
      }
    }
  }

  private static void count(boolean counts, AtomicLong counter) {
    if (counts) {
      counter.incrementAndGet();
    }
  }

  /**
   * Returns the figures.
   *
   * @return what was measured so far
   */
  public Figures figures() {
    double prompt = Math.max(1, promptTokens.get());
    return new Figures(
        done.get(),
        refused.get(),
        failed.get(),
        wrong.get(),
        inDeadline.get(),
        firstToken.getValueAtPercentile(50),
        firstToken.getValueAtPercentile(95),
        firstToken.getValueAtPercentile(99),
        betweenTokens.getValueAtPercentile(95),
        Rounded.of((prompt - cachedTokens.get()) / prompt));
  }

  /**
   * What a run came to. Immutable and thread-safe.
   *
   * @param answered whole answers
   * @param refused refusals
   * @param failed broken calls
   * @param wrong answers with a wrong text, of all arrivals
   * @param inDeadline answers whose first token came in time
   * @param firstTokenP50 milliseconds
   * @param firstTokenP95 milliseconds
   * @param firstTokenP99 milliseconds
   * @param betweenTokensP95 milliseconds
   * @param recomputedShare prompt tokens not taken from cache, of all
   */
  public record Figures(
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
