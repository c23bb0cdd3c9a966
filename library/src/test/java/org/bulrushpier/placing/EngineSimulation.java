package org.bulrushpier.placing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.call.PromptPart;

/**
 * A model engine that batches continuously: prompts are prefilled in chunks between the tokens of
 * running requests, and the memory that running requests leave free caches prompt parts. It admits
 * the most urgent waiting request as long as memory and slots permit.
 *
 * <p>Not thread-safe.
 */
final class EngineSimulation {

  private static final double STEP_MILLIS = 3.3;
  private static final double STEP_MILLIS_PER_REQUEST = 0.08;
  private static final double PREFILL_TOKENS_PER_MILLI = 125;
  private static final int CHUNK_TOKENS = 4_096;

  private final long memoryTokens;
  private final int slots;
  private final double prefillTokensPerMilli;
  private final Map<String, Integer> cache = new LinkedHashMap<>(64, 0.75f, true);
  private final List<Run> waiting = new ArrayList<>();
  private final List<Run> running = new ArrayList<>();
  private double clockMillis;
  private long cachedTokens;
  private long prefilledTokens;

  /** One request at the engine. */
  static final class Run {
    private final int priority;
    private final List<PromptPart> parts;
    private final int inputTokens;
    private final int outputTokens;
    private final Runnable onFirstToken;
    private final Runnable onEnd;
    private int toPrefill;
    private int generated;

    Run(
        int priority,
        List<PromptPart> parts,
        int outputTokens,
        Runnable onFirstToken,
        Runnable onEnd) {
      this.priority = priority;
      this.parts = parts;
      this.inputTokens = parts.stream().mapToInt(PromptPart::tokens).sum();
      this.outputTokens = outputTokens;
      this.onFirstToken = onFirstToken;
      this.onEnd = onEnd;
    }

    private int memory() {
      return inputTokens + generated;
    }
  }

  EngineSimulation(long memoryTokens, int slots) {
    this(memoryTokens, slots, PREFILL_TOKENS_PER_MILLI);
  }

  EngineSimulation(long memoryTokens, int slots, double prefillTokensPerMilli) {
    this.memoryTokens = memoryTokens;
    this.slots = slots;
    this.prefillTokensPerMilli = prefillTokensPerMilli;
  }

  void submit(Run run) {
    waiting.add(run);
    waiting.sort(Comparator.comparingInt(waitingRun -> waitingRun.priority));
  }

  int runningRequests() {
    return running.size();
  }

  int waitingRequests() {
    return waiting.size();
  }

  long prefilledTokens() {
    return prefilledTokens;
  }

  /** Drops all cached parts, as after a change of weights. */
  void dropCache() {
    cache.clear();
    cachedTokens = 0;
  }

  void advanceTo(double millis) {
    while (clockMillis < millis) {
      admit();
      if (running.isEmpty()) {
        clockMillis = millis;
        return;
      }
      step();
    }
  }

  private void admit() {
    long used = running.stream().mapToLong(Run::memory).sum();
    while (!waiting.isEmpty() && running.size() < slots) {
      Run next = waiting.get(0);
      if (!running.isEmpty() && used + next.memory() > memoryTokens) {
        break;
      }
      waiting.remove(0);
      used += next.memory();
      next.toPrefill = next.inputTokens - cachedPrefix(next);
      running.add(next);
    }
    evict(memoryTokens - used);
  }

  private int cachedPrefix(Run run) {
    int tokens = 0;
    for (PromptPart part : run.parts) {
      if (cache.get(part.id()) == null) {
        break;
      }
      tokens += part.tokens();
    }
    return tokens;
  }

  private void evict(long room) {
    Iterator<Integer> eldest = cache.values().iterator();
    while (cachedTokens > room && eldest.hasNext()) {
      cachedTokens -= eldest.next();
      eldest.remove();
    }
  }

  private void step() {
    int chunk = CHUNK_TOKENS;
    List<Run> ended = new ArrayList<>();
    for (Run run : running) {
      if (run.toPrefill > 0) {
        int tokens = Math.min(chunk, run.toPrefill);
        run.toPrefill -= tokens;
        chunk -= tokens;
        prefilledTokens += tokens;
      } else if (run.generated++ == 0) {
        run.onFirstToken.run();
      } else if (run.generated >= run.outputTokens) {
        ended.add(run);
      }
    }
    clockMillis +=
        STEP_MILLIS
            + running.size() * STEP_MILLIS_PER_REQUEST
            + (CHUNK_TOKENS - chunk) / prefillTokensPerMilli;
    for (Run run : ended) {
      running.remove(run);
      for (PromptPart part : run.parts) {
        if (cache.put(part.id(), part.tokens()) == null) {
          cachedTokens += part.tokens();
        }
      }
      run.onEnd.run();
    }
  }
}
