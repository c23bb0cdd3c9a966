package org.bulrushpier.daemon;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.BiConsumer;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Clock;
import org.bulrushpier.Contract;
import org.bulrushpier.Customer;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Hash;
import org.bulrushpier.Upstream;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.ledger.LedgerAnswer;
import org.bulrushpier.ledger.LedgerRecord;
import org.bulrushpier.ledger.Outcome;
import org.bulrushpier.limit.Permit;
import org.bulrushpier.limit.RetryBudget;
import org.bulrushpier.settings.Settings;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards calls to plain services according to their contracts.
 *
 * <p>An idempotent call may be retried within the retry budget. Any other call is sent at most
 * once; with an idempotency key, it is claimed in the ledger before its first byte is sent
 * upstream. Thread-safe.
 */
final class ServiceHandler {

  private static final Logger log = LoggerFactory.getLogger("service");
  private static final String PREFIX = "/services/";
  private static final int MAX_BODY_BYTES = 1_000_000;
  private static final int MAX_RECORDED_BYTES = 65_536;
  private static final int MAX_KEY_LENGTH = 255;
  private static final int MAX_ATTEMPTS = 3;
  private static final long CLAIM_TIMEOUT_MILLIS = 2_600;
  private static final long RECORD_TIMEOUT_MILLIS = 600;
  private static final long OUTCOME_POLL_MILLIS = 50;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HttpCaller caller;
  private final SettingsManager settingsManager;
  private final UpstreamTable upstreams;
  private final AdmissionController admission;
  private final LedgerCommitter ledger;
  private final Clock clock;
  private final Timeline timeline;
  private final BiConsumer<String, Boolean> leavingNotifier;
  private final RetryBudgets budgets = new RetryBudgets();

  ServiceHandler(
      HttpCaller caller,
      SettingsManager settingsManager,
      UpstreamTable upstreams,
      AdmissionController admission,
      LedgerCommitter ledger,
      Clock clock,
      Timeline timeline,
      BiConsumer<String, Boolean> leavingNotifier) {
    this.caller = caller;
    this.settingsManager = settingsManager;
    this.upstreams = upstreams;
    this.admission = admission;
    this.ledger = ledger;
    this.clock = clock;
    this.timeline = timeline;
    this.leavingNotifier = leavingNotifier;
  }

  static boolean handles(String path) {
    return path.startsWith(PREFIX);
  }

  void handle(Call call) {
    Settings settings = settingsManager.settings();
    Customer customer = AccessControl.customer(call, settings);
    ServiceRequest request = request(call, settings, customer);
    Permit permit = admission.acquire(customer, request.deadlineMillis());
    try {
      Outcome outcome = run(request, call.header("Idempotency-Key"));
      call.send(outcome.status(), outcome.contentType(), outcome.body());
    } finally {
      admission.release(permit);
    }
  }

  private ServiceRequest request(Call call, Settings settings, Customer customer) {
    String rest = call.path().substring(PREFIX.length());
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    Contract contract =
        settings
            .contract(customer, service, call.method(), path)
            .orElseThrow(() -> noContract(call.method(), service, path));
    return new ServiceRequest(
        "req-" + UUID.randomUUID(),
        customer,
        contract,
        path,
        call.header("Content-Type").orElse(""),
        call.body(MAX_BODY_BYTES),
        clock.millis() + contract.deadlineMillis());
  }

  private static BulrushpierException noContract(String method, String service, String path) {
    String message = method + " " + path + ": service '" + service + "' has no such operation";
    return BulrushpierException.notRun(ErrorCode.NOT_FOUND, message);
  }

  private Outcome run(ServiceRequest request, Optional<String> key) {
    if (request.contract().isIdempotent()) {
      return runIdempotent(request);
    }
    if (key.isEmpty()) {
      return runOnce(request);
    }
    if (key.get().isBlank() || key.get().length() > MAX_KEY_LENGTH) {
      String message = "Idempotency-Key: must have 1 to " + MAX_KEY_LENGTH + " characters";
      throw BulrushpierException.notRun(ErrorCode.BAD_REQUEST, message);
    }
    return runKeyed(request, key.get());
  }

  private Outcome runIdempotent(ServiceRequest request) {
    RetryBudget budget = budgets.of(request.customer().team(), request.contract().service());
    budget.recordFirstAttempt();
    BulrushpierException lastFailure = null;
    java.util.Set<String> tried = new java.util.HashSet<>();
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      UpstreamState replica = chooseReplica(request, tried, lastFailure);
      tried.add(replica.upstream().name());
      try {
        return send(request, replica);
      } catch (BulrushpierException e) {
        lastFailure = e;
        boolean mayRetry = e.code() != ErrorCode.DEADLINE && budget.tryRetry();
        if (!mayRetry) {
          throw e;
        }
      }
    }
    throw lastFailure;
  }

  private Outcome runOnce(ServiceRequest request) {
    java.util.Set<String> tried = new java.util.HashSet<>();
    BulrushpierException lastFailure = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      UpstreamState replica = chooseReplica(request, tried, lastFailure);
      tried.add(replica.upstream().name());
      try {
        return send(request, replica);
      } catch (BulrushpierException e) {
        if (e.certainty() != org.bulrushpier.Certainty.NOT_RUN) {
          throw e;
        }
        lastFailure = e;
      }
    }
    throw lastFailure;
  }

  private Outcome runKeyed(ServiceRequest request, String key) {
    String ledgerKey = Hash.hex(Hash.bytes(Hash.utf8(request.customer().id()), Hash.utf8(key)));
    String requestHash = request.requestHash();
    LedgerRecord.Claim claim =
        new LedgerRecord.Claim(
            ledgerKey.substring(0, 32), request.id(), requestHash, clock.millis());
    while (true) {
      long remainingMillis =
          Math.min(CLAIM_TIMEOUT_MILLIS, request.deadlineMillis() - clock.millis());
      LedgerAnswer answer =
          LedgerCommitter.await(ledger.submit(claim), remainingMillis)
              .orElse(new LedgerAnswer.Unavailable("no answer within " + remainingMillis + " ms"));
      switch (answer) {
        case LedgerAnswer.Accepted accepted -> {
          return runClaimed(request, claim);
        }
        case LedgerAnswer.Repeated repeated -> {
          timeline.add("ledger", request.id(), "returned the recorded outcome");
          return repeated.outcome();
        }
        case LedgerAnswer.Lost lost ->
            throw BulrushpierException.unknown(
                ErrorCode.OUTCOME_UNKNOWN,
                "Idempotency-Key: the call claimed at "
                    + lost.sinceMillis()
                    + " has an unknown outcome because its response was lost");
        case LedgerAnswer.KeyReused reused ->
            throw BulrushpierException.notRun(
                ErrorCode.KEY_REUSED, "Idempotency-Key: already used for a different request");
        case LedgerAnswer.Unavailable unavailable -> {
          ledger.submitDeferred(new LedgerRecord.Release(claim.key(), claim.claimId()));
          throw BulrushpierException.notRun(
                  ErrorCode.PLATFORM_UNAVAILABLE, "ledger: " + unavailable.reason())
              .withRetryAfter(RETRY_AFTER_MILLIS);
        }
        case LedgerAnswer.Pending pending -> awaitOutcome(request, pending);
      }
    }
  }

  private void awaitOutcome(ServiceRequest request, LedgerAnswer.Pending pending) {
    if (clock.millis() + OUTCOME_POLL_MILLIS >= request.deadlineMillis()) {
      String message =
          "Idempotency-Key: the call claimed at " + pending.sinceMillis() + " has no outcome yet";
      throw BulrushpierException.unknown(ErrorCode.OUTCOME_UNKNOWN, message)
          .withRetryAfter(RETRY_AFTER_MILLIS);
    }
    sleepBeforePoll();
  }

  private Outcome runClaimed(ServiceRequest request, LedgerRecord.Claim claim) {
    timeline.add("ledger", request.id(), "claimed " + claim.key());
    Outcome outcome;
    try {
      outcome = runOnce(request);
    } catch (BulrushpierException e) {
      commitOrDefer(
          e.certainty() == org.bulrushpier.Certainty.NOT_RUN
              ? new LedgerRecord.Release(claim.key(), claim.claimId())
              : new LedgerRecord.Lost(claim.key(), claim.claimId()));
      throw e;
    }
    record(claim, outcome);
    return outcome;
  }

  /**
   * Records the outcome of a claimed call. A body over the size limit is not recorded; a repeated
   * call then gets an empty body.
   */
  private void record(LedgerRecord.Claim claim, Outcome outcome) {
    Outcome recorded =
        outcome.body().length <= MAX_RECORDED_BYTES
            ? outcome
            : new Outcome(outcome.status(), outcome.contentType(), new byte[0]);
    commitOrDefer(new LedgerRecord.Result(claim.key(), claim.claimId(), recorded));
  }

  /** Commits a record, or defers it if it is not committed within a short time. */
  private void commitOrDefer(LedgerRecord record) {
    Optional<LedgerAnswer> answer =
        LedgerCommitter.await(ledger.submit(record), RECORD_TIMEOUT_MILLIS);
    if (answer.isEmpty() || answer.get() instanceof LedgerAnswer.Unavailable) {
      ledger.submitDeferred(record);
    }
  }

  private UpstreamState chooseReplica(
      ServiceRequest request, java.util.Set<String> tried, BulrushpierException lastFailure) {
    List<UpstreamState> replicas =
        upstreams.replicas(settingsManager.settings(), request.contract().service());
    return replicas.stream()
        .filter(replica -> !tried.contains(replica.upstream().name()))
        .findFirst()
        .orElseThrow(
            () ->
                lastFailure != null
                    ? lastFailure
                    : BulrushpierException.notRun(
                            ErrorCode.NO_UPSTREAM,
                            "service " + request.contract().service() + ": no replica is usable")
                        .withRetryAfter(RETRY_AFTER_MILLIS));
  }

  private Outcome send(ServiceRequest request, UpstreamState replica) {
    long remainingMillis = request.deadlineMillis() - clock.millis();
    if (remainingMillis <= 0) {
      throw BulrushpierException.notRun(ErrorCode.DEADLINE, request.id() + ": deadline exceeded");
    }
    Upstream upstream = replica.upstream();
    OutgoingCall call =
        OutgoingCall.of(request.contract().method(), upstream.address(), request.path())
            .withHeader("X-Request-Id", request.id())
            .withHeader("X-Customer", request.customer().id())
            .withTimeout(remainingMillis);
    if (request.body().length > 0) {
      call = call.withBody(request.contentType(), request.body());
    }
    replica.inFlight().incrementAndGet();
    replica.breaker().begin(clock.millis());
    timeline.add("service", request.id(), "sent to " + upstream.name());
    try {
      Reply reply = caller.call(call);
      return outcome(request, replica, reply);
    } catch (CallFailedException e) {
      replica.breaker().failed(clock.millis());
      log.info("service: {} failed at {}: {}", request.id(), upstream.name(), e.getMessage());
      throw e.isSent()
          ? BulrushpierException.unknown(ErrorCode.UPSTREAM_BROKEN, e.getMessage())
          : BulrushpierException.notRun(ErrorCode.NO_UPSTREAM, e.getMessage());
    } finally {
      replica.inFlight().decrementAndGet();
    }
  }

  private Outcome outcome(ServiceRequest request, UpstreamState replica, Reply reply) {
    if (reply.status() == 503 && !reply.header("x-leaving").isEmpty()) {
      if (upstreams.markLeaving(replica.upstream().name(), "its response")) {
        leavingNotifier.accept(replica.upstream().name(), true);
      }
      throw BulrushpierException.notRun(
          ErrorCode.NO_UPSTREAM, replica.upstream().name() + " is leaving");
    }
    replica.breaker().succeeded();
    timeline.add("service", request.id(), "responded with status " + reply.status());
    return new Outcome(reply.status(), reply.header("content-type"), reply.body());
  }

  private static void sleepBeforePoll() {
    try {
      Thread.sleep(OUTCOME_POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw BulrushpierException.unknown(ErrorCode.LEAVING, "entry: shutting down");
    }
  }

  /** One call to a plain service. */
  private record ServiceRequest(
      String id,
      Customer customer,
      Contract contract,
      String path,
      String contentType,
      byte[] body,
      long deadlineMillis) {

    private String requestHash() {
      byte[] target = Hash.utf8(contract.service() + " " + contract.method() + " " + path);
      return Hash.hex(Hash.bytes(target, body)).substring(0, 16);
    }
  }
}
