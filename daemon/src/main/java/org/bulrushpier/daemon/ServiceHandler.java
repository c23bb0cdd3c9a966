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
import org.bulrushpier.daemon.http.CallFailed;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutCall;
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
 * Passes calls on to plain services as their contracts allow.
 *
 * <p>An idempotent call may be tried again within the retry budget. Any other call is sent at most
 * once: with an idempotency key it is claimed in the ledger before its first byte goes upstream.
 * Thread-safe.
 */
final class ServiceHandler {

  private static final Logger log = LoggerFactory.getLogger("service");
  private static final String PREFIX = "/services/";
  private static final int MAX_BODY_BYTES = 1_000_000;
  private static final int MAX_RECORDED_BYTES = 65_536;
  private static final int MAX_KEY_LENGTH = 255;
  private static final int MAX_TRIES = 3;
  private static final long CLAIM_MILLIS = 2_600;
  private static final long RECORD_MILLIS = 600;
  private static final long POLL_MILLIS = 50;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HttpCaller caller;
  private final SettingsKeeper keeper;
  private final UpstreamTable upstreams;
  private final Gate gate;
  private final LedgerDesk ledger;
  private final Clock clock;
  private final Timeline timeline;
  private final BiConsumer<String, Boolean> leavingTeller;
  private final RetryBudgets budgets = new RetryBudgets();

  ServiceHandler(
      HttpCaller caller,
      SettingsKeeper keeper,
      UpstreamTable upstreams,
      Gate gate,
      LedgerDesk ledger,
      Clock clock,
      Timeline timeline,
      BiConsumer<String, Boolean> leavingTeller) {
    this.caller = caller;
    this.keeper = keeper;
    this.upstreams = upstreams;
    this.gate = gate;
    this.ledger = ledger;
    this.clock = clock;
    this.timeline = timeline;
    this.leavingTeller = leavingTeller;
  }

  static boolean isFor(String path) {
    return path.startsWith(PREFIX);
  }

  void answer(Call call) {
    Settings settings = keeper.settings();
    Customer customer = Access.customer(call, settings);
    Task task = task(call, settings, customer);
    Permit permit = gate.enter(customer, task.deadlineMillis());
    try {
      Outcome outcome = run(task, call.header("Idempotency-Key"));
      call.send(outcome.status(), outcome.contentType(), outcome.body());
    } finally {
      gate.leave(permit);
    }
  }

  private Task task(Call call, Settings settings, Customer customer) {
    String rest = call.path().substring(PREFIX.length());
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    Contract contract =
        settings
            .contract(customer, service, call.method(), path)
            .orElseThrow(() -> noContract(call.method(), service, path));
    return new Task(
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

  private Outcome run(Task task, Optional<String> key) {
    if (task.contract().isIdempotent()) {
      return runIdempotent(task);
    }
    if (key.isEmpty()) {
      return runOnce(task);
    }
    if (key.get().isBlank() || key.get().length() > MAX_KEY_LENGTH) {
      String message = "Idempotency-Key: must have 1 to " + MAX_KEY_LENGTH + " characters";
      throw BulrushpierException.notRun(ErrorCode.BAD_REQUEST, message);
    }
    return runKeyed(task, key.get());
  }

  private Outcome runIdempotent(Task task) {
    RetryBudget budget = budgets.of(task.customer().team(), task.contract().service());
    budget.firstTry();
    BulrushpierException last = null;
    java.util.Set<String> tried = new java.util.HashSet<>();
    for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
      UpstreamState replica = choose(task, tried, last);
      tried.add(replica.upstream().name());
      try {
        return send(task, replica);
      } catch (BulrushpierException e) {
        last = e;
        boolean mayRetry = e.code() != ErrorCode.DEADLINE && budget.tryRetry();
        if (!mayRetry) {
          throw e;
        }
      }
    }
    throw last;
  }

  private Outcome runOnce(Task task) {
    java.util.Set<String> tried = new java.util.HashSet<>();
    BulrushpierException last = null;
    for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
      UpstreamState replica = choose(task, tried, last);
      tried.add(replica.upstream().name());
      try {
        return send(task, replica);
      } catch (BulrushpierException e) {
        if (e.certainty() != org.bulrushpier.Certainty.NOT_RUN) {
          throw e;
        }
        last = e;
      }
    }
    throw last;
  }

  private Outcome runKeyed(Task task, String key) {
    String ledgerKey = Hash.hex(Hash.bytes(Hash.utf8(task.customer().id()), Hash.utf8(key)));
    String requestHash = task.requestHash();
    LedgerRecord.Claim claim =
        new LedgerRecord.Claim(ledgerKey.substring(0, 32), task.id(), requestHash, clock.millis());
    while (true) {
      long left = Math.min(CLAIM_MILLIS, task.deadlineMillis() - clock.millis());
      LedgerAnswer answer =
          LedgerDesk.await(ledger.submit(claim), left)
              .orElse(new LedgerAnswer.Unavailable("no answer within " + left + " ms"));
      switch (answer) {
        case LedgerAnswer.Accepted accepted -> {
          return runClaimed(task, claim);
        }
        case LedgerAnswer.Repeated repeated -> {
          timeline.add("ledger", task.id(), "first outcome repeated");
          return repeated.outcome();
        }
        case LedgerAnswer.Lost lost ->
            throw BulrushpierException.unknown(
                ErrorCode.OUTCOME_UNKNOWN,
                "Idempotency-Key: the call claimed at " + lost.sinceMillis() + " lost its answer");
        case LedgerAnswer.KeyReused other ->
            throw BulrushpierException.notRun(
                ErrorCode.KEY_REUSED, "Idempotency-Key: was used for another request");
        case LedgerAnswer.Unavailable unavailable -> {
          ledger.submitLater(new LedgerRecord.Release(claim.key(), claim.claimId()));
          throw BulrushpierException.notRun(
                  ErrorCode.PLATFORM_UNAVAILABLE, "ledger: " + unavailable.reason())
              .withRetryAfter(RETRY_AFTER_MILLIS);
        }
        case LedgerAnswer.Pending pending -> waitForFirst(task, pending);
      }
    }
  }

  private void waitForFirst(Task task, LedgerAnswer.Pending pending) {
    if (clock.millis() + POLL_MILLIS >= task.deadlineMillis()) {
      String message =
          "Idempotency-Key: the call claimed at " + pending.sinceMillis() + " has no outcome yet";
      throw BulrushpierException.unknown(ErrorCode.OUTCOME_UNKNOWN, message)
          .withRetryAfter(RETRY_AFTER_MILLIS);
    }
    pause();
  }

  private Outcome runClaimed(Task task, LedgerRecord.Claim claim) {
    timeline.add("ledger", task.id(), "claimed " + claim.key());
    Outcome outcome;
    try {
      outcome = runOnce(task);
    } catch (BulrushpierException e) {
      settle(
          e.certainty() == org.bulrushpier.Certainty.NOT_RUN
              ? new LedgerRecord.Release(claim.key(), claim.claimId())
              : new LedgerRecord.Lost(claim.key(), claim.claimId()));
      throw e;
    }
    record(claim, outcome);
    return outcome;
  }

  private void record(LedgerRecord.Claim claim, Outcome outcome) {
    Outcome kept =
        outcome.body().length <= MAX_RECORDED_BYTES
            ? outcome
            : new Outcome(outcome.status(), outcome.contentType(), new byte[0]);
    settle(new LedgerRecord.Result(claim.key(), claim.claimId(), kept));
  }

  /** Waits a little for a record to be kept; after that it is kept as soon as possible. */
  private void settle(LedgerRecord record) {
    Optional<LedgerAnswer> answer = LedgerDesk.await(ledger.submit(record), RECORD_MILLIS);
    if (answer.isEmpty() || answer.get() instanceof LedgerAnswer.Unavailable) {
      ledger.submitLater(record);
    }
  }

  private UpstreamState choose(Task task, java.util.Set<String> tried, BulrushpierException last) {
    List<UpstreamState> replicas = upstreams.replicas(keeper.settings(), task.contract().service());
    return replicas.stream()
        .filter(replica -> !tried.contains(replica.upstream().name()))
        .findFirst()
        .orElseThrow(
            () ->
                last != null
                    ? last
                    : BulrushpierException.notRun(
                            ErrorCode.NO_UPSTREAM,
                            "service " + task.contract().service() + ": no replica is usable")
                        .withRetryAfter(RETRY_AFTER_MILLIS));
  }

  private Outcome send(Task task, UpstreamState replica) {
    long left = task.deadlineMillis() - clock.millis();
    if (left <= 0) {
      throw BulrushpierException.notRun(ErrorCode.DEADLINE, task.id() + ": deadline passed");
    }
    Upstream upstream = replica.upstream();
    OutCall call =
        OutCall.of(task.contract().method(), upstream.address(), task.path())
            .withHeader("X-Request-Id", task.id())
            .withHeader("X-Customer", task.customer().id())
            .withTimeout(left);
    if (task.body().length > 0) {
      call = call.withBody(task.contentType(), task.body());
    }
    replica.inFlight().incrementAndGet();
    replica.breaker().begin(clock.millis());
    timeline.add("service", task.id(), "sent to " + upstream.name());
    try {
      Reply reply = caller.call(call);
      return outcome(task, replica, reply);
    } catch (CallFailed e) {
      replica.breaker().failed(clock.millis());
      log.info("service: {} failed at {}: {}", task.id(), upstream.name(), e.getMessage());
      throw e.isSent()
          ? BulrushpierException.unknown(ErrorCode.UPSTREAM_BROKEN, e.getMessage())
          : BulrushpierException.notRun(ErrorCode.NO_UPSTREAM, e.getMessage());
    } finally {
      replica.inFlight().decrementAndGet();
    }
  }

  private Outcome outcome(Task task, UpstreamState replica, Reply reply) {
    if (reply.status() == 503 && !reply.header("x-leaving").isEmpty()) {
      if (upstreams.leaving(replica.upstream().name(), "its answer")) {
        leavingTeller.accept(replica.upstream().name(), true);
      }
      throw BulrushpierException.notRun(
          ErrorCode.NO_UPSTREAM, replica.upstream().name() + " is leaving");
    }
    replica.breaker().succeeded();
    timeline.add("service", task.id(), "answered " + reply.status());
    return new Outcome(reply.status(), reply.header("content-type"), reply.body());
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw BulrushpierException.unknown(ErrorCode.LEAVING, "entry: is shutting down");
    }
  }

  /** One call to a plain service. */
  private record Task(
      String id,
      Customer customer,
      Contract contract,
      String path,
      String contentType,
      byte[] body,
      long deadlineMillis) {

    private String requestHash() {
      byte[] where = Hash.utf8(contract.service() + " " + contract.method() + " " + path);
      return Hash.hex(Hash.bytes(where, body)).substring(0, 16);
    }
  }
}
