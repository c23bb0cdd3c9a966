package org.bulrushpier.daemon.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.watch.StoreEra;
import org.eclipse.jetty.http.HttpFields;

/**
 * Looks at the era of all answers of the metadata store, and tells those that keep revisions when a
 * new one begins.
 *
 * <p>Guarded by the loop's lock.
 */
final class StoreEras {

  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private final EventLog log;
  private final GatewayMetrics metrics;
  private final StoreEra era = new StoreEra();
  private final List<Runnable> listeners = new ArrayList<>();
  private long loggedMillis = Long.MIN_VALUE / 2;

  StoreEras(EventLog log, GatewayMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
    metrics.gauge("bulrushpier.store.era", "Era of the metadata store", era::current);
  }

  /** Calls a listener whenever a new era begins. */
  void listen(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns the era. */
  StoreEra era() {
    return era;
  }

  /**
   * Checks whether an answer of the store, or of an instance that reads it, is of the known era. If
   * it begins a new one, the listeners are called first, so that nothing of before is compared with
   * it.
   *
   * @return false if the answer is of an older era and must not be used
   */
  boolean accepts(ControlClient.Outcome outcome) {
    if (outcome.status() <= ControlClient.NO_RESPONSE) {
      return true;
    }
    long before = era.current();
    return switch (era.observe(told(outcome.fields()))) {
      case KNOWN -> true;
      case OLDER -> {
        logBad("store-era-older", "known", before);
        yield false;
      }
      case NEWER -> {
        log.event("store-era", "era", era.current(), "before", before, "kinds", listeners.size());
        metrics.storeEraBegan();
        listeners.forEach(Runnable::run);
        yield true;
      }
    };
  }

  /**
   * Checks whether an answer is of the era that was known before it, so that it fits what its call
   * was made for.
   */
  boolean isUnchangedBy(ControlClient.Outcome outcome) {
    long before = era.current();
    return accepts(outcome) && era.current() == before;
  }

  private OptionalLong told(HttpFields fields) {
    OptionalLong told = StoreFormat.era(fields);
    if (told.isEmpty() && StoreFormat.hasEra(fields)) {
      logBad("store-era-unreadable", "known", era.current());
    }
    return told;
  }

  private void logBad(String event, Object... pairs) {
    long now = MonotonicClock.millis();
    if (now - loggedMillis >= LOG_INTERVAL_MILLIS) {
      loggedMillis = now;
      log.event(event, pairs);
    }
  }
}
