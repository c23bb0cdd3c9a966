package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushpier.Address;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.CacheFormat;
import org.bulrushpier.placing.CacheStoreState;
import org.bulrushpier.site.Service;

/**
 * Follows what stores keep, by calls that wait until something changes.
 *
 * <p>Where events were lost, a store's parts are listed anew. Engines are not followed: they fetch
 * from the stores whatever they no longer keep, and the number of such calls would grow with
 * instances times engines. Confined to the loop's lock.
 */
final class CacheEvents {

  /**
   * How long a call waits, in milliseconds: the least that stores do not take for a health check. A
   * store holds a dozen waiting calls only, and refuses all calls while it does.
   */
  private static final long WAIT_MILLIS = 200;

  /** What an answer may take beyond the wait, in milliseconds. */
  private static final long ANSWER_MILLIS = 400;

  /** Status of a store that holds as many waiting calls as it can; it is well otherwise. */
  private static final int TOO_MANY = 429;

  /** How long a list of all parts may take, in milliseconds. */
  private static final long LIST_MILLIS = 1_000;

  /** Rests differ by up to this share of their length, so that instances do not call together. */
  private static final double REST_SPREAD = 0.25;

  /** The pause after a failed call, in milliseconds; the same is added at random. */
  private static final long PAUSE_MILLIS = 300;

  /**
   * Calls for events that an instance makes in a second, to all stores together. A busy store
   * answers at once, so that without a bound the calls grow with the parts that are saved.
   */
  private static final double CALLS_PER_SECOND = 25;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Tables tables;
  private final Set<String> followed = new HashSet<>();

  CacheEvents(Tables tables) {
    this.tables = tables;
  }

  /** Begins to follow stores that became known. */
  void tick() {
    tables
        .configuration()
        .configuration()
        .ifPresent(
            configuration -> {
              for (Service service : configuration.services().values()) {
                switch (service) {
                  case Service.CacheStore store -> follow(store);
                  case Service.Engines engines -> {}
                  case Service.Plain plain -> {}
                }
              }
            });
  }

  private void follow(Service.CacheStore store) {
    if (followed.add(store.name())) {
      new Follower(tables.store(store)).poll();
    }
  }

  private long restMillis() {
    double spread = ThreadLocalRandom.current().nextDouble(1 - REST_SPREAD, 1 + REST_SPREAD);
    return Math.round(followed.size() * MILLIS_PER_SECOND / CALLS_PER_SECOND * spread);
  }

  /** Follows one store. */
  private final class Follower {
    private final CacheStoreState state;
    private final Address address;
    private long since;
    private boolean isSilent;
    private boolean isCrowded;

    Follower(CacheStoreState state) {
      this.state = state;
      this.address = state.store().address();
    }

    void poll() {
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
      if (outcome.status() == TOO_MANY) {
        crowded();
        return;
      }
      if (!outcome.isOk()) {
        failed(outcome.status() + " " + outcome.detail());
        return;
      }
      try {
        CacheFormat.Report report = CacheFormat.report(outcome.body(), since);
        since = report.next();
        isSilent = false;
        isCrowded = false;
        boolean isNew = state.reported(report.epoch(), MonotonicClock.millis());
        keep(report);
        if (report.isLost() || (isNew && !report.isFromStart())) {
          list();
        } else {
          rest();
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
              LIST_MILLIS,
              this::listed);
    }

    private void listed(StoreClient.Outcome outcome) {
      if (!outcome.isOk()) {
        failed("list: " + outcome.status() + " " + outcome.detail());
        return;
      }
      try {
        CacheFormat.Report all = CacheFormat.list(outcome.body());
        since = all.next();
        if (!state.reported(all.epoch(), MonotonicClock.millis())) {
          keep(all);
        }
        rest();
      } catch (IOException e) {
        failed(e.getMessage());
      }
    }

    private void keep(CacheFormat.Report report) {
      report.events().forEach(e -> state.holds(e.salt(), e.part(), e.tokens()));
    }

    /** The store lives, but has no room for another waiting call; what it told before holds. */
    private void crowded() {
      if (!isCrowded) {
        isCrowded = true;
        tables.log().event("cache-events-refused", "store", state.store().name());
      }
      rest();
    }

    private void rest() {
      tables.loop().after(restMillis(), this::poll);
    }

    private void failed(String detail) {
      state.silent();
      if (!isSilent) {
        isSilent = true;
        tables.log().event("cache-events-lost", "store", state.store().name(), "detail", detail);
      }
      long pause = PAUSE_MILLIS + ThreadLocalRandom.current().nextLong(PAUSE_MILLIS);
      tables.loop().after(pause, this::poll);
    }
  }
}
