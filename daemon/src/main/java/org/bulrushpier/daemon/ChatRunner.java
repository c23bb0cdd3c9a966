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
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
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
 * Runs prompts: routes each to an engine, imports its cached blocks, relays the response and
 * resumes an interrupted response with another attempt.
 *
 * <p>Every attempt has its own ID. Only events of the current attempt, with the required weight
 * version and at the next offset, are passed on to the caller. Thread-safe.
 */
final class ChatRunner {

  private static final Logger log = LoggerFactory.getLogger("chat");
  private static final int MAX_INTERRUPTIONS = 4;
  private static final long ANSWER_TIMEOUT_MILLIS = 600_000;
  private static final long MIN_IDLE_TIMEOUT_MILLIS = 2_000;
  private static final long IDLE_TIMEOUT_FACTOR = 4;
  private static final int HTTP_CONFLICT = 409;
  private static final int HTTP_UNAVAILABLE = 503;

  /** Factor by which the first token may come later than estimated and still meet the deadline. */
  private static final double DEADLINE_MARGIN = 1.2;

  private static final long ROUTE_POLL_MILLIS = 20;
  private static final long MAX_ROUTE_WAIT_MILLIS = 5_000;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HttpCaller caller;
  private final UpstreamTable upstreams;
  private final SettingsManager settingsManager;
  private final Router router;
  private final CacheTransferManager transfers;
  private final CacheAffinityTable affinity;
  private final RetryBudget retries =
      RetryBudget.of(RetryBudget.DEFAULT_RATIO, RetryBudget.DEFAULT_RESERVE);
  private final CacheCounters counters;
  private final Clock clock;
  private final Timeline timeline;
  private final IntSupplier liveEntryCount;
  private final BiConsumer<String, Boolean> leavingNotifier;

  ChatRunner(
      HttpCaller caller,
      UpstreamTable upstreams,
      SettingsManager settingsManager,
      Router router,
      CacheTransferManager transfers,
      CacheAffinityTable affinity,
      CacheCounters counters,
      Clock clock,
      Timeline timeline,
      IntSupplier liveEntryCount,
      BiConsumer<String, Boolean> leavingNotifier) {
    this.liveEntryCount = liveEntryCount;
    this.caller = caller;
    this.upstreams = upstreams;
    this.settingsManager = settingsManager;
    this.router = router;
    this.transfers = transfers;
    this.affinity = affinity;
    this.counters = counters;
    this.clock = clock;
    this.timeline = timeline;
    this.leavingNotifier = leavingNotifier;
  }

  /** A chat request to be run. */
  record Job(
      String id,
      Customer customer,
      Deployment deployment,
      ChatRequest request,
      long deadlineMillis) {}

  /** Receives the response. Implementations need not be thread-safe. */
  interface Sink {
    void token(int offset, String content);

    void end(int tokens, ChatChunk.Usage usage);
  }

  /** Runs a prompt until its response is complete. */
  void run(Job job, Sink sink) {
    new Run(job, sink).run();
  }

  /** The result of an attempt. */
  private sealed interface AttemptResult {
    record Completed() implements AttemptResult {}

    record Rejected(String reason) implements AttemptResult {}

    record Interrupted(String reason) implements AttemptResult {}
  }

  /** The state of one prompt. Not thread-safe; confined to one worker thread. */
  private final class Run {

    private final Job job;
    private final Sink sink;
    private final Prompt prompt;
    private final PrefixChain chain;
    private final String modelVersion;
    private final Answer answer;
    private final Set<String> rejectedEngines = new HashSet<>();
    private final Set<String> interruptedEngines = new HashSet<>();
    private StoreLookup stored = StoreLookup.NONE;
    private boolean isSent;

    private Run(Job job, Sink sink) {
      this.job = job;
      this.sink = sink;
      Deployment deployment = job.deployment();
      this.prompt = Prompt.of(job.request().messages());
      this.modelVersion = deployment.model() + "@" + deployment.weightVersion();
      this.chain = PrefixChain.of(job.customer().id(), modelVersion, prompt);
      this.answer = Answer.of(deployment.weightVersion());
    }

    private void run() {
      retries.recordFirstAttempt();
      if (router.policy().usesCacheStores()) {
        stored = transfers.lookup(chain);
      }
      String reason = "no engine with this weight version is usable";
      int interruptions = 0;
      for (int attempt = 1; interruptions < MAX_INTERRUPTIONS && mayContinue(); attempt++) {
        Optional<Route> route = awaitRoute();
        if (route.isEmpty()) {
          break;
        }
        checkDeadline(route.get());
        AttemptResult result = attempt(route.get(), job.id() + "-" + attempt);
        if (result instanceof AttemptResult.Completed) {
          finish(route.get());
          return;
        }
        reason = recordFailure(result, route.get().engine().name());
        log.info("chat: {} attempt {} failed: {}", job.id(), attempt, reason);
        timeline.add("chat", job.id(), "attempt " + attempt + " failed: " + reason);
        if (result instanceof AttemptResult.Interrupted) {
          interruptions++;
          if (!retries.tryRetry()) {
            break;
          }
        }
      }
      throw failure(reason);
    }

    /**
     * Rejects a prompt that was not sent yet if its first token would miss the deadline, since it
     * would only delay others.
     */
    private void checkDeadline(Route route) {
      long remainingMillis = job.deadlineMillis() - clock.millis();
      double bias = upstreams.state(route.engine().name()).map(UpstreamState::bias).orElse(1.0);
      double expected = route.estimateMillis() * bias;
      if (!isSent && expected * DEADLINE_MARGIN > remainingMillis) {
        String message =
            String.format(
                "first token expected in %.0f ms, deadline in %d ms", expected, remainingMillis);
        throw BulrushpierException.notRun(ErrorCode.DEADLINE, message)
            .withRetryAfter(RETRY_AFTER_MILLIS);
      }
    }

    /** The deadline applies to the first token only; a response that has begun is completed. */
    private boolean mayContinue() {
      return answer.tokens() > 0 || clock.millis() < job.deadlineMillis();
    }

    /**
     * Excludes an engine that rejected the request until no route is left, and an engine that broke
     * off the response as long as another one is usable. Returns the reason for the failure.
     */
    private String recordFailure(AttemptResult result, String engine) {
      return switch (result) {
        case AttemptResult.Interrupted r -> {
          interruptedEngines.add(engine);
          yield r.reason();
        }
        case AttemptResult.Rejected r -> {
          rejectedEngines.add(engine);
          yield r.reason();
        }
        case AttemptResult.Completed r -> "";
      };
    }

    private BulrushpierException failure(String reason) {
      if (!isSent) {
        return BulrushpierException.notRun(ErrorCode.NO_UPSTREAM, reason)
            .withRetryAfter(RETRY_AFTER_MILLIS);
      }
      return BulrushpierException.failed(ErrorCode.UPSTREAM_BROKEN, reason);
    }

    /**
     * Waits for a route, since no engine may serve the required version for a moment while weights
     * are being changed.
     */
    private Optional<Route> awaitRoute() {
      Optional<Route> route = chooseRoute();
      long until = Math.min(job.deadlineMillis(), clock.millis() + MAX_ROUTE_WAIT_MILLIS);
      while (route.isEmpty() && clock.millis() < until && sleep()) {
        rejectedEngines.clear();
        route = chooseRoute();
      }
      return route;
    }

    private static boolean sleep() {
      try {
        Thread.sleep(ROUTE_POLL_MILLIS);
        return true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }

    private Optional<Route> chooseRoute() {
      String customer = job.customer().id();
      List<EngineState> engines =
          upstreams.engines(
              settingsManager.settings(),
              job.deployment(),
              affinity,
              customer,
              liveEntryCount.getAsInt());
      List<EngineState> candidates = new ArrayList<>(engines);
      candidates.removeIf(engine -> rejectedEngines.contains(engine.engine().name()));
      if (candidates.stream().anyMatch(engine -> engine.isUsable() && !isInterrupted(engine))) {
        candidates.removeIf(this::isInterrupted);
      }
      Optional<CacheAffinityTable.LastTurn> last = affinity.lastTurn(chain);
      RoutingRequest request =
          new RoutingRequest(
              job.deployment(),
              chain,
              affinity.sharedBlocks(customer, modelVersion, chain),
              last.map(CacheAffinityTable.LastTurn::engine).orElse(""),
              last.map(CacheAffinityTable.LastTurn::blocks).orElse(0),
              last.map(turn -> clock.millis() - turn.millis()).orElse(0L),
              stored,
              transfers.linkRate(stored.store()));
      return router.choose(request, candidates);
    }

    private boolean isInterrupted(EngineState engine) {
      return interruptedEngines.contains(engine.engine().name());
    }

    private AttemptResult attempt(Route route, String attemptId) {
      UpstreamState state = upstreams.state(route.engine().name()).orElseThrow();
      long prefillTokens = route.prefillTokens();
      state.inFlight().incrementAndGet();
      state.pendingTokens().addAndGet(prefillTokens);
      state.recordSend(prefillTokens, clock.millis());
      state.breaker().begin(clock.millis());
      try (PendingPrefill pending = new PendingPrefill(state, prefillTokens, clock.millis())) {
        importBlocks(route);
        timeline.add(
            "chat", job.id(), "sent to " + route.engine().name() + ", cache " + route.source());
        return relay(route, attemptId, state, pending);
      } catch (CallFailedException e) {
        isSent |= e.isSent();
        state.breaker().failed(clock.millis());
        return e.isSent()
            ? new AttemptResult.Interrupted(e.getMessage())
            : new AttemptResult.Rejected(e.getMessage());
      } finally {
        state.inFlight().decrementAndGet();
      }
    }

    /**
     * Imports the stored blocks. The engine skips blocks that it already holds, so the request
     * costs little where they are expected to be cached.
     */
    private void importBlocks(Route route) {
      if (route.source() != Route.Source.RECOMPUTE && !stored.blocks().isEmpty()) {
        Optional<Long> transferredBytes =
            transfers.importBlocks(route.engine(), job.customer().id(), modelVersion, stored);
        transferredBytes.ifPresent(bytes -> updateSurvival(route.engine(), bytes == 0));
      }
    }

    /**
     * Updates the survival time of cached blocks if the engine is the one expected to hold them. An
     * import that transferred no bytes shows that they were still cached.
     */
    private void updateSurvival(Upstream.Engine engine, boolean wereCached) {
      if (engine.name().equals(stored.engine())) {
        upstreams
            .state(engine.name())
            .ifPresent(state -> state.updateSurvival(stored.ageMillis(), wereCached));
      }
    }

    private AttemptResult relay(
        Route route, String attemptId, UpstreamState state, PendingPrefill pending) {
      answer.begin(attemptId);
      try (HttpCaller.ResponseStream stream = caller.open(call(route, attemptId))) {
        if (stream.status() != 200) {
          return rejection(stream, state);
        }
        isSent = true;
        for (Optional<ChatChunk> chunk = stream.next(ChatChunk.class);
            chunk.isPresent();
            chunk = stream.next(ChatChunk.class)) {
          if (pending.tokenReceived(clock.millis())) {
            state.updateBias(route.estimateMillis(), pending.elapsedMillis());
          }
          switch (answer.accept(chunk.get())) {
            case Answer.Step.Token token -> sink.token(answer.tokens() - 1, token.content());
            case Answer.Step.End end -> {
              state.breaker().succeeded();
              return new AttemptResult.Completed();
            }
            case Answer.Step.Ignored ignored ->
                log.info("chat: {} ignored an event: {}", job.id(), ignored.reason());
            case Answer.Step.Interrupted interrupted -> {
              return new AttemptResult.Interrupted(
                  route.engine().name() + ": " + interrupted.reason());
            }
          }
        }
        return new AttemptResult.Interrupted(
            route.engine().name() + ": the response ended without its end event");
      }
    }

    private OutgoingCall call(Route route, String attemptId) {
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
      long idleTimeout =
          Math.max(MIN_IDLE_TIMEOUT_MILLIS, (long) route.estimateMillis() * IDLE_TIMEOUT_FACTOR);
      return OutgoingCall.of("POST", route.engine().address(), "/v1/chat/completions")
          .withJson(body)
          .withTimeout(ANSWER_TIMEOUT_MILLIS)
          .withIdleTimeout(idleTimeout);
    }

    private AttemptResult rejection(HttpCaller.ResponseStream stream, UpstreamState state) {
      String name = state.upstream().name();
      if (stream.status() == HTTP_UNAVAILABLE && stream.headers().containsKey("x-leaving")) {
        if (upstreams.markLeaving(name, "its response")) {
          leavingNotifier.accept(name, true);
        }
        return new AttemptResult.Rejected(name + " is leaving");
      }
      if (stream.status() == HTTP_CONFLICT) {
        state.clearWeightVersion();
        return new AttemptResult.Rejected(name + " serves another weight version");
      }
      if (stream.status() != HTTP_UNAVAILABLE) {
        state.breaker().failed(clock.millis());
        isSent = true;
        return new AttemptResult.Interrupted(name + " responded with status " + stream.status());
      }
      return new AttemptResult.Rejected(name + " is at capacity");
    }

    private void finish(Route route) {
      ChatChunk.Usage usage =
          answer.usage().orElse(new ChatChunk.Usage(chain.tokens(), answer.tokens(), 0));
      sink.end(answer.tokens(), usage);
      counters.recordPrompt(usage.promptTokens(), usage.cachedTokens());
      PrefixChain extendedChain =
          PrefixChain.of(job.customer().id(), modelVersion, prompt.withAnswer(answer.text()));
      affinity.recordTurn(route.engine().name(), job.customer().id(), extendedChain);
      timeline.add(
          "chat",
          job.id(),
          "complete: " + usage.cachedTokens() + " of " + usage.promptTokens() + " tokens cached");
      if (router.policy().usesCacheStores()) {
        transfers.export(route.engine(), job.customer().id(), modelVersion, extendedChain);
      }
    }
  }

  /**
   * Counts the prompt tokens of an attempt as pending until the first token is received. Not
   * thread-safe.
   */
  private static final class PendingPrefill implements AutoCloseable {
    private final UpstreamState state;
    private final long startMillis;
    private long elapsedMillis;
    private long tokens;

    private PendingPrefill(UpstreamState state, long tokens, long startMillis) {
      this.state = state;
      this.tokens = tokens;
      this.startMillis = startMillis;
    }

    /** Records the arrival of a token; returns true if it is the first. */
    private boolean tokenReceived(long nowMillis) {
      boolean isFirst = elapsedMillis == 0;
      elapsedMillis = Math.max(1, nowMillis - startMillis);
      close();
      return isFirst;
    }

    private long elapsedMillis() {
      return elapsedMillis;
    }

    @Override
    public void close() {
      state.pendingTokens().addAndGet(-tokens);
      tokens = 0;
    }
  }
}
