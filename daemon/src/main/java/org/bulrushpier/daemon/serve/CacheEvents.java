package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.bulrushpier.Address;
import org.bulrushpier.Steady;
import org.bulrushpier.adapter.CacheFormat;
import org.bulrushpier.placing.CacheStoreState;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.site.Service;

/**
 * Follows what engines and stores keep, by calls that wait until something changes.
 *
 * <p>Where events were lost, an engine's parts are forgotten and a store's are listed anew.
 * Confined to the loop's lock.
 */
final class CacheEvents {

  /** How long a call waits, in milliseconds: the longest that holders allow. */
  private static final long WAIT_MILLIS = 1_000;

  /** What an answer may take beyond the wait, in milliseconds. */
  private static final long ANSWER_MILLIS = 400;

  private static final long PAUSE_MILLIS = 300;

  private final Tables tables;
  private final Set<String> followed = new HashSet<>();

  CacheEvents(Tables tables) {
    this.tables = tables;
  }

  /** Begins to follow holders that became known. */
  void tick() {
    tables
        .configuration()
        .configuration()
        .ifPresent(
            configuration -> {
              for (Service service : configuration.services().values()) {
                switch (service) {
                  case Service.CacheStore store -> followStore(store);
                  case Service.Engines engines ->
                      tables.replicas().of(engines.name()).forEach(this::followEngine);
                  case Service.Plain plain -> {}
                }
              }
            });
  }

  private void followStore(Service.CacheStore store) {
    if (followed.add(store.name())) {
      CacheStoreState state = tables.store(store);
      new Follower(store.address(), store.name(), () -> true, new StoreSink(state)).poll();
    }
  }

  private void followEngine(Replica engine) {
    String key = engine.entry().id() + "/" + engine.entry().bornMillis();
    if (!engine.isLeaving() && followed.add(key)) {
      new Follower(
              engine.entry().address(),
              engine.entry().id(),
              () -> !engine.isLeaving() && tables.replicas().find(engine.entry().id()) == engine,
              new EngineSink(engine))
          .poll();
    }
  }

  /** Takes what a holder reports. */
  private interface Sink {
    /** A report was read; tells whether all that is kept must be listed. */
    boolean reported(CacheFormat.Report report);

    /** All that is kept. */
    void listed(CacheFormat.Report report);

    /** No answer. */
    void silent();
  }

  /** Keeps an engine's parts. */
  private record EngineSink(Replica engine) implements Sink {
    @Override
    public boolean reported(CacheFormat.Report report) {
      engine.reachable();
      if (report.isLost()) {
        engine.parts().clear();
      }
      report.events().forEach(e -> engine.parts().put(e.salt(), e.part(), e.tokens()));
      return false;
    }

    @Override
    public void listed(CacheFormat.Report report) {}

    @Override
    public void silent() {
      engine.unreachable();
    }
  }

  /** Keeps a store's parts. */
  private record StoreSink(CacheStoreState state) implements Sink {
    @Override
    public boolean reported(CacheFormat.Report report) {
      boolean isNew = state.reported(report.epoch(), Steady.millis());
      report.events().forEach(e -> state.holds(e.salt(), e.part(), e.tokens()));
      return report.isLost() || (isNew && !report.isFromStart());
    }

    @Override
    public void listed(CacheFormat.Report report) {
      if (!state.reported(report.epoch(), Steady.millis())) {
        report.events().forEach(e -> state.holds(e.salt(), e.part(), e.tokens()));
      }
    }

    @Override
    public void silent() {
      state.silent();
    }
  }

  /** Follows one holder. */
  private final class Follower {
    private final Address address;
    private final String name;
    private final BooleanSupplier isWanted;
    private final Sink sink;
    private long since;
    private boolean isSilent;

    Follower(Address address, String name, BooleanSupplier isWanted, Sink sink) {
      this.address = address;
      this.name = name;
      this.isWanted = isWanted;
      this.sink = sink;
    }

    void poll() {
      if (!isWanted.getAsBoolean()) {
        return;
      }
      tables
          .client()
          .call(
              address,
              CacheFormat.events(since),
              CacheFormat.waiting(address.toString(), WAIT_MILLIS),
              WAIT_MILLIS + ANSWER_MILLIS,
              this::answered);
    }

    private void answered(StoreClient.Outcome outcome) {
      if (!outcome.isOk()) {
        failed(outcome.status() + " " + outcome.detail());
        return;
      }
      try {
        CacheFormat.Report report = CacheFormat.report(outcome.body(), since);
        since = report.next();
        isSilent = false;
        if (sink.reported(report)) {
          list();
        } else {
          poll();
        }
      } catch (IOException e) {
        failed(e.getMessage());
      }
    }

    private void list() {
      tables
          .client()
          .call(
              address,
              CacheFormat.LIST,
              CacheFormat.waiting(address.toString(), 0),
              WAIT_MILLIS,
              outcome -> {
                try {
                  if (outcome.isOk()) {
                    CacheFormat.Report all = CacheFormat.list(outcome.body());
                    since = all.next();
                    sink.listed(all);
                  }
                  poll();
                } catch (IOException e) {
                  failed(e.getMessage());
                }
              });
    }

    private void failed(String detail) {
      sink.silent();
      if (!isSilent) {
        isSilent = true;
        tables.log().event("cache-events-lost", "holder", name, "detail", detail);
      }
      long pause = PAUSE_MILLIS + ThreadLocalRandom.current().nextLong(PAUSE_MILLIS);
      tables.loop().after(pause, this::poll);
    }
  }
}
