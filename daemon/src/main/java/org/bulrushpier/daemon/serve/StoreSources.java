package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.bulrushpier.Address;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.watch.StoreReaders;
import org.bulrushpier.watch.StoreReaders.Source;
import org.bulrushpier.watch.WatchLog;

/**
 * The sources of this instance's watches: the metadata store, or instances of the same failure
 * domain that read it for others.
 *
 * <p>Invariant: when a reader fails one call, all calls that wait at it fail, so that the shortest
 * watch bounds the time for which a reader may be silent. Guarded by the loop's lock.
 */
final class StoreSources {

  /** How a call to a reader ended. */
  enum Status {
    /** The reader returned the result of a watch. */
    ANSWERED,
    /** The reader cannot answer this call; it may answer others. */
    ELSEWHERE,
    /** The reader has failed and is not used for some time. */
    FAILED
  }

  /**
   * The answer to a call to a reader. Immutable by convention.
   *
   * @param status how the call ended
   * @param body the result of the watch, or empty
   * @param proven a moment at which the state after the result was certainly the newest
   */
  record Answer(Status status, byte[] body, Moment proven) {
    private static Answer without(Status status) {
      return new Answer(status, new byte[0], Moment.DISTANT_PAST);
    }
  }

  /** The longest time for which a watch waits for the one that calls again, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 2_000;

  /** The time for the body of a response that has begun, in milliseconds. */
  private static final long BODY_MILLIS = 500;

  private static final int NOT_READ = 404;
  private static final int GONE = 410;
  private static final String STORE = "store";

  /** The live instances of this instance's failure domain, this one included. */
  interface Members {
    List<Address> live(long nowMillis);
  }

  /** A call that waits at a reader. */
  private final class Pending {
    private final Address reader;
    private final Consumer<Answer> consumer;
    private ControlClient.Handle handle;

    Pending(Address reader, Consumer<Answer> consumer) {
      this.reader = reader;
      this.consumer = consumer;
    }

    private void received(ControlClient.Outcome outcome) {
      if (!pending.remove(this)) {
        return;
      }
      if (outcome.isOk() && !eras().accepts(outcome)) {
        leave(reader, "older era");
        consumer.accept(Answer.without(Status.FAILED));
        return;
      }
      Moment now = Moment.now();
      OptionalLong offset = StoreFormat.proofOffsetMillis(outcome.fields());
      if (outcome.status() == NOT_READ || outcome.status() == GONE) {
        consumer.accept(Answer.without(Status.ELSEWHERE));
      } else if (outcome.isOk() && offset.isPresent()) {
        answered(outcome, WatchLog.provenAt(outcome.sent(), offset.getAsLong(), now));
      } else {
        leave(reader, outcome.status() == ControlClient.NO_RESPONSE ? "no response" : "refused");
        consumer.accept(Answer.without(Status.FAILED));
      }
    }

    private void answered(ControlClient.Outcome outcome, Moment proven) {
      byte[] body;
      try {
        body = StoreFormat.received(outcome.fields(), outcome.body());
      } catch (IOException e) {
        leave(reader, "unreadable");
        consumer.accept(Answer.without(Status.FAILED));
        return;
      }
      consumer.accept(new Answer(Status.ANSWERED, body, proven));
    }

    private void fail() {
      if (pending.remove(this)) {
        handle.cancel();
        consumer.accept(Answer.without(Status.FAILED));
      }
    }
  }

  /** A watch that is to call again. Immutable by convention. */
  private record Retry(Runnable call, EventLoop.Timer timer) {}

  private final GatewayContext context;
  private final StoreReaders readers;
  private final Members members;
  private final WatchRelay relay;
  private final Set<Pending> pending = new LinkedHashSet<>();
  private final Map<String, Retry> waiting = new LinkedHashMap<>();
  private String retrying = "";
  private String current = STORE;
  private String reason = "members";

  /**
   * Creates the sources.
   *
   * @param context the state of the gateway
   * @param self the address at which other instances call this one
   * @param members the instances of the failure domain
   */
  StoreSources(GatewayContext context, Address self, Members members) {
    this.context = context;
    this.readers = StoreReaders.of(self);
    this.members = members;
    this.relay = new WatchRelay(context, this::isShared);
    context
        .metrics()
        .gauge(
            "bulrushpier.store.calls.held",
            "Calls of other instances that wait for the next result of a watch",
            relay::heldCalls);
  }

  /** Returns what is known of the era of the store. */
  StoreEras eras() {
    return context.storeEras();
  }

  /** Returns what answers the calls of other instances. */
  WatchRelay relay() {
    return relay;
  }

  /** Returns the source of the next watch. */
  Source next() {
    Source source = select();
    String name =
        switch (source) {
          case Source.Store store -> STORE;
          case Source.Reader reader -> reader.address().toString();
        };
    if (!name.equals(current)) {
      context
          .log()
          .event(
              "store-source",
              "source",
              name,
              "before",
              current,
              "reason",
              reason,
              "ageMs",
              context.configuration().ageMillis(Moment.now()));
      context.metrics().storeSourceChanged(reason);
      current = name;
      reason = "members";
    }
    return source;
  }

  private Source select() {
    int count = context.settings().storeReaders();
    if (count == 0) {
      return new Source.Store(false);
    }
    long now = MonotonicClock.millis();
    return readers.next(members.live(now), count, now);
  }

  private boolean isShared() {
    return select() instanceof Source.Store store && store.isShared();
  }

  /** Counts a watch that is sent to the store. */
  void calledStore() {
    context.metrics().storeWatched(STORE);
  }

  /**
   * Calls a reader; the consumer is called exactly once.
   *
   * @param reader the address of the reader
   * @param target path and query
   * @param timeoutMillis the time after which the reader counts as failed if its response has not
   *     begun, in milliseconds
   * @param consumer receives the answer
   */
  void call(Address reader, String target, long timeoutMillis, Consumer<Answer> consumer) {
    context.metrics().storeWatched("reader");
    Pending call = new Pending(reader, consumer);
    pending.add(call);
    call.handle =
        context.client().readHeld(reader, target, timeoutMillis, BODY_MILLIS, call::received);
  }

  /**
   * Uses a reader no more for some time; all calls that wait there fail.
   *
   * @param reader the address of the reader
   * @param why the reason, out of a fixed set
   */
  void leave(Address reader, String why) {
    reason = why;
    readers.leave(reader, MonotonicClock.millis());
    for (Pending call : List.copyOf(pending)) {
      if (call.reader.equals(reader)) {
        call.fail();
      }
    }
  }

  /**
   * Lets a watch call again after a failure. While none is answered, only one of the watches of
   * this instance calls again and again; the others follow as soon as one is answered.
   *
   * @param kind the kind that the watch reads
   * @param pauseMillis the pause before the next call, in milliseconds
   * @param call makes the call
   */
  void retry(String kind, long pauseMillis, Runnable call) {
    boolean isFirst = retrying.isEmpty() || retrying.equals(kind);
    if (isFirst || context.settings().storeReaders() == 0) {
      retrying = kind;
      context.loop().after(pauseMillis, call);
      return;
    }
    EventLoop.Timer timer =
        context.loop().after(MAX_RETRY_MILLIS + pauseMillis, () -> retryNow(kind));
    waiting.put(kind, new Retry(call, timer));
  }

  private void retryNow(String kind) {
    Retry retry = waiting.remove(kind);
    if (retry != null) {
      retry.timer.cancel();
      retry.call.run();
    }
  }

  /** Records that a watch of this instance was answered. */
  void answered() {
    retrying = "";
    List.copyOf(waiting.keySet()).forEach(this::retryNow);
  }

  /** Reads the store after this process did not run for a while, and answers calls that are due. */
  void tick(long stalledMillis, long nowMillis) {
    if (readers.woken(stalledMillis, nowMillis)) {
      reason = "woken";
      new ArrayList<>(pending).forEach(Pending::fail);
    }
    relay.tick();
  }
}
