package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Clock;
import org.bulrushpier.Customer;
import org.bulrushpier.Deployment;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Upstream;
import org.bulrushpier.cache.PrefixChain;
import org.bulrushpier.cache.Prompt;
import org.bulrushpier.cache.StoreLookup;
import org.bulrushpier.daemon.http.CallFailed;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutCall;
import org.bulrushpier.limit.RetryBudget;
import org.bulrushpier.routing.EngineState;
import org.bulrushpier.routing.Route;
import org.bulrushpier.routing.Router;
import org.bulrushpier.routing.RoutingRequest;
import org.bulrushpier.stream.Answer;
import org.bulrushpier.stream.ChatChunk;
import org.bulrushpier.stream.ChatRequest;
import org.bulrushpier.stream.EngineRequest;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one prompt: routes it, brings its cache, relays the answer and continues a broken one.
 *
 * <p>Every attempt has its own id; only events of the running attempt, of the wanted weight version
 * and at the next offset reach the caller. Thread-safe.
 */
final class ChatRunner {

  private static final Logger log = LoggerFactory.getLogger("chat");
  private static final int MAX_ATTEMPTS = 4;
  private static final long WHOLE_ANSWER_MILLIS = 600_000;
  private static final long LEAST_SILENCE_MILLIS = 2_000;
  private static final long SILENCE_FACTOR = 4;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  /** How much later than estimated a first token may come and still be in time. */
  private static final double DEADLINE_MARGIN = 1.2;

  private static final long WAIT_MILLIS = 20;
  private static final long LONGEST_WAIT_MILLIS = 5_000;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HttpCaller caller;
  private final UpstreamTable upstreams;
  private final SettingsKeeper keeper;
  private final Router router;
  private final CacheMover mover;
  private final WarmTable warm;
  private final RetryBudget retries =
      RetryBudget.of(RetryBudget.DEFAULT_RATIO, RetryBudget.DEFAULT_RESERVE);
  private final CacheCounters counters;
  private final Clock clock;
  private final Timeline timeline;
  private final IntSupplier entryCount;
  private final BiConsumer<String, Boolean> leavingTeller;

  ChatRunner(
      HttpCaller caller,
      UpstreamTable upstreams,
      SettingsKeeper keeper,
      Router router,
      CacheMover mover,
      WarmTable warm,
      CacheCounters counters,
      Clock clock,
      Timeline timeline,
      IntSupplier entryCount,
      BiConsumer<String, Boolean> leavingTeller) {
    this.entryCount = entryCount;
    this.caller = caller;
    this.upstreams = upstreams;
    this.keeper = keeper;
    this.router = router;
    this.mover = mover;
    this.warm = warm;
    this.counters = counters;
    this.clock = clock;
    this.timeline = timeline;
    this.leavingTeller = leavingTeller;
  }

  /** A prompt to be run. */
  record Job(
      String id,
      Customer customer,
      Deployment deployment,
      ChatRequest request,
      long deadlineMillis) {}

  /** Takes the answer; implementations need not be thread-safe. */
  interface Sink {
    void token(int offset, String content);

    void end(int tokens, ChatChunk.Usage usage);
  }

  /** Runs a prompt to its end. */
  void run(Job job, Sink sink) {
    new Run(job, sink).run();
  }

  /** How an attempt ended. */
  private sealed interface End {
    record Whole() implements End {}

    record Refused(String reason) implements End {}

    record Broken(String reason) implements End {}
  }

  /** The state of one prompt. Not thread-safe; one worker owns it. */
  private final class Run {

    private final Job job;
    private final Sink sink;
    private final Prompt prompt;
    private final PrefixChain chain;
    private final String keyVersion;
    private final Answer answer;
    private final Set<String> refused = new HashSet<>();
    private final Set<String> broken = new HashSet<>();
    private StoreLookup stored = StoreLookup.NONE;
    private boolean isSent;

    private Run(Job job, Sink sink) {
      this.job = job;
      this.sink = sink;
      Deployment deployment = job.deployment();
      this.prompt = Prompt.of(job.request().messages());
      this.keyVersion = deployment.model() + "@" + deployment.weightVersion();
      this.chain = PrefixChain.of(job.customer().id(), keyVersion, prompt);
      this.answer = Answer.of(deployment.weightVersion());
    }

    private void run() {
      retries.firstTry();
      if (router.policy().isStoring()) {
        stored = mover.lookup(chain);
      }
      String reason = "no engine of this version is usable";
      int breaks = 0;
      for (int attempt = 1; breaks < MAX_ATTEMPTS && isWorthTrying(); attempt++) {
        Optional<Route> route = awaitRoute();
        if (route.isEmpty()) {
          break;
        }
        checkInTime(route.get());
        End end = attempt(route.get(), job.id() + "-" + attempt);
        if (end instanceof End.Whole) {
          finish(route.get());
          return;
        }
        reason = note(end, route.get().engine().name());
        log.info("chat: {} attempt {} failed: {}", job.id(), attempt, reason);
        timeline.add("chat", job.id(), "attempt " + attempt + " failed: " + reason);
        if (end instanceof End.Broken) {
          breaks++;
          if (!retries.tryRetry()) {
            break;
          }
        }
      }
      throw failure(reason);
    }

    /** A prompt that cannot have its first token in time only delays others. */
    private void checkInTime(Route route) {
      long left = job.deadlineMillis() - clock.millis();
      double bias = upstreams.state(route.engine().name()).map(UpstreamState::bias).orElse(1.0);
      double expected = route.estimateMillis() * bias;
      if (!isSent && expected * DEADLINE_MARGIN > left) {
        String message = String.format("first token in %.0f ms, deadline in %d ms", expected, left);
        throw BulrushpierException.notRun(ErrorCode.DEADLINE, message)
            .withRetryAfter(RETRY_AFTER_MILLIS);
      }
    }

    /** The deadline is for the first token; an answer that has begun is brought to its end. */
    private boolean isWorthTrying() {
      return answer.tokens() > 0 || clock.millis() < job.deadlineMillis();
    }

    /** An engine that refused is not asked again; one that broke off only when no other is left. */
    private String note(End end, String engine) {
      return switch (end) {
        case End.Broken e -> {
          broken.add(engine);
          yield e.reason();
        }
        case End.Refused e -> {
          refused.add(engine);
          yield e.reason();
        }
        case End.Whole e -> "";
      };
    }

    private BulrushpierException failure(String reason) {
      if (!isSent) {
        return BulrushpierException.notRun(ErrorCode.NO_UPSTREAM, reason)
            .withRetryAfter(RETRY_AFTER_MILLIS);
      }
      return BulrushpierException.failed(ErrorCode.UPSTREAM_BROKEN, reason);
    }

    /** While weights are being swapped no engine may serve the wanted version for a moment. */
    private Optional<Route> awaitRoute() {
      Optional<Route> route = choose();
      long until = Math.min(job.deadlineMillis(), clock.millis() + LONGEST_WAIT_MILLIS);
      while (route.isEmpty() && clock.millis() < until && sleep()) {
        refused.clear();
        route = choose();
      }
      return route;
    }

    private static boolean sleep() {
      try {
        Thread.sleep(WAIT_MILLIS);
        return true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }

    private Optional<Route> choose() {
      String customer = job.customer().id();
      List<EngineState> engines =
          upstreams.engines(
              keeper.settings(), job.deployment(), warm, customer, entryCount.getAsInt());
      List<EngineState> untried = new ArrayList<>(engines);
      untried.removeIf(engine -> refused.contains(engine.engine().name()));
      if (untried.stream().anyMatch(engine -> engine.isUsable() && !isBroken(engine))) {
        untried.removeIf(this::isBroken);
      }
      Optional<WarmTable.LastTurn> last = warm.lastTurn(chain);
      RoutingRequest request =
          new RoutingRequest(
              job.deployment(),
              chain,
              warm.sharedBlocks(customer, keyVersion, chain),
              last.map(WarmTable.LastTurn::engine).orElse(""),
              last.map(WarmTable.LastTurn::blocks).orElse(0),
              last.map(turn -> clock.millis() - turn.millis()).orElse(0L),
              stored,
              mover.linkRate(stored.store()));
      return router.choose(request, untried);
    }

    private boolean isBroken(EngineState engine) {
      return broken.contains(engine.engine().name());
    }

    private End attempt(Route route, String attemptId) {
      UpstreamState state = upstreams.state(route.engine().name()).orElseThrow();
      long rest = route.prefillTokens();
      state.inFlight().incrementAndGet();
      state.sentTokens().addAndGet(rest);
      state.sent(rest, clock.millis());
      state.breaker().begin(clock.millis());
      try (Backlog backlog = new Backlog(state, rest, clock.millis())) {
        bring(route);
        timeline.add(
            "chat", job.id(), "sent to " + route.engine().name() + ", cache " + route.source());
        return relay(route, attemptId, state, backlog);
      } catch (CallFailed e) {
        isSent |= e.isSent();
        state.breaker().failed(clock.millis());
        return e.isSent() ? new End.Broken(e.getMessage()) : new End.Refused(e.getMessage());
      } finally {
        state.inFlight().decrementAndGet();
      }
    }

    /** The engine skips blocks it holds, so asking costs little where they are expected there. */
    private void bring(Route route) {
      if (route.source() != Route.Source.RECOMPUTE && !stored.blocks().isEmpty()) {
        Optional<Long> moved = mover.bring(route.engine(), job.customer().id(), keyVersion, stored);
        moved.ifPresent(bytes -> learn(route.engine(), bytes == 0));
      }
    }

    /** Compares what was expected in the engine's memory with what was found there. */
    private void learn(Upstream.Engine engine, boolean wereThere) {
      if (engine.name().equals(stored.engine())) {
        upstreams
            .state(engine.name())
            .ifPresent(state -> state.learnSurvival(stored.ageMillis(), wereThere));
      }
    }

    private End relay(Route route, String attemptId, UpstreamState state, Backlog backlog) {
      answer.begin(attemptId);
      try (HttpCaller.Stream stream = caller.open(call(route, attemptId))) {
        if (stream.status() != 200) {
          return refused(stream, state);
        }
        isSent = true;
        for (Optional<ChatChunk> chunk = stream.next(ChatChunk.class);
            chunk.isPresent();
            chunk = stream.next(ChatChunk.class)) {
          if (backlog.tokenCame(clock.millis())) {
            state.learnDelay(route.estimateMillis(), backlog.tookMillis());
          }
          switch (answer.accept(chunk.get())) {
            case Answer.Step.Token token -> sink.token(answer.tokens() - 1, token.content());
            case Answer.Step.End end -> {
              state.breaker().succeeded();
              return new End.Whole();
            }
            case Answer.Step.Dropped dropped ->
                log.info("chat: {} dropped an event: {}", job.id(), dropped.reason());
            case Answer.Step.Broken step -> {
              return new End.Broken(route.engine().name() + ": " + step.reason());
            }
          }
        }
        return new End.Broken(route.engine().name() + ": the answer ended without its end mark");
      }
    }

    private OutCall call(Route route, String attemptId) {
      EngineRequest body =
          new EngineRequest(
              job.deployment().model(),
              job.request().messages(),
              job.request().maxAnswerTokens(),
              attemptId,
              job.customer().id(),
              job.deployment().weightVersion(),
              job.customer().priority(),
              answer.text(),
              answer.tokens());
      long silence = Math.max(LEAST_SILENCE_MILLIS, (long) route.estimateMillis() * SILENCE_FACTOR);
      return OutCall.of("POST", route.engine().address(), "/v1/chat/completions")
          .withJson(body)
          .withTimeout(WHOLE_ANSWER_MILLIS)
          .withIdle(silence);
    }

    private End refused(HttpCaller.Stream stream, UpstreamState state) {
      String name = state.upstream().name();
      if (stream.status() == UNAVAILABLE && stream.headers().containsKey("x-leaving")) {
        if (upstreams.leaving(name, "its answer")) {
          leavingTeller.accept(name, true);
        }
        return new End.Refused(name + " is leaving");
      }
      if (stream.status() == CONFLICT) {
        state.forgetVersion();
        return new End.Refused(name + " serves another weight version");
      }
      if (stream.status() != UNAVAILABLE) {
        state.breaker().failed(clock.millis());
        isSent = true;
        return new End.Broken(name + " answered " + stream.status());
      }
      return new End.Refused(name + " is full");
    }

    private void finish(Route route) {
      ChatChunk.Usage usage =
          answer.usage().orElse(new ChatChunk.Usage(chain.tokens(), answer.tokens(), 0));
      sink.end(answer.tokens(), usage);
      counters.answered(usage.promptTokens(), usage.cachedTokens());
      PrefixChain longer =
          PrefixChain.of(job.customer().id(), keyVersion, prompt.withAnswer(answer.text()));
      warm.sent(route.engine().name(), job.customer().id(), longer);
      timeline.add(
          "chat",
          job.id(),
          "whole: " + usage.cachedTokens() + " of " + usage.promptTokens() + " tokens cached");
      if (router.policy().isStoring()) {
        mover.export(route.engine(), job.customer().id(), keyVersion, longer);
      }
    }
  }

  /** Counts sent prompt tokens until the first token comes back. Not thread-safe. */
  private static final class Backlog implements AutoCloseable {
    private final UpstreamState state;
    private final long begunMillis;
    private long tookMillis;
    private long tokens;

    private Backlog(UpstreamState state, long tokens, long begunMillis) {
      this.state = state;
      this.tokens = tokens;
      this.begunMillis = begunMillis;
    }

    /** Takes note of a token; returns true if it is the first. */
    private boolean tokenCame(long nowMillis) {
      boolean isFirst = tookMillis == 0;
      tookMillis = Math.max(1, nowMillis - begunMillis);
      close();
      return isFirst;
    }

    private long tookMillis() {
      return tookMillis;
    }

    @Override
    public void close() {
      state.sentTokens().addAndGet(-tokens);
      tokens = 0;
    }
  }
}
