package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bulrushpier.Address;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.ReadableObject;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.watch.StoreReaders.Source;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches one kind of object in the platform's metadata store: lists all objects first, then
 * watches for changes from the revision of the list.
 *
 * <p>A failed connection is no outage of the store, during which entries lapse: the listener is
 * told of an outage only if a second, new connection yields no response either.
 *
 * <p>Watches may go to another instance that reads the store ({@link StoreSources}). Its response
 * proves the state at an earlier moment than that of the call, which takes the place of the latter.
 * If such a call fails, the store is called at once and without a wait, which is no outage.
 *
 * <p>A watch that is still waiting does not show that the known state is current, so watches are
 * short. Each kind has its own timing, which weighs the age that the known state may reach against
 * the number of calls that all instances make together. The listener receives the result of each
 * successful call with the moment at which the call was sent. After a failure the next call is made
 * after a random pause that grows up to a bound, so that the instances do not return at the same
 * time.
 *
 * <p>When the store comes back from a copy ({@link StoreEras}), its revisions are given out again.
 * The watch then forgets its revision and lists all objects once more, after a random pause; what
 * is under way from before has no effect. Guarded by the loop's lock.
 */
final class StoreWatch {

  /** Receives the objects and their changes. */
  interface Listener {
    /**
     * Receives all objects of the kind.
     *
     * @param values the objects
     * @param sent when the call was sent that read them
     * @param changedAfter a moment after which all changes were made that had not been delivered,
     *     or the distant past
     */
    void listed(List<StoreObject> values, Moment sent, Moment changedAfter);

    /**
     * Receives changes in their order.
     *
     * @param events the changes; empty if the watch ended without a change
     * @param proven a moment at which the state after the changes was certainly the newest: that at
     *     which the call was sent, unless another instance answered it
     * @param changedAfter a moment after which all of them were made
     */
    void changed(List<Event> events, Moment proven, Moment changedAfter);

    /** The store gave no response on any connection, or refused to serve this instance. */
    void unavailable(String detail);

    /** The store's response could not be read or applied; the objects are listed again. */
    void failed(String detail);
  }

  /**
   * The timing of the watches of a kind. Immutable and thread-safe.
   *
   * @param waitMillis how long a watch waits for a change, in milliseconds
   * @param pauseMillis the pause after changes, in milliseconds, so that one call returns a series
   *     of changes
   * @param isChangeConfirmed whether a call without a wait follows changes, so that the next
   *     changes are known to be younger
   */
  record Timing(long waitMillis, long pauseMillis, boolean isChangeConfirmed) {

    /** Creates a timing without confirmation of changes. */
    Timing(long waitMillis, long pauseMillis) {
      this(waitMillis, pauseMillis, false);
    }

    /** Returns the time from the result of a watch to the end of the next one, in milliseconds. */
    long periodMillis() {
      return waitMillis + pauseMillis;
    }
  }

  /**
   * Time allowed for the response in addition to the wait, in milliseconds. A slow store takes a
   * few hundred milliseconds.
   */
  private static final long RESPONSE_MARGIN_MILLIS = 700;

  /**
   * The time after the end of its wait from which on the response of a watch is late, in
   * milliseconds. A dead connection must be noticed before the instance counts as in touch again.
   */
  private static final long LATE_MILLIS = 300;

  /** Timeout of the first call after a failure, in milliseconds. */
  private static final long PROBE_TIMEOUT_MILLIS = 600;

  /**
   * The time for which a reader may hold a call beyond the period of its own watch, in
   * milliseconds, so that the call ends with the reader's next result.
   */
  private static final long HOLD_MARGIN_MILLIS = 150;

  /** The time after the end of its hold from which on a reader's response is late, in ms. */
  private static final long READER_LATE_MILLIS = 200;

  private static final long MIN_BACKOFF_MILLIS = 60;
  private static final long MAX_BACKOFF_MILLIS = 500;
  private static final int GONE = 410;

  /** The longest pause before the list of a new era, in milliseconds. */
  private static final long MAX_ERA_PAUSE_MILLIS = 400;

  private static final long UNKNOWN_REVISION = -1;

  /** The most bytes that the contents of a list may take. */
  private static final long MAX_LIST_BYTES = 16 * 1_024 * 1_024;

  /** The length up to which a content may take the last half of these bytes. */
  private static final int SMALL_CONTENT_BYTES = 2_048;

  private static final Logger log = LoggerFactory.getLogger("store");

  private final EventLoop loop;
  private final ControlClient client;
  private final Supplier<Address> address;
  private final StoreSources sources;
  private final String kind;
  private final Timing timing;
  private final Listener listener;
  private final List<StoreObject> values = new ArrayList<>();

  /** The names of the objects in the known state. */
  private final Set<String> names = new HashSet<>();

  /** The bytes of the contents in {@link #values}. */
  private long keptBytes;

  private Moment listSentAt;

  /** A moment at which the known state was certainly the newest. */
  private Moment currentAt = Moment.DISTANT_PAST;

  private long revision = UNKNOWN_REVISION;

  /**
   * The store's revision at the first page of the list that is being read. A change made after that
   * may be missing from the list.
   */
  private long listRevision;

  private long backoffMillis = MIN_BACKOFF_MILLIS;
  private boolean isProbing = true;
  private boolean isUnavailable;
  private boolean isRelayed;

  /** Grows with each era of the store, so that what is under way can be told from what follows. */
  private int generation;

  StoreWatch(
      EventLoop loop,
      ControlClient client,
      Supplier<Address> address,
      StoreSources sources,
      String kind,
      Timing timing,
      Listener listener) {
    this.loop = loop;
    this.client = client;
    this.address = address;
    this.sources = sources;
    this.kind = kind;
    this.timing = timing;
    this.listener = listener;
  }

  void start() {
    sources.eras().listen(this::eraBegan);
    next();
  }

  private void eraBegan() {
    generation++;
    revision = UNKNOWN_REVISION;
    isProbing = true;
    sources.relay().notReading(kind);
    listener.unavailable("the store came back from a copy");
    loop.after(ThreadLocalRandom.current().nextLong(MAX_ERA_PAUSE_MILLIS), ofThisEra(this::next));
  }

  /** Returns a task that has no effect once another era has begun. */
  private Runnable ofThisEra(Runnable task) {
    int begun = generation;
    return () -> {
      if (generation == begun) {
        task.run();
      }
    };
  }

  private <T> Consumer<T> ofThisEra(Consumer<T> consumer) {
    int begun = generation;
    return value -> {
      if (generation == begun) {
        consumer.accept(value);
      }
    };
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
      values.clear();
      keptBytes = 0;
      listSentAt = Moment.now();
    }
    call(
        new StoreCall.Plan(
            waitMillis -> StoreFormat.list(kind, after),
            0,
            PROBE_TIMEOUT_MILLIS,
            PROBE_TIMEOUT_MILLIS + RESPONSE_MARGIN_MILLIS),
        answer -> received(() -> pageReceived(after, answer.outcome())));
  }

  /**
   * Handles a response and schedules what follows it. A failure while a response is handled leaves
   * it open which part of it has been applied, so the list is read again.
   */
  private void received(Handler handler) {
    Runnable following;
    try {
      following = handler.handle();
    } catch (IOException e) {
      revision = UNKNOWN_REVISION;
      following = failed("unreadable " + kind + " objects: " + e.getMessage());
    } catch (RuntimeException | StackOverflowError e) {
      log.error("store: objects of kind {} could not be applied.", kind, e);
      revision = UNKNOWN_REVISION;
      following = failed(kind + " objects could not be applied: " + e);
    }
    following.run();
  }

  /** Handles a response and returns what follows it. */
  private interface Handler {
    Runnable handle() throws IOException;
  }

  private Runnable pageReceived(String after, ControlClient.Outcome outcome) throws IOException {
    if (!outcome.isOk()) {
      return failed(outcome);
    }
    StoreFormat.Page page = StoreFormat.page(kind, outcome.body());
    if (after.isEmpty()) {
      listRevision = page.revision();
    }
    page.values().forEach(this::keep);
    if (page.hasMore()) {
      String last = lastName(page);
      if (last.isEmpty() || last.equals(after)) {
        throw new IOException("the list does not continue after '" + after + "'");
      }
      return () -> list(last);
    }
    revision = listRevision;
    succeeded();
    listener.listed(List.copyOf(values), listSentAt, currentAt);
    currentAt = listSentAt;
    sources
        .relay()
        .listed(kind, revision, values, Set.copyOf(names), currentAt, timing.periodMillis());
    names.clear();
    values.forEach(value -> names.add(value.name()));
    values.clear();
    // Later pages may hold newer objects than a reader knows.
    isProbing = !after.isEmpty();
    return this::next;
  }

  /**
   * Keeps an object until the list is whole. Without its content it takes next to nothing; the
   * contents of all together are bounded, those of small objects last.
   */
  private void keep(StoreObject value) {
    if (value instanceof ReadableObject readable) {
      int bytes = readable.contentBytes();
      if (keptBytes + bytes > (bytes > SMALL_CONTENT_BYTES ? MAX_LIST_BYTES / 2 : MAX_LIST_BYTES)) {
        values.add(readable.without("the list has more than " + keptBytes + " bytes"));
        return;
      }
      keptBytes += bytes;
    }
    values.add(value);
  }

  private static String lastName(StoreFormat.Page page) {
    for (StoreObject value : page.values().reversed()) {
      if (!value.name().isEmpty()) {
        return value.name();
      }
    }
    return "";
  }

  private void watch() {
    // A watch that follows a failure asks a reader only if the store does not answer.
    if (!isProbing || isUnavailable) {
      switch (sources.next()) {
        case Source.Reader reader -> {
          if (!isRelayed) {
            sources.relay().notReading(kind);
          }
          isRelayed = true;
          watchAt(reader.address());
          return;
        }
        case Source.Store store -> isProbing |= isRelayed;
      }
    }
    isRelayed = false;
    watchStore();
  }

  private void watchStore() {
    long wait = isProbing ? 0 : timing.waitMillis();
    long limit = isProbing ? PROBE_TIMEOUT_MILLIS : RESPONSE_MARGIN_MILLIS;
    sources.calledStore();
    call(
        new StoreCall.Plan(
            waitMillis -> StoreFormat.watch(kind, revision, waitMillis), wait, LATE_MILLIS, limit),
        answer -> received(() -> changesReceived(answer.waitMillis(), answer.outcome())));
  }

  private void watchAt(Address reader) {
    long hold = isUnavailable ? 0 : timing.periodMillis() + HOLD_MARGIN_MILLIS;
    sources.call(
        reader,
        StoreFormat.watch(kind, revision, hold),
        hold + READER_LATE_MILLIS,
        ofThisEra(answer -> received(() -> answeredBy(reader, answer))));
  }

  private Runnable answeredBy(Address reader, StoreSources.Answer answer) {
    if (answer.status() != StoreSources.Status.ANSWERED) {
      return storeInstead(answer.status() == StoreSources.Status.FAILED);
    }
    StoreFormat.Events events;
    try {
      events = StoreFormat.events(kind, answer.body());
    } catch (IOException e) {
      sources.leave(reader, "unreadable");
      return storeInstead(true);
    }
    revision = Math.max(revision, events.revision());
    succeeded();
    listener.changed(events.events(), answer.proven(), currentAt);
    events.events().forEach(this::recordName);
    if (answer.proven().monotonicMillis() > currentAt.monotonicMillis()) {
      currentAt = answer.proven();
    }
    if (currentAt.ageMillis(Moment.now()) > oldestProofMillis()) {
      sources.leave(reader, "outdated");
      return storeInstead(true);
    }
    return this::next;
  }

  /** Calls the store in place of a reader. */
  private Runnable storeInstead(boolean isReaderFailed) {
    isRelayed = false;
    isProbing |= isReaderFailed;
    return this::watchStore;
  }

  private void recordName(Event event) {
    if (event.isRemoved()) {
      names.remove(event.value().name());
    } else {
      names.add(event.value().name());
    }
  }

  /** Returns the age that a proof reaches while a reader's watches end without a failure. */
  private long oldestProofMillis() {
    return 2 * timing.waitMillis() + timing.pauseMillis() + LATE_MILLIS;
  }

  /** Makes a call. While the store is unavailable, one connection per call is enough. */
  private void call(StoreCall.Plan plan, Consumer<StoreCall.Answer> handler) {
    Consumer<StoreCall.Answer> current = ofThisEra(handler);
    Runnable older = ofThisEra(() -> received(() -> failed("an answer of an older era")));
    Consumer<StoreCall.Answer> consumer =
        answer -> {
          if (sources.eras().accepts(answer.outcome())) {
            current.accept(answer);
          } else {
            older.run();
          }
        };
    if (!isUnavailable) {
      StoreCall.send(loop, client, address.get(), plan, consumer);
      return;
    }
    client.read(
        address.get(),
        plan.target().apply(plan.waitMillis()),
        plan.waitMillis() + plan.limitMillis(),
        ConnectionPool.NEW_CONNECTION,
        outcome -> consumer.accept(new StoreCall.Answer(plan.waitMillis(), outcome)));
  }

  private Runnable changesReceived(long waitMillis, ControlClient.Outcome outcome)
      throws IOException {
    if (outcome.status() == GONE) {
      revision = UNKNOWN_REVISION;
      return this::next;
    }
    if (outcome.status() == ControlClient.TOO_LARGE) {
      throw new IOException(outcome.detail());
    }
    if (!outcome.isOk()) {
      return failed(outcome);
    }
    StoreFormat.Events events = StoreFormat.events(kind, outcome.body());
    final long before = revision;
    revision = events.revision();
    succeeded();
    boolean isEmpty = events.events().isEmpty();
    Moment proven = provenAt(isEmpty, waitMillis, outcome.sent(), Moment.now());
    // Others do not wait until this instance has applied the changes.
    sources.relay().changed(kind, before, events, outcome.body(), proven, timing.periodMillis());
    events.events().forEach(this::recordName);
    listener.changed(events.events(), outcome.sent(), currentAt);
    currentAt = proven;
    isProbing = !isEmpty && timing.isChangeConfirmed();
    return isEmpty ? this::next : () -> loop.after(timing.pauseMillis(), ofThisEra(this::next));
  }

  /**
   * Returns a moment at which the state returned by a watch was certainly the newest. The store
   * answers a watch without a change at the end of its wait, unless it cuts the watch off.
   *
   * @param isEmpty whether the watch returned no change
   * @param waitMillis how long the watch was to wait, in milliseconds
   * @param sent when it was sent
   * @param received when its response was received
   * @return the end of a wait that passed without a change, otherwise the moment of sending
   */
  static Moment provenAt(boolean isEmpty, long waitMillis, Moment sent, Moment received) {
    long waitedMillis = received.monotonicMillis() - sent.monotonicMillis();
    boolean isWholeWait = isEmpty && waitedMillis >= waitMillis;
    return isWholeWait ? sent.plusMillis(waitMillis) : sent;
  }

  private void succeeded() {
    isProbing = false;
    isUnavailable = false;
    backoffMillis = MIN_BACKOFF_MILLIS;
    sources.answered();
  }

  private Runnable failed(ControlClient.Outcome outcome) {
    isUnavailable = true;
    listener.unavailable(outcome.status() > 0 ? "status " + outcome.status() : outcome.detail());
    return retryAfterPause();
  }

  private Runnable failed(String detail) {
    listener.failed(detail);
    return retryAfterPause();
  }

  private Runnable retryAfterPause() {
    sources.relay().failed(kind);
    isProbing = true;
    long pause = backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis);
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    return () -> sources.retry(kind, pause, ofThisEra(this::next));
  }
}
