package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushpier.Moment;
import org.bulrushpier.Steady;
import org.bulrushpier.adapter.EngineFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoredValue;
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
  private static final long LOOK_MILLIS = 150;

  /** How long an engine that changes is left alone before a sign of its end, in milliseconds. */
  private static final long CHANGE_MILLIS = 4_000;

  /** How long a report may still show the state before an accepted order, in milliseconds. */
  private static final long REPORT_LAG_MILLIS = 800;

  /** The pause after a failed write of the lease, in milliseconds. */
  private static final long WRITE_PAUSE_MILLIS = 400;

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
          .observed(EngineFormat.lease(value.content()), value.revision());
    }
  }

  /** The change of one model's weights. */
  private final class Rollout {
    private final String model;
    private final OrderLease lease;
    private final Set<String> changing = new LinkedHashSet<>();
    private final Map<String, Long> lookAt = new HashMap<>();
    private final Set<String> asking = new HashSet<>();
    private final Map<String, Long> acceptedAt = new HashMap<>();
    private long writeAfter = Long.MIN_VALUE;
    private boolean isWriting;
    private boolean isRecordDue;
    private long deferUntil = -1;
    private int deferredFor;

    Rollout(String model) {
      this.model = model;
      this.lease =
          OrderLease.of(tables.settings().name(), tables.settings().orderLeaseMillis());
    }

    void observed(LeaseRecord record, long revision) {
      boolean isOther = !record.holder().equals(tables.settings().name());
      lease.observed(record, revision, Moment.now());
      if (!isOther) {
        return;
      }
      long now = Steady.millis();
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
          engine.pause(now + CHANGE_MILLIS);
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
        return;
      }
      if (isWriting || now.steadyMillis() < writeAfter) {
        return;
      }
      if (!lease.isHeld()) {
        take(wanted, now, engines);
        return;
      }
      if (lease.isRenewalDue(now) || isRecordDue) {
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
            now.steadyMillis()
                + (lease.record().isPresent() ? DEFERENCE_MILLIS : 0)
                + ThreadLocalRandom.current().nextLong(DEFERENCE_SPREAD_MILLIS);
      }
      if (wasMine || now.steadyMillis() >= deferUntil) {
        deferUntil = -1;
        write(wanted.version(), engines, false);
      }
    }

    private void release(int version, List<Replica> engines) {
      if (lease.isHeld() && !isWriting) {
        write(version, engines, true);
      }
    }

    private void write(int version, List<Replica> engines, boolean isReleased) {
      isWriting = true;
      isRecordDue = false;
      List<String> changed = new ArrayList<>();
      for (Replica engine : engines) {
        if (engine.version(model) >= version) {
          changed.add(engine.entry().id());
        }
      }
      LeaseRecord record =
          new LeaseRecord(
              tables.settings().name(), version, List.copyOf(changing), changed, isReleased);
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
          lease.wrote(
              record, StoreFormat.object(outcome.body()).revision(), outcome.sent());
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
          StoredValue other = StoreFormat.object(outcome.body());
          lease.lost();
          changing.clear();
          lease.observed(
              EngineFormat.lease(other.content()), other.revision(), Moment.now());
          tables
              .log()
              .event("lease-refused", "model", model, "revision", other.revision());
        } else {
          writeAfter = Steady.millis() + WRITE_PAUSE_MILLIS;
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
      List<Replica> next = RolloutPlan.next(model, wanted.version(), engines, changing);
      for (Replica engine : next) {
        changing.add(engine.entry().id());
        engine.pause(Steady.millis() + CHANGE_MILLIS);
        isRecordDue = true;
        ask(engine, wanted.version());
      }
    }

    /** Looks at the engines that are changing, those first whose look is due. */
    private void look(WantedWeights.Named wanted) {
      long now = Steady.millis();
      for (String id : List.copyOf(changing)) {
        Replica engine = tables.replicas().find(id);
        if (engine == null || engine.isLeaving()) {
          changing.remove(id);
          isRecordDue = true;
        } else if (!asking.contains(id) && now >= lookAt.getOrDefault(id, 0L)) {
          ask(engine, wanted.version());
        }
      }
    }

    private void ask(Replica engine, int version) {
      String id = engine.entry().id();
      asking.add(id);
      tables
          .client()
          .call(
              engine.entry().address(),
              "GET",
              EngineFormat.REPORT,
              new byte[0],
              CALL_MILLIS,
              outcome -> reported(engine, version, outcome));
    }

    private void reported(Replica engine, int version, StoreClient.Outcome outcome) {
      String id = engine.entry().id();
      asking.remove(id);
      lookAt.put(id, Steady.millis() + LOOK_MILLIS);
      if (!outcome.isOk()) {
        return;
      }
      try {
        EngineFormat.Report report = EngineFormat.report(outcome.body());
        int serves = report.weightVersions().getOrDefault(model, 0);
        if (serves >= version && !report.isChanging()) {
          finished(engine, serves);
        } else if (!report.isChanging()
            && Steady.millis() - acceptedAt.getOrDefault(id, Long.MIN_VALUE / 2)
                > REPORT_LAG_MILLIS
            && lease.mayOrder(Moment.now())) {
          give(engine, version, report.acceptedOrders());
        }
      } catch (IOException e) {
        tables.log().event("report-unreadable", "replica", id, "detail", e.getMessage());
      }
    }

    private void give(Replica engine, int version, long acceptedOrders) {
      String id = engine.entry().id();
      long fence = lease.fence();
      asking.add(id);
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
              outcome -> {
                asking.remove(id);
                lookAt.put(id, Steady.millis() + LOOK_MILLIS);
                if (outcome.status() == HOLDS_ALREADY) {
                  finished(engine, version);
                } else if (outcome.status() == ACCEPTED) {
                  acceptedAt.put(id, Steady.millis());
                } else {
                  tables
                      .log()
                      .event(
                          "order-unaccepted",
                          "replica",
                          id,
                          "status",
                          outcome.status(),
                          "detail",
                          outcome.detail());
                }
              });
    }

    private void finished(Replica engine, int version) {
      engine.sawVersion(model, version);
      engine.resume();
      acceptedAt.remove(engine.entry().id());
      if (changing.remove(engine.entry().id())) {
        isRecordDue = true;
        tables
            .log()
            .event("weights-changed", "replica", engine.entry().id(), "version", version);
      }
    }
  }
}
