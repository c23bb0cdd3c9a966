package org.bulrushpier.daemon.serve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.daemon.net.CallerConnection;
import org.bulrushpier.daemon.net.InboundRequest;
import org.bulrushpier.limit.ByteBudget;
import org.bulrushpier.watch.WatchLog;
import org.eclipse.jetty.http.HttpFields;

/**
 * Answers the watches of other instances from the results of this instance's own ones, while it
 * reads the metadata store for them.
 *
 * <p>A call at the newest revision is held until the next result. Changes out of several results
 * are encoded once for all calls at the same revision.
 *
 * <p>Invariant: answers are given only while every kind that this instance reads is current, so
 * that the shortest watch shows for all of them that this instance is out of touch. Guarded by the
 * loop's lock.
 */
final class WatchRelay implements CallerConnection.Handler {

  private static final int OK = 200;
  private static final int NOT_READ = 404;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  /** The longest time for which a call is held, in milliseconds. */
  private static final long MAX_HOLD_MILLIS = 30_000;

  /** The most encoded bodies of a kind that are kept. */
  private static final int MAX_ENCODED = 4;

  /** A call that waits for the next result. */
  private record Held(
      CallerConnection connection, long revision, Moment received, long untilMillis) {}

  /** What this instance has read of one kind. */
  private static final class Kind {
    private final WatchLog log = new WatchLog();
    private final Set<Held> held = new LinkedHashSet<>();
    private final Map<Long, StoreFormat.RelayedBody> encoded = new HashMap<>();
    private final ByteBudget.Account kept;

    Kind(ByteBudget budget) {
      kept = budget.open(ByteBudget.Use.CONTROL);
    }
  }

  private final GatewayContext context;
  private final BooleanSupplier isShared;
  private final Map<String, Kind> kinds = new HashMap<>();

  /**
   * Creates a relay.
   *
   * @param context the state of the gateway
   * @param isShared whether other instances read what this one has read
   */
  WatchRelay(GatewayContext context, BooleanSupplier isShared) {
    this.context = context;
    this.isShared = isShared;
  }

  private Kind kind(String name) {
    return kinds.computeIfAbsent(name, key -> new Kind(context.loop().budget()));
  }

  /** Returns the number of calls that are held. */
  int heldCalls() {
    return kinds.values().stream().mapToInt(kind -> kind.held.size()).sum();
  }

  /**
   * Records that all objects of a kind were read from the store. If this instance knew an earlier
   * state, the difference continues the log, so that others need not list.
   *
   * @param name the kind
   * @param revision the revision of the list
   * @param values the objects
   * @param known the names of the objects in the state before
   * @param proven a moment at which that state was certainly the newest
   * @param periodMillis the time within which the next result is expected, in milliseconds
   */
  void listed(
      String name,
      long revision,
      List<StoreObject> values,
      Set<String> known,
      Moment proven,
      long periodMillis) {
    if (!isShared.getAsBoolean()) {
      notReading(name);
      return;
    }
    Kind kind = kind(name);
    Moment now = Moment.now();
    Optional<List<WatchLog.Change>> difference =
        kind.log.isOpen()
            ? StoreFormat.difference(values, known, kind.log.revision())
            : Optional.empty();
    if (difference.isPresent()) {
      List<WatchLog.Change> changes = difference.get();
      byte[] body = StoreFormat.events(changes, revision);
      kind.log.append(revision, changes, body, proven, now, periodMillis);
    } else {
      kind.log.begin(revision, proven, now, periodMillis);
    }
    logChanged(kind);
  }

  /**
   * Records the result of a watch at the store.
   *
   * @param name the kind
   * @param before the revision of the watch
   * @param events the result
   * @param body the result as it was received
   * @param proven a moment at which the state after the result was certainly the newest
   * @param periodMillis the time within which the next result is expected, in milliseconds
   */
  void changed(
      String name,
      long before,
      StoreFormat.Events events,
      byte[] body,
      Moment proven,
      long periodMillis) {
    if (!isShared.getAsBoolean()) {
      notReading(name);
      return;
    }
    Kind kind = kind(name);
    Moment now = Moment.now();
    if (!kind.log.isOpen()) {
      kind.log.begin(before, proven, now, periodMillis);
    }
    List<WatchLog.Change> changes = events.events().stream().map(Event::change).toList();
    kind.log.append(events.revision(), changes, body, proven, now, periodMillis);
    logChanged(kind);
  }

  /** Keeps account of the log and answers all calls that wait for a result. */
  private void logChanged(Kind kind) {
    kind.encoded.clear();
    if (!kind.kept.resize(kind.log.bytes())) {
      kind.log.end();
      kind.kept.close();
    }
    for (Held held : takeHeld(kind)) {
      answer(kind, held, Moment.now());
    }
  }

  private static List<Held> takeHeld(Kind kind) {
    List<Held> all = new ArrayList<>(kind.held);
    kind.held.clear();
    return all;
  }

  /** Records that the last watch of a kind at the store has failed. */
  void failed(String name) {
    Kind kind = kinds.get(name);
    if (kind != null) {
      kind.log.failed(Moment.now());
    }
  }

  /** Records that a kind is not read from the store or not for others. */
  void notReading(String name) {
    Kind kind = kind(name);
    if (kind.log.isOpen() || !kind.held.isEmpty()) {
      kind.log.end();
      kind.kept.close();
      kind.encoded.clear();
      takeHeld(kind).forEach(held -> respond(held.connection, NOT_READ));
    }
  }

  /** Ends calls that have been held for their time, or that cannot be answered any more. */
  void tick() {
    if (heldCalls() == 0) {
      return;
    }
    refuseIfOutdated();
    Moment now = Moment.now();
    for (Kind kind : kinds.values()) {
      for (Held held : List.copyOf(kind.held)) {
        if (now.monotonicMillis() >= held.untilMillis) {
          kind.held.remove(held);
          answer(kind, held, now);
        }
      }
    }
  }

  private void refuseIfOutdated() {
    if (isOutdated(Moment.now())) {
      for (Kind kind : kinds.values()) {
        takeHeld(kind).forEach(held -> respond(held.connection, UNAVAILABLE));
      }
    }
  }

  private boolean isOutdated(Moment now) {
    return kinds.values().stream().anyMatch(kind -> kind.log.isOpen() && !kind.log.isCurrent(now));
  }

  @Override
  public void requestReceived(CallerConnection connection, InboundRequest request) {
    Moment now = Moment.now();
    Optional<StoreFormat.WatchRequest> watch = StoreFormat.watchRequest(request.target());
    Kind kind = watch.map(asked -> kinds.get(asked.kind())).orElse(null);
    if (kind == null || !(kind.log.isOpen() || isShared.getAsBoolean())) {
      respond(connection, NOT_READ);
    } else if (isOutdated(now)) {
      respond(connection, UNAVAILABLE);
    } else {
      begin(connection, kind, watch.get(), now);
    }
  }

  private void begin(
      CallerConnection connection, Kind kind, StoreFormat.WatchRequest watch, Moment now) {
    long hold = Math.min(watch.waitMillis(), MAX_HOLD_MILLIS);
    Held held = new Held(connection, watch.revision(), now, now.monotonicMillis() + hold);
    // A log that has not begun does so with the result of the watch that is under way.
    boolean isNews =
        kind.log.isOpen() && !(kind.log.after(watch.revision()) instanceof WatchLog.Answer.Nothing);
    if (isNews || hold == 0) {
      answer(kind, held, now);
    } else {
      kind.held.add(held);
      connection.attach(held);
    }
  }

  private void answer(Kind kind, Held held, Moment now) {
    StoreFormat.RelayedBody body =
        switch (kind.log.after(held.revision)) {
          case WatchLog.Answer.Gone gone -> null;
          case WatchLog.Answer.Whole whole -> encode(kind, held.revision, whole::body);
          case WatchLog.Answer.Nothing nothing ->
              encode(
                  kind, Long.MAX_VALUE, () -> StoreFormat.events(List.of(), kind.log.revision()));
          case WatchLog.Answer.Selected selected ->
              encode(
                  kind,
                  held.revision,
                  () -> StoreFormat.events(selected.changes(), selected.revision()));
        };
    if (body == null) {
      respond(held.connection, kind.log.isOpen() ? GONE : NOT_READ);
      return;
    }
    context.metrics().followerServed();
    long offset = kind.log.proofOffsetMillis(held.received, now);
    long era = context.storeEras().era().current();
    held.connection.respond(OK, StoreFormat.proof(offset, body.isCompressed(), era), body.bytes());
  }

  private static StoreFormat.RelayedBody encode(Kind kind, long revision, Supplier<byte[]> body) {
    StoreFormat.RelayedBody known = kind.encoded.get(revision);
    if (known != null) {
      return known;
    }
    if (kind.encoded.size() >= MAX_ENCODED) {
      kind.encoded.clear();
    }
    StoreFormat.RelayedBody encoded = StoreFormat.relayed(body.get());
    kind.encoded.put(revision, encoded);
    return encoded;
  }

  private static void respond(CallerConnection connection, int status) {
    connection.respond(status, HttpFields.EMPTY, new byte[0]);
  }

  @Override
  public void callerDisconnected(CallerConnection connection) {
    if (connection.attachment() instanceof Held held) {
      kinds.values().forEach(kind -> kind.held.remove(held));
    }
  }
}
