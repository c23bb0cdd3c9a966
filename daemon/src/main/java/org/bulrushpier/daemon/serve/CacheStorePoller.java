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
 * Tracks the contents of the cache stores by long polling for their events.
 *
 * <p>If events were lost, all parts of the store are listed again. Engines are not polled: they
 * fetch from the stores whatever they no longer hold, and the number of such calls would grow with
 * the number of instances times the number of engines. Guarded by the loop's lock.
 */
final class CacheStorePoller {

  /**
   * Wait time of a long poll, in milliseconds: the shortest that stores do not treat as a health
   * check. A store holds only a dozen waiting calls and refuses all calls while it has that many.
   */
  private static final long WAIT_MILLIS = 200;

  /** Time allowed for the response in addition to the wait, in milliseconds. */
  private static final long RESPONSE_MARGIN_MILLIS = 400;

  /** Status of a store that holds its maximum of waiting calls; it is otherwise healthy. */
  private static final int TOO_MANY_REQUESTS = 429;

  /** Timeout of a call that lists all parts, in milliseconds. */
  private static final long LIST_TIMEOUT_MILLIS = 1_000;

  /** Relative jitter of the pause between polls, so that instances do not call at the same time. */
  private static final double PAUSE_JITTER = 0.25;

  /** Minimum pause after a failed call, in milliseconds; up to the same time is added at random. */
  private static final long FAILURE_PAUSE_MILLIS = 300;

  /**
   * Maximum rate of polls from one instance to all stores together. A busy store answers at once,
   * so without a bound the number of polls would grow with the number of parts saved.
   */
  private static final double MAX_POLLS_PER_SECOND = 25;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final GatewayContext context;
  private final Set<String> polledStores = new HashSet<>();

  CacheStorePoller(GatewayContext context) {
    this.context = context;
  }

  /** Starts polling the stores that the configuration has added. */
  void tick() {
    context
        .configuration()
        .configuration()
        .ifPresent(
            configuration -> {
              for (Service service : configuration.services().values()) {
                switch (service) {
                  case Service.CacheStore store -> startPolling(store);
                  case Service.Engines engines -> {}
                  case Service.Plain plain -> {}
                }
              }
            });
  }

  private void startPolling(Service.CacheStore store) {
    if (polledStores.add(store.name())) {
      new StorePoller(context.cacheStore(store)).poll();
    }
  }

  private long pauseMillis() {
    double jitter = ThreadLocalRandom.current().nextDouble(1 - PAUSE_JITTER, 1 + PAUSE_JITTER);
    return Math.round(polledStores.size() * MILLIS_PER_SECOND / MAX_POLLS_PER_SECOND * jitter);
  }

  /** Polls one store. */
  private final class StorePoller {
    private final CacheStoreState state;
    private final Address address;
    private long since;
    private boolean isFailing;
    private boolean isRefusing;

    StorePoller(CacheStoreState state) {
      this.state = state;
      this.address = state.store().address();
    }

    void poll() {
      context
          .client()
          .call(
              address,
              CacheFormat.events(since),
              CacheFormat.fields(address.toString(), WAIT_MILLIS),
              WAIT_MILLIS + RESPONSE_MARGIN_MILLIS,
              this::eventsReceived);
    }

    private void eventsReceived(ControlClient.Outcome outcome) {
      if (outcome.status() == TOO_MANY_REQUESTS) {
        pollRefused();
        return;
      }
      if (!outcome.isOk()) {
        pollFailed(outcome.status() + " " + outcome.detail());
        return;
      }
      try {
        CacheFormat.Report report = CacheFormat.report(outcome.body(), since);
        since = report.next();
        isFailing = false;
        isRefusing = false;
        boolean isRestarted = state.recordReport(report.epoch(), MonotonicClock.millis());
        updateState(report);
        context.replicaClock().sample(report.clockMillis(), MonotonicClock.millis());
        if (report.isLost() || (isRestarted && !report.isFromStart())) {
          list();
        } else {
          scheduleNext();
        }
      } catch (IOException e) {
        pollFailed(e.getMessage());
      }
    }

    private void list() {
      context
          .client()
          .call(
              address,
              CacheFormat.LIST,
              CacheFormat.fields(address.toString(), 0),
              LIST_TIMEOUT_MILLIS,
              this::listReceived);
    }

    private void listReceived(ControlClient.Outcome outcome) {
      if (!outcome.isOk()) {
        pollFailed("list: " + outcome.status() + " " + outcome.detail());
        return;
      }
      try {
        CacheFormat.Report all = CacheFormat.list(outcome.body());
        since = all.next();
        if (!state.recordReport(all.epoch(), MonotonicClock.millis())) {
          updateState(all);
        }
        scheduleNext();
      } catch (IOException e) {
        pollFailed(e.getMessage());
      }
    }

    private void updateState(CacheFormat.Report report) {
      report.events().forEach(e -> state.recordPart(e.salt(), e.part(), e.tokens()));
    }

    /** The store is up but has no room for another waiting call; its known contents stay valid. */
    private void pollRefused() {
      if (!isRefusing) {
        isRefusing = true;
        context.log().event("cache-events-refused", "store", state.store().name());
      }
      scheduleNext();
    }

    private void scheduleNext() {
      context.loop().after(pauseMillis(), this::poll);
    }

    private void pollFailed(String detail) {
      state.markUnreachable();
      if (!isFailing) {
        isFailing = true;
        context.log().event("cache-events-lost", "store", state.store().name(), "detail", detail);
      }
      long pause =
          FAILURE_PAUSE_MILLIS + ThreadLocalRandom.current().nextLong(FAILURE_PAUSE_MILLIS);
      context.loop().after(pause, this::poll);
    }
  }
}
