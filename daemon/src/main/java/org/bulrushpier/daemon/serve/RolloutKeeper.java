package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.CacheFormat;
import org.bulrushpier.adapter.EngineFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoredValue;
import org.bulrushpier.placing.CacheStoreState;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.LeaseRecord;
import org.bulrushpier.rollout.OrderLease;
import org.bulrushpier.rollout.RolloutPlan;
import org.bulrushpier.rollout.WantedWeights;

/**
 * Brings named weights to the engines: whoever holds the model's lease gives the orders, and all
 * instances learn from the lease's object which engines are changing.
 *
 * <p>An order names how many orders the engine must have accepted before, so that one that arrives
 * late does nothing once another was accepted. Confined to the loop's lock.
 */
final class RolloutKeeper implements StoreWatch.Listener {

  /** How long others leave a new version to the last holder, in milliseconds. */
  private static final long DEFERENCE_MILLIS = 250;

  private static final long DEFERENCE_SPREAD_MILLIS = 150;

  /** How long a call to the store or to an engine may take, in milliseconds. */
  private static final long CALL_MILLIS = 700;

  /** The pause between two looks at an engine that is changing, in milliseconds. */
  private static final long LOOK_MILLIS = 100;

  /** How long an engine that changes is left alone before a sign of its end, in milliseconds. */
  private static final long CHANGE_MILLIS = 4_000;

  /**
   * How long other instances leave an engine alone after a record that it changes, in milliseconds:
   * a few renewals of the lease, without which its holder gives no order.
   */
  private static final long ANNOUNCED_MILLIS = 1_200;

  /** How long a report may still show the state before an accepted order, in milliseconds. */
  private static final long REPORT_LAG_MILLIS = 800;

  /**
   * The least time between two records of which engines change, in milliseconds: each is read by
   * all.
   */
  private static final long RECORD_MILLIS = 200;

  /** The pause after a failed write of the lease, in milliseconds. */
  private static final long WRITE_PAUSE_MILLIS = 400;

  /** How long an engine whose weights are in doubt is left alone, in milliseconds. */
  private static final long VERIFY_PAUSE_MILLIS = 60;

  /** After this long no call for older weights can still fetch parts, in milliseconds. */
  private static final long FREE_MILLIS = 3_000;

  /** How long an engine that does not answer holds up others, in milliseconds. */
  private static final long SILENCE_MILLIS = 1_500;

  /** How long such an engine is passed over, in milliseconds. */
  private static final long SKIP_MILLIS = 1_500;

  private static final int CONFLICT = 409;
  private static final int ACCEPTED = 202;
  private static final int HOLDS_ALREADY = 200;

  private final Tables tables;
  private final Map<String, Rollout> rollouts = new HashMap<>();

  RolloutKeeper(Tables tables) {
    this.tables = tables;
  }

  /** A version was named or the time went on. */
  void tick() {
    for (Replica replica : List.copyOf(tables.doubtful())) {
      verify(replica);
    }
    tables.doubtful().clear();
    for (String model : tables.weights().models()) {
      rollouts.computeIfAbsent(model, Rollout::new).step();
    }
  }

  @Override
  public void listed(List<StoredValue> values, Moment sent) {
    values.forEach(value -> observe(value, false));
  }

  @Override
  public void changed(List<Event> events, Moment sent) {
    events.forEach(event -> observe(event.value(), event.isRemoved()));
  }

  @Override
  public void away(String detail) {
    // The configuration's watch reports an outage of the store; the lease runs out by itself.
  }

  private void observe(StoredValue value, boolean isRemoved) {
    if (!isRemoved && !value.name().isEmpty()) {
      rollouts
          .computeIfAbsent(value.name(), Rollout::new)
          .observed(EngineFormat.leaseRecord(value.content()), value.revision());
    }
  }

  /** Asks an engine which weights it serves, as its refusal of a call contradicts the belief. */
  private void verify(Replica replica) {
    replica.pause(MonotonicClock.millis() + VERIFY_PAUSE_MILLIS);
    tables
        .client()
        .call(
            replica.entry().address(),
            "GET",
            EngineFormat.REPORT,
            new byte[0],
            CALL_MILLIS,
            outcome -> verified(replica, outcome));
  }

  private void verified(Replica replica, StoreClient.Outcome outcome) {
    if (!outcome.isOk()) {
      return;
    }
    try {
      EngineFormat.report(outcome.body())
          .weightVersions()
          .forEach(
              (model, version) -> {
                if (version != replica.version(model)) {
                  replica.sawVersion(model, version);
                  tables
                      .log()
                      .event("weights-seen", "replica", replica.entry().id(), "version", version);
                }
              });
    } catch (IOException e) {
      tables
          .log()
          .event("report-unreadable", "replica", replica.entry().id(), "detail", e.getMessage());
    }
  }

  /** Frees the parts of older weights once no call can use them any more. */
  private void freeOlder(String model, int version) {
    for (CacheStoreState state : tables.stores()) {
      List<CacheFormat.Kept> parts = new ArrayList<>();
      state
          .olderParts(model, version)
          .forEach((salt, ids) -> ids.forEach(id -> parts.add(new CacheFormat.Kept(salt, id, 0))));
      if (parts.isEmpty() || !state.store().isManaged() || !state.isLive(MonotonicClock.millis())) {
        continue;
      }
      String name = state.store().name();
      tables
          .client()
          .call(
              state.store().address(),
              "POST",
              CacheFormat.FREE,
              CacheFormat.free(parts),
              CALL_MILLIS,
              outcome ->
                  tables
                      .log()
                      .event(
                          "parts-freed",
                          "store",
                          name,
                          "parts",
                          parts.size(),
                          "status",
                          outcome.status()));
    }
  }

  /** An engine that is about to change. */
  private static final class Change {
    private final long sinceMillis = MonotonicClock.millis();
    private long answeredMillis = sinceMillis;
    private long lookAtMillis;
    private long acceptedMillis = Long.MIN_VALUE / 2;
    private boolean isAsking;

    void looked() {
      isAsking = false;
      lookAtMillis = MonotonicClock.millis() + LOOK_MILLIS;
    }
  }

  /** The change of one model's weights. */
  private final class Rollout {
    private final String model;
    private final OrderLease lease;
    private final Map<String, Change> changing = new LinkedHashMap<>();
    private final Map<String, Long> skipUntil = new HashMap<>();
    private long writeAfter = Long.MIN_VALUE;
    private long freeAtMillis = -1;
    private boolean isWriting;
    private boolean isRecordDue;
    private long recordedMillis = Long.MIN_VALUE / 2;
    private long deferUntil = -1;
    private int deferredFor;

    Rollout(String model) {
      this.model = model;
      this.lease = OrderLease.of(tables.settings().name(), tables.settings().orderLeaseMillis());
    }

    void observed(LeaseRecord record, long revision) {
      boolean isOther = !record.holder().equals(tables.settings().name());
      lease.observed(record, revision, Moment.now());
      if (!isOther) {
        return;
      }
      long now = MonotonicClock.millis();
      for (String id : record.changed()) {
        Replica engine = tables.replicas().find(id);
        if (engine != null && engine.version(model) < record.version()) {
          engine.sawVersion(model, record.version());
          engine.resume();
        }
      }
      for (String id : record.changing()) {
        Replica engine = tables.replicas().find(id);
        if (engine != null && engine.version(model) < record.version()) {
          engine.pause(now + ANNOUNCED_MILLIS);
        }
      }
    }

    void step() {
      WantedWeights.Named wanted = tables.weights().wanted(model);
      List<Replica> engines = engines();
      boolean isBehind =
          engines.stream().anyMatch(engine -> engine.version(model) < wanted.version());
      Moment now = Moment.now();
      if (!isBehind && changing.isEmpty()) {
        release(wanted.version(), engines);
        deferUntil = -1;
        if (freeAtMillis > 0 && now.monotonicMillis() >= freeAtMillis) {
          freeAtMillis = -1;
          freeOlder(model, wanted.version());
        }
        return;
      }
      freeAtMillis = -1;
      if (isWriting || now.monotonicMillis() < writeAfter) {
        return;
      }
      if (!lease.isHeld()) {
        take(wanted, now, engines);
        return;
      }
      boolean isRecordRested = now.monotonicMillis() - recordedMillis >= RECORD_MILLIS;
      if (lease.isRenewalDue(now) || (isRecordDue && isRecordRested)) {
        write(wanted.version(), engines, false);
      }
      if (lease.mayOrder(now)) {
        order(wanted, engines);
      }
      look(wanted);
    }

    private List<Replica> engines() {
      List<Replica> engines = new ArrayList<>();
      for (Replica replica : tables.replicas().all()) {
        if (!replica.isLeaving() && replica.entry().weightVersions().containsKey(model)) {
          engines.add(replica);
        }
      }
      return engines;
    }

    private void take(WantedWeights.Named wanted, Moment now, List<Replica> engines) {
      changing.clear();
      if (!lease.mayTake(now)) {
        return;
      }
      boolean wasMine =
          lease
              .record()
              .map(record -> record.holder().equals(tables.settings().name()))
              .orElse(false);
      if (!wasMine && (deferUntil < 0 || deferredFor != wanted.version())) {
        deferredFor = wanted.version();
        deferUntil =
            now.monotonicMillis()
                + (lease.record().isPresent() ? DEFERENCE_MILLIS : 0)
                + ThreadLocalRandom.current().nextLong(DEFERENCE_SPREAD_MILLIS);
      }
      if (wasMine || now.monotonicMillis() >= deferUntil) {
        deferUntil = -1;
        write(wanted.version(), engines, false);
      }
    }

    private void release(int version, List<Replica> engines) {
      if (lease.isHeld() && !isWriting) {
        freeAtMillis = MonotonicClock.millis() + FREE_MILLIS;
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
              tables.settings().name(),
              version,
              List.copyOf(changing.keySet()),
              changed,
              isReleased);
      long revision = lease.revision();
      byte[] body = StoreFormat.write(model, revision, EngineFormat.lease(record));
      String target =
          revision > 0
              ? StoreFormat.object(StoreFormat.LEASES, model)
              : StoreFormat.kind(StoreFormat.LEASES);
      tables
          .client()
          .call(
              tables.settings().platformAddress(),
              revision > 0 ? "PUT" : "POST",
              target,
              body,
              CALL_MILLIS,
              outcome -> written(record, outcome));
    }

    private void written(LeaseRecord record, StoreClient.Outcome outcome) {
      isWriting = false;
      try {
        if (outcome.isOk()) {
          boolean isTaken = !lease.isHeld() && !record.isReleased();
          lease.wrote(record, StoreFormat.value(outcome.body()).revision(), outcome.sent());
          if (isTaken) {
            tables
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
          step();
        } else if (outcome.status() == CONFLICT) {
          StoredValue other = StoreFormat.value(outcome.body());
          lease.lost();
          changing.clear();
          lease.observed(EngineFormat.leaseRecord(other.content()), other.revision(), Moment.now());
          tables.log().event("lease-refused", "model", model, "revision", other.revision());
        } else {
          writeAfter = MonotonicClock.millis() + WRITE_PAUSE_MILLIS;
          tables
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
        tables.log().event("lease-unreadable", "model", model, "detail", e.getMessage());
      }
    }

    private void order(WantedWeights.Named wanted, List<Replica> engines) {
      long now = MonotonicClock.millis();
      List<Replica> able =
          engines.stream()
              .filter(engine -> now >= skipUntil.getOrDefault(engine.entry().id(), 0L))
              .toList();
      for (Replica engine : RolloutPlan.next(model, wanted.version(), able, changing.keySet())) {
        changing.put(engine.entry().id(), new Change());
        engine.pause(now + CHANGE_MILLIS);
        isRecordDue = true;
      }
    }

    /** Looks at the engines that are changing. */
    private void look(WantedWeights.Named wanted) {
      long now = MonotonicClock.millis();
      for (Map.Entry<String, Change> entry : List.copyOf(changing.entrySet())) {
        String id = entry.getKey();
        Change change = entry.getValue();
        Replica engine = tables.replicas().find(id);
        if (engine == null || engine.isLeaving()) {
          drop(id);
        } else if (now - change.answeredMillis > SILENCE_MILLIS) {
          drop(id);
          engine.resume();
          skipUntil.put(id, now + SKIP_MILLIS);
          tables.log().event("engine-silent", "replica", id, "model", model);
        } else if (!change.isAsking && now >= change.lookAtMillis) {
          ask(engine, change, wanted.version());
        }
      }
    }

    private void drop(String id) {
      changing.remove(id);
      isRecordDue = true;
    }

    private void ask(Replica engine, Change change, int version) {
      change.isAsking = true;
      tables
          .client()
          .call(
              engine.entry().address(),
              "GET",
              EngineFormat.REPORT,
              new byte[0],
              CALL_MILLIS,
              outcome -> reported(engine, change, version, outcome));
    }

    private void reported(Replica engine, Change change, int version, StoreClient.Outcome outcome) {
      change.looked();
      if (!outcome.isOk()) {
        return;
      }
      try {
        EngineFormat.Report report = EngineFormat.report(outcome.body());
        long now = MonotonicClock.millis();
        change.answeredMillis = now;
        int serves = report.weightVersions().getOrDefault(model, 0);
        if (serves >= version && !report.isChanging()) {
          finished(engine, serves);
        } else if (!report.isChanging()
            && now - change.acceptedMillis > REPORT_LAG_MILLIS
            && RolloutPlan.isDrained(now - change.sinceMillis, report.running(), report.waiting())
            && lease.mayOrder(Moment.now())) {
          give(engine, change, version, report.acceptedOrders());
        }
      } catch (IOException e) {
        tables
            .log()
            .event("report-unreadable", "replica", engine.entry().id(), "detail", e.getMessage());
      }
    }

    private void give(Replica engine, Change change, int version, long acceptedOrders) {
      String id = engine.entry().id();
      long fence = lease.fence();
      change.isAsking = true;
      byte[] body =
          EngineFormat.changeWeights(
              model, version, tables.settings().name(), fence, acceptedOrders);
      tables
          .log()
          .event("ordered", "replica", id, "model", model, "version", version, "fence", fence);
      tables
          .client()
          .order(
              engine.entry().address(),
              id,
              EngineFormat.ORDER,
              body,
              CALL_MILLIS,
              outcome -> given(engine, change, version, outcome));
    }

    private void given(Replica engine, Change change, int version, StoreClient.Outcome outcome) {
      change.looked();
      switch (outcome.status()) {
        case HOLDS_ALREADY -> finished(engine, version);
        case ACCEPTED -> change.acceptedMillis = MonotonicClock.millis();
        default ->
            tables
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

    private void finished(Replica engine, int version) {
      engine.sawVersion(model, version);
      engine.resume();
      if (changing.containsKey(engine.entry().id())) {
        drop(engine.entry().id());
        tables.log().event("weights-changed", "replica", engine.entry().id(), "version", version);
      }
    }
  }
}
