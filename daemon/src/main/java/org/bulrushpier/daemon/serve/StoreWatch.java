package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.bulrushpier.Address;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoredValue;
import org.bulrushpier.daemon.net.NetLoop;

/**
 * Follows one kind of objects in the platform's store: a list first, then watches from its
 * revision.
 *
 * <p>A watch that is still waiting proves nothing, so watches are short, and each kind has a pace
 * of its own: how old a belief may get, against the calls that all instances make together. The
 * listener is told of each call that ended well together with the moment it was sent. After a
 * failure the next call is made after a random pause that grows up to a bound, so that the
 * instances do not return together. Confined to the loop's lock.
 */
final class StoreWatch {

  /** Hears of the objects. */
  interface Listener {
    /** All objects of the kind, as of a call that was sent at the given moment. */
    void listed(List<StoredValue> values, Moment sent);

    /** Changes in their order; none if the watch ended without any. */
    void changed(List<Event> events, Moment sent);

    /** A call failed. */
    void away(String detail);
  }

  /**
   * How often a kind is asked for. Immutable and thread-safe.
   *
   * @param waitMillis how long a watch waits for a change, in milliseconds
   * @param restMillis the pause after changes, so that a series of them comes with one call, in
   *     milliseconds
   */
  record Pace(long waitMillis, long restMillis) {}

  /** What an answer may take beyond the wait, in milliseconds: a slow store takes some hundred. */
  private static final long ANSWER_MILLIS = 700;

  /** How long a first call after a failure may take, in milliseconds. */
  private static final long PROBE_MILLIS = 600;

  private static final long FIRST_PAUSE_MILLIS = 60;
  private static final long LONGEST_PAUSE_MILLIS = 500;
  private static final int GONE = 410;

  private final NetLoop loop;
  private final StoreClient client;
  private final Supplier<Address> address;
  private final String kind;
  private final Pace pace;
  private final Listener listener;
  private final List<StoredValue> pages = new ArrayList<>();
  private Moment listSent;
  private long revision = -1;
  private long pauseMillis = FIRST_PAUSE_MILLIS;
  private boolean isProbing = true;

  StoreWatch(
      NetLoop loop,
      StoreClient client,
      Supplier<Address> address,
      String kind,
      Pace pace,
      Listener listener) {
    this.loop = loop;
    this.client = client;
    this.address = address;
    this.kind = kind;
    this.pace = pace;
    this.listener = listener;
  }

  void start() {
    next();
  }

  private void next() {
    if (revision < 0) {
      list("");
    } else {
      watch();
    }
  }

  private void list(String after) {
    if (after.isEmpty()) {
      pages.clear();
      listSent = Moment.now();
    }
    client.call(
        address.get(),
        "GET",
        StoreFormat.list(kind, after),
        new byte[0],
        PROBE_MILLIS + ANSWER_MILLIS,
        this::listed);
  }

  private void listed(StoreClient.Outcome outcome) {
    if (!outcome.isOk()) {
      failed(outcome);
      return;
    }
    try {
      StoreFormat.Page page = StoreFormat.page(outcome.body());
      pages.addAll(page.values());
      if (page.hasMore() && !page.values().isEmpty()) {
        list(page.values().get(page.values().size() - 1).name());
        return;
      }
      revision = page.revision();
      succeeded();
      listener.listed(List.copyOf(pages), listSent);
      next();
    } catch (IOException e) {
      failed("the list of " + kind + " cannot be read: " + e.getMessage());
    }
  }

  private void watch() {
    long wait = isProbing ? 0 : pace.waitMillis();
    long limit = isProbing ? PROBE_MILLIS : pace.waitMillis() + ANSWER_MILLIS;
    client.call(
        address.get(),
        "GET",
        StoreFormat.watch(kind, revision, wait),
        new byte[0],
        limit,
        this::watched);
  }

  private void watched(StoreClient.Outcome outcome) {
    if (outcome.status() == GONE) {
      revision = -1;
      next();
      return;
    }
    if (!outcome.isOk()) {
      failed(outcome);
      return;
    }
    try {
      StoreFormat.Events events = StoreFormat.events(outcome.body());
      revision = events.revision();
      succeeded();
      listener.changed(events.events(), outcome.sent());
      if (events.events().isEmpty()) {
        next();
      } else {
        loop.after(pace.restMillis(), this::next);
      }
    } catch (IOException e) {
      failed("changes of " + kind + " cannot be read: " + e.getMessage());
    }
  }

  private void succeeded() {
    isProbing = false;
    pauseMillis = FIRST_PAUSE_MILLIS;
  }

  private void failed(StoreClient.Outcome outcome) {
    failed(
        outcome.status() == StoreClient.NO_ANSWER
            ? outcome.detail()
            : "status " + outcome.status());
  }

  private void failed(String detail) {
    isProbing = true;
    listener.away(detail);
    long pause = pauseMillis / 2 + ThreadLocalRandom.current().nextLong(pauseMillis);
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    loop.after(pause, this::next);
  }
}
