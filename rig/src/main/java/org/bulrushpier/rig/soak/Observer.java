package org.bulrushpier.rig.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
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
 * those of an instance and of a record of crashes.
 */
final class Observer {

  /** The time during which a process that got SIGTERM serves its calls in progress, in ms. */
  private static final long GRACE_MILLIS = (long) (0.85 * 1_000 * SoakSite.SHUTDOWN_SECONDS);

  private static final long DEADLINE_MARGIN_MILLIS = 50;

  /** How long this process, and with it the replicas, may have got no processor, in ms. */
  private static final long STALL_MILLIS = 300;

  private static final long HEARTBEAT_MILLIS = 20;

  /** The time after which a stored configuration or a leaving replica is known, in ms. */
  private static final long CHANGE_KNOWN_MILLIS = 2_000;

  /** The part of the idle timeout for which callers use a connection again. */
  private static final double REUSED_SHARE = 0.8;

  private static final long SECOND_MILLIS = 1_000;

  /** The time after which it is known that a replica has turned cold without a restart, in ms. */
  private static final long COLD_NEWS_MILLIS = 1_000;

  private static final String UNKNOWN_DOMAIN = "";

  /** The crashes under a prompt part after which all instances have to know of it. */
  private static final int KNOWN_CRASHES = 5;

  /** The calls with such a part that may still reach engines. */
  private static final int MAX_LATE_CALLS = 3;

  /** How long before the end of the time for a change generations may be recalled, in ms. */
  private static final long RECALL_MILLIS = 1_000;

  /** The checked promises. */
  enum Promise {
    /** No generation starts on weights that have been outdated for longer than allowed. */
    VERSION,
    /**
     * A call that must not be repeated is executed at most once. A run that goes on from its copy
     * is the same execution.
     */
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
    /** No call is cut off without a fault that explains it; the silence of a replica is none. */
    CUT_OFF,
    /** No call that replicas without a fault execute fails before its time is over. */
    UNANSWERED,
    /** A call reaches only replicas of the service of its route. */
    ROUTE,
    /** A replica that leaves gets no more calls. */
    LEFT,
    /** Replicas of a failure domain that is evacuated get no calls. */
    EVACUATION,
    /** A cold replica gets no more requests in any second than it bears, from all instances. */
    COLD,
    /** Calls with a prompt part under which engines have crashed reach no more engines. */
    POISON,
    /** After all faults, every engine serves the newest version and calls are answered. */
    RECOVERY
  }

  private final Consumer<String> log;
  private final Map<String, CallRecord> calls = new ConcurrentHashMap<>();
  private final Map<Integer, Long> requestedMillis = new ConcurrentHashMap<>();
  private final Map<String, Long> faultyUntilMillis = new ConcurrentHashMap<>();
  private final Map<String, Boolean> engines = new ConcurrentHashMap<>();
  private final Map<String, String> domains = new ConcurrentHashMap<>();
  private final Map<String, Long> evacuatedMillis = new ConcurrentHashMap<>();
  private final Map<String, Long> leftMillis = new ConcurrentHashMap<>();
  private final Map<String, ColdSpell> coldSpells = new ConcurrentHashMap<>();
  private final Map<String, PoisonRecord> poisons = new ConcurrentHashMap<>();
  private final List<StoredConfiguration> configurations = new CopyOnWriteArrayList<>();
  private final Map<Promise, List<String>> violations = new TreeMap<>();
  private final Map<String, Integer> counts = new TreeMap<>();
  private volatile long heartbeatMillis = MonotonicClock.millis();
  private volatile long stalledUntilMillis = Long.MIN_VALUE;

  /** The limits of a configuration and the moment at which it was stored. */
  private record StoredConfiguration(long millis, long timeoutMillis, long idleTimeoutMillis) {}

  /** The crashes under a prompt part and the calls with it that came later. Guarded by its lock. */
  private static final class PoisonRecord {
    private final List<Long> crashMillis = new ArrayList<>();
    private int lateCalls;
  }

  /** A request that arrived at a replica, and the instance that its caller had called. */
  private record Arrival(long millis, String sender) {
    boolean beginsSecondOf(Arrival other) {
      return other.millis >= millis && other.millis - millis < SECOND_MILLIS;
    }

    String text(long fromMillis) {
      return "%d ms %s".formatted(millis - fromMillis, sender);
    }
  }

  /** A cold time of a replica and what arrived in it. The arrivals are guarded by its lock. */
  private static final class ColdSpell {
    private final String cause;
    private final long fromMillis = MonotonicClock.millis();
    private final long knownMillis;
    private volatile long untilMillis;
    private final List<Arrival> arrivals = new ArrayList<>();

    ColdSpell(String cause, long newsMillis, long untilMillis) {
      this.cause = cause;
      this.knownMillis = fromMillis + newsMillis;
      this.untilMillis = untilMillis;
    }
  }

  /** A call with what is known of its executions and its answer. Guarded by its own lock. */
  private static final class CallRecord {
    private final Call call;
    private final String customer;
    private final Instance instance;
    private final Instance.Run run;
    private final long idleSinceMillis;
    private final long beginMillis = MonotonicClock.millis();
    private final List<Execution> executions = new ArrayList<>();
    private boolean isRefused;

    CallRecord(
        Call call, String customer, Instance instance, Instance.Run run, long idleSinceMillis) {
      this.call = call;
      this.customer = customer;
      this.instance = instance;
      this.run = run;
      this.idleSinceMillis = idleSinceMillis;
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

  /** Records that a prompt part makes engines crash from now on. */
  void poisonBegins(String part) {
    poisons.put(part, new PoisonRecord());
  }

  /** Records that an engine is about to crash under a prompt part. */
  void engineCrashed(String part) {
    count("engineCrashes");
    PoisonRecord poison = poisons.get(part);
    synchronized (poison) {
      poison.crashMillis.add(MonotonicClock.millis());
    }
  }

  /** Records that a configuration with the given limits is about to be stored. */
  void configurationStored(long timeoutMillis, long idleTimeoutMillis) {
    configurations.add(
        new StoredConfiguration(MonotonicClock.millis(), timeoutMillis, idleTimeoutMillis));
  }

  /** Returns the configurations that may have been in force at an instance since a moment. */
  private Stream<StoredConfiguration> configurationsSince(
      Instance instance, Instance.Run run, long millis) {
    if (!instance.isInContact(run)) {
      return configurations.stream();
    }
    long since = millis - CHANGE_KNOWN_MILLIS;
    long first =
        configurations.stream()
            .mapToLong(StoredConfiguration::millis)
            .filter(stored -> stored <= since)
            .max()
            .orElse(Long.MIN_VALUE);
    return configurations.stream().filter(stored -> stored.millis() >= first);
  }

  /** Returns for how long a connection that has been idle since a moment may be used again. */
  long longestPauseMillis(Instance instance, Instance.Run run, long idleSinceMillis) {
    long limit =
        configurationsSince(instance, run, idleSinceMillis)
            .mapToLong(StoredConfiguration::idleTimeoutMillis)
            .min()
            .orElse(Long.MAX_VALUE);
    return (long) (REUSED_SHARE * limit);
  }

  /**
   * Records whether a replica is an engine and its failure domain; calls at replicas that are not
   * known may be any.
   */
  void replicaServes(String replica, boolean isEngine, String domain) {
    engines.put(replica, isEngine);
    domains.put(replica, domain);
  }

  /** Records that the store acknowledged the evacuation of a failure domain. */
  void evacuated(String domain) {
    evacuatedMillis.put(domain, MonotonicClock.millis());
  }

  /** Records that an evacuation is about to be withdrawn. */
  void evacuationWithdrawn(String domain) {
    evacuatedMillis.remove(domain);
  }

  /** Records that another incarnation of a replica begins, which is cold until a moment. */
  void replicaStartsCold(String replica, long untilMillis) {
    coldSpells.put(replica, new ColdSpell("started", 0, untilMillis));
  }

  /** Records that the store acknowledged that a replica has turned cold until a moment. */
  void replicaTurnsCold(String replica, long untilMillis) {
    ColdSpell spell = coldSpells.get(replica);
    if (spell != null && spell.untilMillis > MonotonicClock.millis()) {
      spell.untilMillis = Math.max(spell.untilMillis, untilMillis);
    } else {
      coldSpells.put(replica, new ColdSpell("turned cold", COLD_NEWS_MILLIS, untilMillis));
    }
  }

  /** Records a request that arrived at a replica and was not answered 421. */
  void requestArrived(String replica, String call, long millis) {
    ColdSpell spell = coldSpells.get(replica);
    if (spell == null || millis < spell.knownMillis || millis >= spell.untilMillis) {
      return;
    }
    CallRecord record = calls.get(call);
    synchronized (spell) {
      count("atCold");
      if (spell.arrivals.isEmpty()) {
        count("coldSpellsWithLoad");
      }
      spell.arrivals.add(new Arrival(millis, record == null ? "?" : record.instance.name()));
      checkCold(replica, spell, millis);
    }
  }

  /** Checks each second that begins with an arrival and contains a moment. */
  private void checkCold(String replica, ColdSpell spell, long millis) {
    List<Arrival> most = List.of();
    for (Arrival first : spell.arrivals) {
      long since = millis - first.millis;
      if (since >= 0 && since < SECOND_MILLIS) {
        List<Arrival> second = spell.arrivals.stream().filter(first::beginsSecondOf).toList();
        most = second.size() > most.size() ? second : most;
      }
    }
    int count = most.size();
    synchronized (counts) {
      counts.merge("mostAtColdInSecond", count, Math::max);
    }
    if (count > SoakSite.COLD_BOUND && !wasStalledSince(most.getFirst().millis)) {
      violated(
          Promise.COLD,
          "%s, which %s %d ms before, got %d requests within a second, %d allowed: %s"
              .formatted(
                  replica,
                  spell.cause,
                  millis - spell.fromMillis,
                  count,
                  SoakSite.COLD_BOUND,
                  most.stream()
                      .map(arrival -> arrival.text(spell.fromMillis))
                      .collect(Collectors.joining(", "))));
    }
  }

  /** Records that the store acknowledged that a replica leaves. */
  void replicaLeft(String replica) {
    leftMillis.putIfAbsent(replica, MonotonicClock.millis());
  }

  /** Records that a replica is about to be ready again. */
  void replicaReturns(String replica) {
    leftMillis.remove(replica);
  }

  /** Records a call before it is sent over a connection that was idle for some time. */
  void callBegins(
      Call call, String customer, Instance instance, Instance.Run run, long idleSinceMillis) {
    calls.put(call.id(), new CallRecord(call, customer, instance, run, idleSinceMillis));
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
      boolean isContinuation = execution.headers().containsKey("kv-from");
      if (isContinuation) {
        count("continuations");
      }
      boolean isOnce = record.call.route() == Route.ONCE || record.call.route() == Route.NOTE;
      if (isOnce && record.executions.size() > 1 && !isContinuation) {
        violated(Promise.ONCE, text + " for the second time");
      }
      if (record.isRefused) {
        violated(Promise.REFUSED, text + " after it was refused");
      }
      if (!execution.customer().equals(record.customer)) {
        violated(
            Promise.CUSTOMER, text + " for " + execution.customer() + ", not " + record.customer);
      }
      Boolean isEngine = engines.get(execution.replica());
      if (isEngine != null && isEngine != record.call.route().isGeneration()) {
        violated(Promise.ROUTE, text);
      }
      if (execution.isGeneration() && !isContinuation) {
        checkVersion(record, execution, text);
      }
      checkLeft(record, execution, text);
      checkEvacuation(record, execution, text);
      checkPoison(record, text);
    }
  }

  private void checkPoison(CallRecord record, String text) {
    PoisonRecord poison = poisons.get(record.call.part());
    if (poison == null) {
      return;
    }
    synchronized (poison) {
      if (poison.crashMillis.size() < KNOWN_CRASHES) {
        return;
      }
      long known = poison.crashMillis.get(KNOWN_CRASHES - 1);
      if (MonotonicClock.millis() - known > Instance.CONTACT_MILLIS
          && record.instance.isInContact(record.run)
          && !wasStalledSince(known)
          && ++poison.lateCalls > MAX_LATE_CALLS) {
        violated(
            Promise.POISON,
            "%s with %s, %d ms after the fifth of %d crashes"
                .formatted(
                    text,
                    record.call.part(),
                    MonotonicClock.millis() - known,
                    poison.crashMillis.size()));
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

  private void checkEvacuation(CallRecord record, Execution execution, String text) {
    Long evacuated = evacuatedMillis.get(domains.getOrDefault(execution.replica(), UNKNOWN_DOMAIN));
    if (evacuated == null || execution.arrivedMillis() < evacuated) {
      return;
    }
    count("atEvacuated");
    long millis = execution.arrivedMillis() - evacuated;
    if (millis > SoakSite.EVACUATION_MILLIS) {
      count("atEvacuatedTooLong");
      if (record.instance.isInContact(record.run, execution.arrivedMillis())
          && !wasStalledSince(evacuated)) {
        violated(
            Promise.EVACUATION,
            "%s, whose domain was evacuated %d ms before; %s"
                .formatted(text, millis, record.instance.contact(record.run)));
      }
    }
  }

  private void checkLeft(CallRecord record, Execution execution, String text) {
    Long left = leftMillis.get(execution.replica());
    if (left != null
        && record.beginMillis - left > CHANGE_KNOWN_MILLIS
        && record.instance.isInContact(record.run)
        && !wasStalledSince(left)) {
      long millis = MonotonicClock.millis() - left;
      violated(Promise.LEFT, text + ", which left " + millis + " ms ago");
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
      if (answer.status() < 0) {
        violated(Promise.ANSWER, text + " got '" + answer.body() + "' in place of a head");
      }
      if (answer.status() == 200) {
        checkContent(call, answer, text);
      }
      if (!answer.isWhole()) {
        checkCutOff(record, answer, text);
      } else if (answer.status() == 502 || answer.status() == 504) {
        checkUnanswered(record, answer, text);
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

  /** Checks that a call that failed was not being executed by a replica without a fault. */
  private void checkUnanswered(CallRecord record, Answer answer, String text) {
    long now = MonotonicClock.millis();
    boolean wasRecalled =
        record.executions.stream()
            .map(execution -> requestedMillis.get(execution.version() + 1))
            .anyMatch(
                requested ->
                    requested != null && now - requested > SoakSite.CHANGE_MILLIS - RECALL_MILLIS);
    if (!record.executions.isEmpty()
        && !poisons.containsKey(record.call.part())
        && !wasRecalled
        && !hasFault(record)
        && now - record.run.terminatedMillis() < GRACE_MILLIS) {
      violated(
          Promise.UNANSWERED,
          "%s: %d %s, executed by [%s]"
              .formatted(text, answer.status(), answer.detail(), replicas(record)));
    }
  }

  /** Returns whether a fault or the end of its time explains that a call got no whole answer. */
  private boolean hasFault(CallRecord record) {
    long time =
        configurationsSince(record.instance, record.run, record.beginMillis)
            .mapToLong(StoredConfiguration::timeoutMillis)
            .reduce(record.call.waitMillis(), Math::min);
    return record.run.isKilled()
        || record.instance.wasPausedSince(record.beginMillis)
        || MonotonicClock.millis() - record.beginMillis > time - DEADLINE_MARGIN_MILLIS
        || record.executions.stream()
            .anyMatch(
                execution ->
                    faultyUntilMillis.getOrDefault(execution.replica(), Long.MIN_VALUE)
                        >= record.beginMillis)
        || wasStalledSince(record.beginMillis);
  }

  /** Checks that a call without a whole answer was cut off by a fault other than SIGTERM. */
  private void checkCutOff(CallRecord record, Answer answer, String text) {
    long now = MonotonicClock.millis();
    long terminated = record.run.terminatedMillis();
    boolean hasCause =
        hasFault(record)
            || record.beginMillis - record.idleSinceMillis
                > longestPauseMillis(record.instance, record.run, record.idleSinceMillis);
    String detail =
        "%s: %s, executed by [%s], sent after a pause of %d ms"
            .formatted(
                text,
                answer.detail(),
                replicas(record),
                record.beginMillis - record.idleSinceMillis);
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
    count(name, 1);
  }

  /** Adds to a count that {@link #counts} returns. */
  void count(String name, int number) {
    synchronized (counts) {
      counts.merge(name, number, Integer::sum);
    }
  }

  /**
   * Returns the number of executions; of generations that started on outdated weights, also those
   * that did so too late at instances out of contact; of executions in evacuated domains, those
   * that came too late likewise; of requests at cold replicas, of the cold times with such
   * requests, and the most of them in any second; of calls in progress at SIGTERM that got a whole
   * answer; of stalls of this process and checks left out because of them; and of answers that were
   * whole or cut off, by status, 0 being none.
   */
  Map<String, Integer> counts() {
    synchronized (counts) {
      return new TreeMap<>(counts);
    }
  }
}
