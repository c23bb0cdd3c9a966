package org.bulrushpier.rig.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.gateway.CallerFake.Answer;
import org.bulrushpier.rig.gateway.CallerFake.Call;
import org.bulrushpier.rig.gateway.CallerFake.Route;
import org.bulrushpier.rig.gateway.ReplicaFake.Execution;

/**
 * Checks the promises of the gateway from what callers receive and replicas execute.
 *
 * <p>Thread-safe. The records of calls have one lock each; no other lock is taken under it except
 * that of an instance.
 */
final class Observer {

  /** The time during which a process that got SIGTERM serves its calls in progress, in ms. */
  private static final long GRACE_MILLIS = (long) (0.85 * 1_000 * SoakSite.SHUTDOWN_SECONDS);

  private static final long DEADLINE_MARGIN_MILLIS = 50;

  /** How long this process, and with it the replicas, may have got no processor, in ms. */
  private static final long STALL_MILLIS = 300;

  private static final long HEARTBEAT_MILLIS = 20;

  /** The checked promises. */
  enum Promise {
    /** No generation starts on weights that have been outdated for longer than allowed. */
    VERSION,
    /** A call that must not be repeated is executed at most once. */
    ONCE,
    /** A call that was refused is not executed. */
    REFUSED,
    /** A stream has each event once, in order, and all of them if it ended normally. */
    STREAM,
    /** A caller receives the answer to its own call. */
    ANSWER,
    /** A call is sent in the name of the customer whose key it has. */
    CUSTOMER,
    /** SIGTERM cuts off no call in progress. */
    TERMINATION,
    /** No call is cut off without a fault that explains it. */
    CUT_OFF,
    /** After all faults, every engine serves the newest version and calls are answered. */
    RECOVERY
  }

  private final Consumer<String> log;
  private final Map<String, CallRecord> calls = new ConcurrentHashMap<>();
  private final Map<Integer, Long> requestedMillis = new ConcurrentHashMap<>();
  private final Map<String, Long> faultyUntilMillis = new ConcurrentHashMap<>();
  private final Map<Promise, List<String>> violations = new TreeMap<>();
  private final Map<String, Integer> counts = new TreeMap<>();
  private volatile long heartbeatMillis = MonotonicClock.millis();
  private volatile long stalledUntilMillis = Long.MIN_VALUE;

  /** A call with what is known of its executions and its answer. Guarded by its own lock. */
  private static final class CallRecord {
    private final Call call;
    private final String customer;
    private final Instance instance;
    private final Instance.Run run;
    private final long beginMillis = MonotonicClock.millis();
    private final List<Execution> executions = new ArrayList<>();
    private boolean isRefused;

    CallRecord(Call call, String customer, Instance instance, Instance.Run run) {
      this.call = call;
      this.customer = customer;
      this.instance = instance;
      this.run = run;
    }

    String text() {
      return "%s %s at %s, begun %d ms ago"
          .formatted(
              call.route(), call.id(), instance.name(), MonotonicClock.millis() - beginMillis);
    }
  }

  Observer(Consumer<String> log) {
    this.log = log;
  }

  /** Records stalls of this process until the thread is interrupted. */
  void watchStalls() {
    while (!Thread.currentThread().isInterrupted()) {
      Faults.sleep(HEARTBEAT_MILLIS);
      long now = MonotonicClock.millis();
      if (now - heartbeatMillis > STALL_MILLIS) {
        stalledUntilMillis = now;
        count("stalls");
        log.accept("this process stalled for " + (now - heartbeatMillis) + " ms");
      }
      heartbeatMillis = now;
    }
  }

  /** Returns whether this process stalled since a moment, so that replicas were late. */
  private boolean wasStalledSince(long millis) {
    boolean wasStalled =
        stalledUntilMillis >= millis || MonotonicClock.millis() - heartbeatMillis > STALL_MILLIS;
    if (wasStalled) {
      count("uncheckedAfterStall");
    }
    return wasStalled;
  }

  /** Records that the store acknowledged the request for a version. */
  void versionRequested(int version) {
    requestedMillis.put(version, MonotonicClock.millis());
  }

  /** Records that a replica loses connections or answers for some time. */
  void replicaFaulty(String replica, long millis) {
    faultyUntilMillis.merge(replica, MonotonicClock.millis() + millis, Math::max);
  }

  /** Records a call before it is sent. */
  void callBegins(Call call, String customer, Instance instance, Instance.Run run) {
    calls.put(call.id(), new CallRecord(call, customer, instance, run));
  }

  /** Checks an execution at its start. */
  void executionStarts(Execution execution) {
    count("executions");
    CallRecord record = calls.get(execution.requestId());
    if (record == null) {
      violated(Promise.ANSWER, "unknown call " + execution.requestId() + " was executed");
      return;
    }
    synchronized (record) {
      record.executions.add(execution);
      String text = record.text() + ", executed by " + execution.replica();
      if (record.call.route() == Route.ONCE && record.executions.size() > 1) {
        violated(Promise.ONCE, text + " for the second time");
      }
      if (record.isRefused) {
        violated(Promise.REFUSED, text + " after it was refused");
      }
      if (!execution.customer().equals(record.customer)) {
        violated(
            Promise.CUSTOMER, text + " for " + execution.customer() + ", not " + record.customer);
      }
      if (execution.isGeneration()) {
        checkVersion(record, execution, text);
      }
    }
  }

  private void checkVersion(CallRecord record, Execution execution, String text) {
    Long successorMillis = requestedMillis.get(execution.version() + 1);
    if (successorMillis == null) {
      return;
    }
    count("outdated");
    long outdated = MonotonicClock.millis() - successorMillis;
    if (outdated > SoakSite.CHANGE_MILLIS) {
      count("outdatedTooLong");
      if (record.instance.isInContact(record.run) && !wasStalledSince(record.beginMillis)) {
        violated(
            Promise.VERSION,
            "%s on version %d, whose successor was acknowledged %d ms ago; %s"
                .formatted(
                    text, execution.version(), outdated, record.instance.contact(record.run)));
      }
    }
  }

  /** Checks what the caller of a call received. */
  void callEnds(Call call, Answer answer) {
    CallRecord record = calls.get(call.id());
    count((answer.isWhole() ? "answered" : "cutOff") + answer.status());
    synchronized (record) {
      String text = record.text();
      if (answer.isWhole() && (answer.status() == 503 || answer.status() == 429)) {
        record.isRefused = true;
        if (!record.executions.isEmpty()) {
          violated(
              Promise.REFUSED,
              text + " was refused (" + answer.detail() + ") but executed by " + replicas(record));
        }
      }
      if (answer.status() == 200) {
        checkContent(call, answer, text);
      }
      if (!answer.isWhole()) {
        checkCutOff(record, answer, text);
      } else if (record.beginMillis < record.run.terminatedMillis()
          && record.run.terminatedMillis() < MonotonicClock.millis()) {
        count("answersAfterTermination");
      }
    }
  }

  private static String replicas(CallRecord record) {
    return String.join(", ", record.executions.stream().map(Execution::replica).toList());
  }

  private void checkContent(Call call, Answer answer, String text) {
    if (!answer.id().equals(call.id())) {
      violated(Promise.ANSWER, text + " got the answer of " + answer.id());
    } else if (call.route().isGeneration()) {
      String error = answer.streamError(call.events());
      if (!error.isEmpty()) {
        violated(Promise.STREAM, text + ": " + error);
      }
    } else if (answer.isWhole() && !answer.body().equals("done")) {
      violated(Promise.ANSWER, text + " got the answer '" + answer.body() + "'");
    }
  }

  /** Checks that a call without a whole answer was cut off by a fault other than SIGTERM. */
  private void checkCutOff(CallRecord record, Answer answer, String text) {
    long now = MonotonicClock.millis();
    long terminated = record.run.terminatedMillis();
    boolean hasCause =
        record.run.isKilled()
            || record.instance.wasPausedSince(record.beginMillis)
            || now - record.beginMillis > record.call.waitMillis() - DEADLINE_MARGIN_MILLIS
            || record.executions.stream()
                .anyMatch(
                    execution ->
                        faultyUntilMillis.getOrDefault(execution.replica(), Long.MIN_VALUE)
                            >= record.beginMillis)
            || wasStalledSince(record.beginMillis);
    String detail = text + ": " + answer.detail() + ", executed by [" + replicas(record) + "]";
    if (!hasCause && terminated == Long.MAX_VALUE) {
      violated(Promise.CUT_OFF, detail);
    } else if (!hasCause && record.beginMillis < terminated && now - terminated < GRACE_MILLIS) {
      violated(Promise.TERMINATION, detail + ", " + (now - terminated) + " ms after SIGTERM");
    }
  }

  /** Records a violation. */
  void violated(Promise promise, String text) {
    log.accept("VIOLATION " + promise + ": " + text);
    count("violated" + promise);
    synchronized (violations) {
      violations.computeIfAbsent(promise, p -> new ArrayList<>()).add(text);
    }
  }

  /** Returns the violations so far by promise. */
  Map<String, List<String>> violations() {
    synchronized (violations) {
      Map<String, List<String>> copy = new TreeMap<>();
      violations.forEach((promise, texts) -> copy.put(promise.name(), List.copyOf(texts)));
      return copy;
    }
  }

  private void count(String name) {
    synchronized (counts) {
      counts.merge(name, 1, Integer::sum);
    }
  }

  /**
   * Returns the number of executions; of generations that started on outdated weights, also those
   * that did so too late at instances out of contact; of calls in progress at SIGTERM that got a
   * whole answer; of stalls of this process and checks left out because of them; and of answers
   * that were whole or cut off, by status, 0 being none.
   */
  Map<String, Integer> counts() {
    synchronized (counts) {
      return new TreeMap<>(counts);
    }
  }
}
