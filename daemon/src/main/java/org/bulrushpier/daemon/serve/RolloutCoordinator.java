package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.CacheFormat;
import org.bulrushpier.adapter.EngineFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.ReadableObject;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.adapter.StoreFormat.UnreadableObject;
import org.bulrushpier.daemon.serve.EngineReports.Answer.Told;
import org.bulrushpier.placing.CacheStoreState;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.EngineChange;
import org.bulrushpier.rollout.LeaseRecord;
import org.bulrushpier.rollout.OrderLease;
import org.bulrushpier.rollout.RequestInterval;
import org.bulrushpier.rollout.RolloutPlan;
import org.bulrushpier.rollout.TargetWeights;

/**
 * Rolls out the requested weight versions to the engines. The instance that holds a model's lease
 * sends the orders, and all instances read from the lease object which engines are changing.
 *
 * <p>An order states how many orders the engine must have accepted before, so that a delayed order
 * has no effect once another one was accepted. Guarded by the loop's lock.
 */
final class RolloutCoordinator implements StoreWatch.Listener {

  /** How long other instances leave a new version to the last lease holder, in milliseconds. */
  private static final long TAKEOVER_DELAY_MILLIS = 250;

  private static final long TAKEOVER_JITTER_MILLIS = 150;

  /** Timeout of a call to the metadata store, a cache store or an engine, in milliseconds. */
  private static final long CALL_TIMEOUT_MILLIS = 700;

  /** Timeout of an order, in milliseconds, after which other engines are ordered. */
  private static final long ORDER_TIMEOUT_MILLIS = 400;

  /** How long a changing engine gets no requests unless it finishes earlier, in milliseconds. */
  private static final long CHANGE_PAUSE_MILLIS = 4_000;

  /**
   * How long other instances send no requests to an engine that a lease record lists as changing,
   * in milliseconds: a few renewals of the lease, without which its holder sends no order.
   */
  private static final long ANNOUNCED_PAUSE_MILLIS = 1_200;

  /**
   * Minimum interval between two records of which engines are changing, in milliseconds: each
   * record is read by all instances.
   */
  private static final long MIN_RECORD_INTERVAL_MILLIS = 200;

  /** Pause after a failed write of the lease, in milliseconds. */
  private static final long WRITE_PAUSE_MILLIS = 400;

  /** How long an engine gets no requests while its weights are verified, in milliseconds. */
  private static final long VERIFY_PAUSE_MILLIS = 60;

  /** The interval at which parts of older weights are looked for, in milliseconds. */
  private static final long FREE_INTERVAL_MILLIS = 2_000;

  /**
   * How long parts of older weights are looked for, in milliseconds: a call may fail, and a save
   * that was ordered before may end late.
   */
  private static final long FREE_PERIOD_MILLIS = 30_000;

  /**
   * How long other instances leave it to the last lease holder to free parts, in milliseconds. Up
   * to the same time is added at random.
   */
  private static final long FREE_TAKEOVER_MILLIS = 5_000;

  /** How long an engine that did not answer is skipped, in milliseconds. */
  private static final long SKIP_MILLIS = 1_500;

  private static final int CONFLICT = 409;
  private static final int ACCEPTED = 202;
  private static final int ALREADY_CHANGED = 200;

  private final GatewayContext context;
  private final Map<String, Rollout> rollouts = new HashMap<>();
  private boolean isStopped;

  RolloutCoordinator(GatewayContext context) {
    this.context = context;
    context.storeEras().listen(() -> rollouts.values().forEach(Rollout::storeRestored));
  }

  /**
   * Verifies engines whose weights are uncertain, and advances the rollout of each model.
   *
   * @param isLeaving whether this instance is shutting down; it then takes no lease, but goes on
   *     under one that it holds
   */
  void tick(boolean isLeaving) {
    for (Replica replica : List.copyOf(context.unverified())) {
      verify(replica);
    }
    context.unverified().clear();
    context.partTerms().convert(Moment.now());
    for (String model : context.weights().models()) {
      rollouts.computeIfAbsent(model, Rollout::new).step(isLeaving);
    }
  }

  /** Stops ordering and releases the leases that this instance holds. */
  void stop() {
    isStopped = true;
    rollouts.values().forEach(Rollout::stop);
  }

  /** Returns whether this instance holds a lease. */
  boolean isHolder() {
    return rollouts.values().stream().anyMatch(rollout -> rollout.lease.isHeld());
  }

  /** Returns the number of engines whose weights are older than the requested ones. */
  int outdatedEngines() {
    return rollouts.values().stream().mapToInt(Rollout::outdatedEngines).sum();
  }

  @Override
  public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
    values.forEach(value -> observe(value, false));
  }

  @Override
  public void changed(List<Event> events, Moment sent, Moment changedAfter) {
    events.forEach(event -> observe(event.value(), event.isRemoved()));
  }

  @Override
  public void unavailable(String detail) {
    // The watch of the configuration logs an outage of the store; the lease expires by itself.
  }

  @Override
  public void failed(String detail) {
    context.log().event("store-response-unread", "kind", StoreFormat.LEASES, "detail", detail);
  }

  private void observe(StoreObject value, boolean isRemoved) {
    if (isRemoved) {
      return;
    }
    LeaseRecord record = leaseRecord(value.name(), value);
    if (!value.name().isEmpty()) {
      rollouts.computeIfAbsent(value.name(), Rollout::new).observed(record, value.revision());
    }
  }

  private LeaseRecord leaseRecord(String model, StoreObject value) {
    return switch (value) {
      case ReadableObject readable -> EngineFormat.leaseRecord(readable.content());
      case UnreadableObject unreadable -> {
        context.logChange("lease-unreadable", model, unreadable.defect());
        yield LeaseRecord.UNKNOWN;
      }
    };
  }

  /** Asks an engine which weights it serves, as it refused a request for the known version. */
  private void verify(Replica replica) {
    replica.pause(MonotonicClock.millis() + VERIFY_PAUSE_MILLIS);
    context
        .reports()
        .ask(replica, CALL_TIMEOUT_MILLIS, answer -> verificationReceived(replica, answer));
  }

  private void verificationReceived(Replica replica, EngineReports.Answer answer) {
    if (!(answer instanceof Told told)) {
      return;
    }
    told.report()
        .weightVersions()
        .forEach(
            (model, version) -> {
              if (version != replica.version(model)) {
                replica.recordVersion(model, version);
                context
                    .log()
                    .event("weights-seen", "replica", replica.entry().id(), "version", version);
              }
            });
  }

  /** Frees cache parts of older weights, which no call can fetch any more, in managed stores. */
  private void freeOlder(String model, int version) {
    for (CacheStoreState state : context.cacheStores()) {
      List<CacheFormat.CachedPart> parts = new ArrayList<>();
      state
          .outdatedParts(model, version)
          .forEach(
              (salt, ids) -> ids.forEach(id -> parts.add(new CacheFormat.CachedPart(salt, id, 0))));
      if (parts.isEmpty() || !state.store().isManaged() || !state.isLive(MonotonicClock.millis())) {
        continue;
      }
      String name = state.store().name();
      context
          .client()
          .call(
              state.store().address(),
              "POST",
              CacheFormat.FREE,
              CacheFormat.free(parts),
              CALL_TIMEOUT_MILLIS,
              outcome ->
                  context
                      .log()
                      .event(
                          "parts-freed",
                          "store",
                          name,
                          "model",
                          model,
                          "olderThan",
                          version,
                          "parts",
                          parts.size(),
                          "status",
                          outcome.status()));
    }
  }

  /** The rollout of one model's weights. */
  private final class Rollout {
    private final String model;
    private final OrderLease lease;
    private final Map<String, EngineChange> changing = new LinkedHashMap<>();
    private final Map<String, Long> skipUntilMillis = new HashMap<>();

    /** The engines that the last record of another holder lists as changing. */
    private final Set<String> announced = new HashSet<>();

    private long nextWriteMillis = Long.MIN_VALUE;
    private final long freeTakeoverMillis =
        FREE_TAKEOVER_MILLIS + ThreadLocalRandom.current().nextLong(FREE_TAKEOVER_MILLIS);
    private long nextFreeMillis = Long.MIN_VALUE;
    private long freeUntilMillis = Long.MIN_VALUE;
    private int oldestKept;
    private boolean isWriting;
    private boolean isRecordDue;
    private long recordedMillis = Long.MIN_VALUE / 2;
    private long takeoverAtMillis = -1;
    private int takeoverVersion;

    Rollout(String model) {
      this.model = model;
      this.lease = OrderLease.of(context.settings().name(), context.settings().orderLeaseMillis());
    }

    void observed(LeaseRecord record, long revision) {
      boolean isOtherHolder = !record.holder().equals(context.settings().name());
      lease.recordRead(record, revision, Moment.now());
      if (!isOtherHolder) {
        return;
      }
      if (record.version() > context.weights().target(model).version()) {
        Moment seen = Moment.now();
        context.weights().refine(model, record.version(), RequestInterval.before(seen), seen);
      }
      for (String id : record.changed()) {
        Replica engine = context.replicas().find(id);
        if (engine != null && engine.version(model) < record.version()) {
          engine.recordVersion(model, record.version());
          engine.resume();
        }
      }
      announced.removeAll(record.changing());
      for (String id : announced) {
        Replica engine = context.replicas().find(id);
        if (engine != null) {
          engine.resume();
        }
      }
      announced.clear();
      announced.addAll(record.changing());
      long now = MonotonicClock.millis();
      for (String id : record.changing()) {
        Replica engine = context.replicas().find(id);
        if (engine != null && engine.version(model) < record.version()) {
          engine.pause(now + ANNOUNCED_PAUSE_MILLIS);
        }
      }
    }

    /** Stops ordering at once: the lease may be another instance's in the store's new era. */
    private void storeRestored() {
      lease.storeRestored(Moment.now());
      changing.clear();
      takeoverAtMillis = -1;
    }

    void step(boolean isLeaving) {
      if (isStopped) {
        return;
      }
      TargetWeights.TargetVersion target = context.weights().target(model);
      List<Replica> engines = engines();
      boolean isBehind =
          engines.stream().anyMatch(engine -> engine.version(model) < target.version());
      Moment now = Moment.now();
      context.partTerms().requested(model, target.version(), now.monotonicMillis());
      freeOutdatedParts(now.monotonicMillis());
      if (!isBehind && changing.isEmpty()) {
        release(target.version(), engines);
        takeoverAtMillis = -1;
        return;
      }
      if (isWriting || now.monotonicMillis() < nextWriteMillis) {
        return;
      }
      if (!lease.isHeld()) {
        if (!isLeaving) {
          take(target, now, engines);
        }
        return;
      }
      boolean isRecordAllowed =
          now.monotonicMillis() - recordedMillis >= MIN_RECORD_INTERVAL_MILLIS;
      if (lease.isRenewalDue(now) || (isRecordDue && isRecordAllowed)) {
        write(target.version(), engines, false);
      }
      if (lease.mayOrder(now)) {
        selectEngines(target, engines);
      }
      pollChanging(target);
    }

    /**
     * Frees parts whose term is over. Neither the lease nor what is known of engines and other
     * instances matters for that; the last holder goes first so that one instance does it.
     */
    private void freeOutdatedParts(long nowMillis) {
      if (nowMillis < nextFreeMillis) {
        return;
      }
      nextFreeMillis = nowMillis + FREE_INTERVAL_MILLIS;
      long delay = wasLastHolder() ? 0 : freeTakeoverMillis;
      int oldest = context.partTerms().oldestKept(model, delay, nowMillis);
      if (oldest > oldestKept) {
        oldestKept = oldest;
        freeUntilMillis = nowMillis + FREE_PERIOD_MILLIS;
      }
      if (nowMillis < freeUntilMillis) {
        freeOlder(model, oldestKept);
      }
    }

    private boolean wasLastHolder() {
      return lease
          .record()
          .map(record -> record.holder().equals(context.settings().name()))
          .orElse(false);
    }

    private int outdatedEngines() {
      int version = context.weights().target(model).version();
      return (int) engines().stream().filter(engine -> engine.version(model) < version).count();
    }

    private List<Replica> engines() {
      List<Replica> engines = new ArrayList<>();
      for (Replica replica : context.replicas().all()) {
        if (!replica.isLeaving() && replica.entry().weightVersions().containsKey(model)) {
          engines.add(replica);
        }
      }
      return engines;
    }

    private void take(TargetWeights.TargetVersion target, Moment now, List<Replica> engines) {
      changing.clear();
      if (!lease.mayTake(now)) {
        return;
      }
      boolean wasHolder = wasLastHolder();
      if (!wasHolder && (takeoverAtMillis < 0 || takeoverVersion != target.version())) {
        takeoverVersion = target.version();
        takeoverAtMillis =
            now.monotonicMillis()
                + (lease.record().isPresent() ? TAKEOVER_DELAY_MILLIS : 0)
                + ThreadLocalRandom.current().nextLong(TAKEOVER_JITTER_MILLIS);
      }
      if (wasHolder || now.monotonicMillis() >= takeoverAtMillis) {
        takeoverAtMillis = -1;
        write(target.version(), engines, false);
      }
    }

    private void stop() {
      changing.clear();
      release(context.weights().target(model).version(), engines());
    }

    private void release(int version, List<Replica> engines) {
      if (lease.isHeld() && !isWriting) {
        write(version, engines, true);
      }
    }

    private void write(int version, List<Replica> engines, boolean isReleased) {
      isWriting = true;
      isRecordDue = false;
      recordedMillis = MonotonicClock.millis();
      List<String> changed = new ArrayList<>();
      for (Replica engine : engines) {
        if (engine.version(model) >= version) {
          changed.add(engine.entry().id());
        }
      }
      LeaseRecord record =
          new LeaseRecord(
              context.settings().name(),
              version,
              List.copyOf(activeChanges()),
              changed,
              isReleased);
      long revision = lease.revision();
      byte[] body = StoreFormat.write(model, revision, EngineFormat.lease(record));
      String target =
          revision > 0
              ? StoreFormat.object(StoreFormat.LEASES, model)
              : StoreFormat.kind(StoreFormat.LEASES);
      context
          .client()
          .call(
              context.settings().platformAddress(),
              revision > 0 ? "PUT" : "POST",
              target,
              body,
              CALL_TIMEOUT_MILLIS,
              outcome -> leaseWritten(record, outcome));
    }

    private void leaseWritten(LeaseRecord record, ControlClient.Outcome outcome) {
      isWriting = false;
      if (!context.storeEras().isUnchangedBy(outcome)) {
        // The lease is taken anew once what the store has now was read.
        nextWriteMillis = MonotonicClock.millis() + WRITE_PAUSE_MILLIS;
        return;
      }
      try {
        if (outcome.isOk()) {
          boolean isTaken = !lease.isHeld() && !record.isReleased();
          long revision = StoreFormat.value(StoreFormat.LEASES, outcome.body()).revision();
          long token = context.storeEras().era().fence(revision);
          lease.recordWrite(record, revision, token, outcome.sent());
          if (isTaken) {
            context
                .log()
                .event(
                    "lease-taken",
                    "model",
                    model,
                    "version",
                    record.version(),
                    "fence",
                    lease.fence());
          }
          if (isStopped && lease.isHeld()) {
            stop();
          } else {
            step(true);
          }
        } else if (outcome.status() == CONFLICT) {
          StoreObject other = StoreFormat.value(StoreFormat.LEASES, outcome.body());
          lease.recordConflict();
          changing.clear();
          lease.recordRead(leaseRecord(model, other), other.revision(), Moment.now());
          context.log().event("lease-refused", "model", model, "revision", other.revision());
        } else {
          nextWriteMillis = MonotonicClock.millis() + WRITE_PAUSE_MILLIS;
          context
              .log()
              .event(
                  "lease-unwritten",
                  "model",
                  model,
                  "status",
                  outcome.status(),
                  "detail",
                  outcome.detail());
        }
      } catch (IOException e) {
        context.log().event("lease-unreadable", "model", model, "detail", e.getMessage());
      }
    }

    /** Returns the ids of the engines that are changing or may begin to at any time. */
    private Set<String> activeChanges() {
      Set<String> active = new LinkedHashSet<>();
      changing.forEach(
          (id, change) -> {
            if (change.isActive()) {
              active.add(id);
            }
          });
      return active;
    }

    /**
     * Applies a response to the progress of an engine. The engine gets requests while its order is
     * unanswered.
     */
    private void update(Replica engine, EngineChange change, Runnable response) {
      boolean wasUnanswered = change.isUnanswered();
      response.run();
      if (changing.get(engine.entry().id()) != change || change.isUnanswered() == wasUnanswered) {
        return;
      }
      isRecordDue = true;
      if (wasUnanswered) {
        engine.pause(MonotonicClock.millis() + CHANGE_PAUSE_MILLIS);
      } else {
        engine.resume();
      }
    }

    private void selectEngines(TargetWeights.TargetVersion target, List<Replica> engines) {
      long now = MonotonicClock.millis();
      List<Replica> eligible =
          engines.stream()
              .filter(engine -> now >= skipUntilMillis.getOrDefault(engine.entry().id(), 0L))
              .toList();
      int active = activeChanges().size();
      for (Replica engine :
          RolloutPlan.next(model, target.version(), eligible, changing.keySet(), active)) {
        changing.put(engine.entry().id(), EngineChange.start(now));
        engine.pause(now + CHANGE_PAUSE_MILLIS);
        isRecordDue = true;
      }
    }

    /** Requests state reports from changing engines, and drops those that are gone or silent. */
    private void pollChanging(TargetWeights.TargetVersion target) {
      long now = MonotonicClock.millis();
      for (Map.Entry<String, EngineChange> entry : List.copyOf(changing.entrySet())) {
        String id = entry.getKey();
        EngineChange change = entry.getValue();
        Replica engine = context.replicas().find(id);
        if (engine == null || engine.isLeaving()) {
          drop(id);
        } else if (change.isSilent(now)) {
          drop(id);
          engine.resume();
          skipUntilMillis.put(id, now + SKIP_MILLIS);
          context.log().event("engine-silent", "replica", id, "model", model);
        } else if (change.isReportDue(now)) {
          requestReport(engine, change, target.version());
        }
      }
    }

    private void drop(String id) {
      changing.remove(id);
      isRecordDue = true;
    }

    private void requestReport(Replica engine, EngineChange change, int version) {
      change.reportRequested();
      context
          .reports()
          .ask(
              engine,
              CALL_TIMEOUT_MILLIS,
              answer -> reportReceived(engine, change, version, answer));
    }

    private void reportReceived(
        Replica engine, EngineChange change, int version, EngineReports.Answer answer) {
      long now = MonotonicClock.millis();
      change.callEnded(now);
      if (!(answer instanceof Told told)) {
        return;
      }
      EngineFormat.Report report = told.report();
      update(engine, change, () -> change.reported(report.isChanging(), now));
      int servedVersion = report.weightVersions().getOrDefault(model, 0);
      if (servedVersion >= version && !report.isChanging()) {
        finished(engine, servedVersion);
      } else if (!report.isChanging()
          && changing.get(engine.entry().id()) == change
          && change.isOrderDue(report.running(), report.waiting(), now)
          && (change.isActive() || hasRoom())
          && lease.mayOrder(Moment.now())) {
        sendOrder(engine, change, version, report.acceptedOrders());
      }
    }

    private boolean hasRoom() {
      return activeChanges().size() < RolloutPlan.maxConcurrentChanges(engines().size());
    }

    private void sendOrder(Replica engine, EngineChange change, int version, long acceptedOrders) {
      String id = engine.entry().id();
      long fence = lease.fence();
      change.orderSent();
      byte[] body =
          EngineFormat.changeWeights(
              model, version, context.settings().name(), fence, acceptedOrders);
      context
          .log()
          .event("ordered", "replica", id, "model", model, "version", version, "fence", fence);
      context
          .client()
          .order(
              engine.entry().address(),
              id,
              EngineFormat.ORDER,
              body,
              ORDER_TIMEOUT_MILLIS,
              () -> !lease.mayOrder(Moment.now()),
              outcome -> orderAnswered(engine, change, version, outcome));
    }

    private void orderAnswered(
        Replica engine, EngineChange change, int version, ControlClient.Outcome outcome) {
      long now = MonotonicClock.millis();
      switch (outcome.status()) {
        case ALREADY_CHANGED -> finished(engine, version);
        case ACCEPTED -> update(engine, change, () -> change.accepted(now));
        default -> {
          boolean isBusy = outcome.status() == CONFLICT;
          update(engine, change, isBusy ? () -> change.busy(now) : () -> change.unanswered(now));
          context
              .log()
              .event(
                  "order-unaccepted",
                  "replica",
                  engine.entry().id(),
                  "status",
                  outcome.status(),
                  "detail",
                  outcome.detail());
        }
      }
      change.callEnded(now);
    }

    private void finished(Replica engine, int version) {
      engine.recordVersion(model, version);
      engine.resume();
      if (changing.containsKey(engine.entry().id())) {
        drop(engine.entry().id());
        context.log().event("weights-changed", "replica", engine.entry().id(), "version", version);
      }
    }
  }
}
