package org.bulrushpier.daemon.serve;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.CallFormat;
import org.bulrushpier.call.CallerRequest;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.call.UpstreamAnswer;
import org.bulrushpier.daemon.net.AnswerHead;
import org.bulrushpier.daemon.net.CallerConnection;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.InboundRequest;
import org.bulrushpier.daemon.net.Outbound;
import org.bulrushpier.placing.CachePlanner;
import org.bulrushpier.placing.CacheSalt;
import org.bulrushpier.placing.Patience;
import org.bulrushpier.placing.Placement;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.WeightsWish;
import org.bulrushpier.site.Configuration;
import org.bulrushpier.site.ConfiguredRoute;
import org.bulrushpier.site.KeyHolder;
import org.bulrushpier.site.RouteKind;
import org.bulrushpier.site.Service;
import org.bulrushpier.stream.EventSplitter;
import org.eclipse.jetty.http.HttpFields;

/**
 * One caller's request from its arrival to its final answer.
 *
 * <p>Invariants: a call that may not be repeated is sent on at most until the first send whose fate
 * is unknown; an answer says that the request did not run only if nothing was sent or every
 * upstream said so; a stream's events leave in order, each once. Confined to the loop's lock.
 */
final class Exchange {

  /** Below this, nothing can be done for the caller any more, in milliseconds. */
  private static final long MIN_LEFT_MILLIS = 15;

  /** When to come back while this instance lacks a configuration or knows too old a one. */
  private static final long UNCONFIGURED_RETRY_MILLIS = 300;

  /** When to come back after upstreams refused the call. */
  private static final long REFUSED_RETRY_MILLIS = 150;

  /** A call that must not be lost is not risked on a connection idle for longer. */
  private static final long ONCE_IDLE_MILLIS = 2_000;

  /** Calls to replicas that did not take the connection, after which the call is given up. */
  private static final int MAX_CONNECT_FAILURES = 3;

  /** A stream that may be resumed goes on elsewhere after this silence, in milliseconds. */
  private static final long STREAM_SILENCE_MILLIS = 1_200;

  private final Tables tables;
  private final CallerConnection caller;
  private final InboundRequest inbound;
  private final CallerRequest request;
  private final long arrivedMillis = MonotonicClock.millis();
  private final Set<String> tried = new HashSet<>();
  private ConfiguredRoute route;
  private KeyHolder holder = KeyHolder.NOBODY;
  private String service = "";
  private long deadlineMillis;
  private Attempt attempt;
  private int sends;
  private int connectFailures;
  private boolean mayHaveRun;
  private boolean isDone;
  private long lastEvent = -1;
  private boolean isStreaming;
  private long lastProgressMillis;
  private long firstEventAfterMillis = -1;
  private long longestPauseMillis;

  Exchange(Tables tables, CallerConnection caller, InboundRequest inbound, CallerRequest request) {
    this.tables = tables;
    this.caller = caller;
    this.inbound = inbound;
    this.request = request;
  }

  /** Decides what becomes of the request. */
  void begin() {
    Optional<Configuration> known = tables.configuration().configuration();
    if (known.isEmpty()) {
      refuse("no configuration is known yet", UNCONFIGURED_RETRY_MILLIS);
      return;
    }
    Configuration configuration = known.get();
    Optional<ConfiguredRoute> found = configuration.route(request.host(), request.path());
    if (found.isEmpty()) {
      deny(404, "no route", configuration);
      return;
    }
    route = found.get();
    deadlineMillis = arrivedMillis + Math.min(request.waitMillis(), route.timeoutMillis());
    if (!route.isPublic()) {
      long age = tables.configuration().ageMillis(Moment.now());
      if (!tables.keyFreshness().isHonoured(age)) {
        refuse("keys were last confirmed " + age + " ms ago", UNCONFIGURED_RETRY_MILLIS);
        return;
      }
      Optional<KeyHolder> held = configuration.holder(request.key());
      if (held.isEmpty()) {
        deny(401, "unknown key", configuration);
        return;
      }
      holder = held.get();
    }
    service = route.service(ThreadLocalRandom.current().nextDouble());
    lastEvent = request.resumesAfter();
    tables.allowance(service).firstTry(arrivedMillis);
    place();
  }

  boolean isDone() {
    return isDone;
  }

  private long leftMillis() {
    return deadlineMillis - MonotonicClock.millis();
  }

  private void place() {
    long left = leftMillis();
    if (left < MIN_LEFT_MILLIS) {
      giveUp("no time left");
      return;
    }
    Optional<Service> target =
        tables.configuration().configuration().flatMap(c -> c.service(service));
    long now = MonotonicClock.millis();
    List<Replica> usable =
        tables.replicas().of(service).stream().filter(r -> r.isUsable(now)).toList();
    Placement placement;
    if (target.isPresent()
        && target.get() instanceof Service.Engines engines
        && request.prompt().isPresent()) {
      placement = placeOnEngine(engines, request.prompt().get(), usable, left, now);
    } else {
      placement = tables.plain().choose(usable, tried, now);
    }
    switch (placement) {
      case Placement.Send send -> send(send, left);
      case Placement.Refuse refusal -> giveUp(refusal.reason(), refusal.retryAfterMillis());
    }
  }

  private Placement placeOnEngine(
      Service.Engines engines, PromptShape prompt, List<Replica> usable, long left, long now) {
    WeightsWish wish =
        WeightsWish.of(
            tables.weights().wanted(prompt.model()),
            Moment.now(),
            tables.settings().weightsChangeMillis());
    return tables
        .engines()
        .choose(prompt, this::salt, engines, usable, wish, tables.stores(), tried, left, now);
  }

  private String salt(int version) {
    String model = request.prompt().map(PromptShape::model).orElse("");
    return new CacheSalt(model, version, holder.isIsolated() ? holder.customer() : "").text();
  }

  private void send(Placement.Send placed, long left) {
    Replica replica = placed.replica();
    attempt = new Attempt(replica, placed);
    long maxIdle = route.isRepeatable() ? ConnectionPool.ANY_AGE : ONCE_IDLE_MILLIS;
    attempt.start(left, maxIdle);
  }

  /** Looks at the clock. */
  void tick(long nowMillis) {
    if (isDone) {
      return;
    }
    if (nowMillis >= deadlineMillis) {
      timedOut();
    } else if (attempt != null && isSilent(nowMillis) && canRepeat()) {
      Attempt silent = attempt;
      silent.silent();
      place();
    }
  }

  /** Tells whether the present attempt has been silent for so long that another one pays. */
  private boolean isSilent(long nowMillis) {
    if (!route.isRepeatable()) {
      return false;
    }
    if (attempt.work.isStarted()) {
      return isStreaming && nowMillis - lastProgressMillis > STREAM_SILENCE_MILLIS;
    }
    return Patience.of(attempt.placed.expectedMillis(), route.goalMillis())
        .isOver(attempt.work.sentMillis(), attempt.replica.heardMillis(), nowMillis);
  }

  private boolean canRepeat() {
    return sends < route.maxSends()
        && leftMillis() > MIN_LEFT_MILLIS
        && tables.allowance(service).tryRetry(MonotonicClock.millis());
  }

  private void timedOut() {
    Attempt current = attempt;
    if (current != null) {
      current.cancel("timeout");
    }
    if (caller.isAnswerStarted()) {
      tables.log().event("cut", "request", request.id(), "reason", "timeout");
      finish("cut");
      caller.abort();
    } else if (mayHaveRun) {
      fail(504, "no answer in time");
    } else {
      refuse("no time left", -1);
    }
  }

  /** The caller left. */
  void left() {
    if (attempt != null) {
      attempt.cancel("caller left");
    }
    tables.log().event("left", "request", request.id(), "afterMs", age());
    finish("left");
  }

  private long age() {
    return MonotonicClock.millis() - arrivedMillis;
  }

  private void giveUp(String reason) {
    giveUp(reason, REFUSED_RETRY_MILLIS);
  }

  private void giveUp(String reason, long retryAfterMillis) {
    if (caller.isAnswerStarted()) {
      tables.log().event("cut", "request", request.id(), "reason", reason);
      finish("cut");
      caller.abort();
    } else if (mayHaveRun) {
      fail(502, reason);
    } else {
      refuse(reason, retryAfterMillis);
    }
  }

  private void refuse(String reason, long retryAfterMillis) {
    tables
        .log()
        .event(
            "refused",
            "request",
            request.id(),
            "reason",
            reason,
            "afterMs",
            age(),
            "retryAfterMs",
            retryAfterMillis);
    own("refused", 503, reason, retryAfterMillis);
  }

  private void deny(int status, String reason, Configuration configuration) {
    tables
        .log()
        .event(
            "denied",
            "request",
            request.id(),
            "status",
            status,
            "reason",
            reason,
            "configuration",
            configuration.version(),
            "ageMs",
            tables.configuration().ageMillis(Moment.now()));
    own("denied", status, reason, -1);
  }

  private void fail(int status, String reason) {
    tables
        .log()
        .event(
            "failed",
            "request",
            request.id(),
            "status",
            status,
            "reason",
            reason,
            "sends",
            sends,
            "afterMs",
            age());
    own("failed", status, reason, -1);
  }

  private void own(String outcome, int status, String reason, long retryAfterMillis) {
    finish(outcome);
    HttpFields fields = CallFormat.own(request.id(), reason, retryAfterMillis);
    caller.answer(status, fields, new byte[0]);
  }

  private void finish(String outcome) {
    isDone = true;
    attempt = null;
    tables.metrics().outcome(outcome);
  }

  /** Sends the call once more if that is allowed, and otherwise gives the final answer. */
  private void again(String reason) {
    if ((!mayHaveRun || route.isRepeatable()) && canRepeat()) {
      place();
    } else {
      giveUp(reason);
    }
  }

  /** One send of the call to a replica. */
  private final class Attempt implements Outbound.Listener {

    private final Replica replica;
    private final Placement.Send placed;
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private Outbound outbound;
    private Replica.Work work;
    private AnswerHead head;
    private UpstreamAnswer answer;
    private boolean isOver;
    private long unreadAtSend;

    Attempt(Replica replica, Placement.Send placed) {
      this.replica = replica;
      this.placed = placed;
    }

    void start(long left, long maxIdle) {
      Optional<PromptShape> prompt = request.prompt();
      int version = prompt.map(p -> replica.version(p.model())).orElse(0);
      final String salt = prompt.isPresent() ? salt(version) : "";
      int uncached = placed.cache().readTokens();
      long now = MonotonicClock.millis();
      long overdue = now + 2 * Math.max(placed.expectedMillis(), route.goalMillis());
      work =
          new Replica.Work(
              uncached,
              prompt.map(p -> p.totalTokens()).orElse(0),
              placed.cache().transferMillis(),
              now,
              overdue);
      unreadAtSend = replica.unreadTokens() + uncached;
      replica.begin(request.id(), work);
      replica.breaker().begin(now);
      List<String> saves =
          prompt.isPresent()
              ? CachePlanner.saves(prompt.get(), salt, replica, tables.stores(), now)
              : List.of();
      prompt.ifPresent(p -> replica.parts().add(salt, p.parts(), memoryTokens()));
      HttpFields fields =
          CallFormat.forwarded(
              inbound.fields(),
              new CallFormat.Additions(
                  replica.entry().id(),
                  holder.customer(),
                  left,
                  lastEvent,
                  prompt.isPresent() ? Math.clamp(holder.rank(route), 0, 9) : -1,
                  salt,
                  version,
                  placed.cache().sources(),
                  saves),
              inbound.method(),
              inbound.body().length);
      tables
          .log()
          .event(
              "placed",
              "request",
              request.id(),
              "route",
              route.name(),
              "replica",
              replica.entry().id(),
              "uncached",
              uncached,
              "sharedRead",
              placed.cache().sharedReadTokens(),
              "fetched",
              placed.cache().fetchedTokens(),
              "expectedMs",
              placed.expectedMillis(),
              "own",
              replica.own(),
              "toldWaiting",
              replica.told().waiting());
      tables.metrics().placed(placed.cache().sharedReadTokens(), placed.cache().fetchedTokens());
      outbound = Outbound.of(inbound.method(), inbound.target(), fields, inbound.body(), this);
      tables.upstreams().send(replica.entry().address(), outbound, maxIdle);
    }

    private long memoryTokens() {
      return tables
          .configuration()
          .configuration()
          .flatMap(c -> c.service(service))
          .map(s -> s instanceof Service.Engines engines ? engines.memoryTokens() : 0L)
          .orElse(0L);
    }

    void cancel(String reason) {
      if (!isOver) {
        long now = MonotonicClock.millis();
        if (outbound.isSent() && !work.isStarted() && work.isOverdue(now)) {
          replica.breaker().failed(now);
          replica.unreachable(now);
          tables
              .log()
              .event(
                  "upstream-silent",
                  "request",
                  request.id(),
                  "replica",
                  replica.entry().id(),
                  "forMs",
                  now - work.sentMillis(),
                  "cancelledBy",
                  reason);
        }
        over();
        mayHaveRun |= outbound.isSent();
        outbound.cancel();
      }
    }

    /** Gives a silent replica up. */
    void silent() {
      tried.add(replica.entry().id());
      cancel("silence");
    }

    private void over() {
      isOver = true;
      replica.end(request.id());
      attempt = null;
    }

    @Override
    public boolean isMine(AnswerHead read) {
      String id = CallFormat.answer(read.status(), read.fields()).requestId();
      return id.isEmpty() || id.equals(request.id());
    }

    @Override
    public void sending() {
      sends++;
    }

    @Override
    public void started(AnswerHead read) {
      head = read;
      answer = CallFormat.answer(read.status(), read.fields());
      work.started();
      long now = MonotonicClock.millis();
      replica.heard(now);
      answer.load().ifPresent(load -> replica.told(load, now));
      int version = CallFormat.weightVersion(read.fields());
      if (version > 0 && request.prompt().isPresent()) {
        String model = request.prompt().get().model();
        if (version > replica.version(model)) {
          replica.sawVersion(model, version);
        }
      }
      if (answer.isRefusal() || !answer.isSuccess()) {
        return;
      }
      mayHaveRun = true;
      replica.breaker().succeeded();
      if (route.kind() == RouteKind.STREAM) {
        tables.readingRate().sample(unreadAtSend, now - work.sentMillis());
        stream();
      }
    }

    private void stream() {
      lastProgressMillis = MonotonicClock.millis();
      if (!isStreaming) {
        isStreaming = true;
        tables.metrics().firstEvent(age());
        caller.start(head.status(), CallFormat.answered(head.fields()), -1);
      }
    }

    @Override
    public void body(ByteBuffer bytes) {
      if (isOver) {
        return;
      }
      if (isStreaming && answer.isSuccess()) {
        splitter.feed(bytes, this::event);
      } else {
        byte[] piece = new byte[bytes.remaining()];
        bytes.get(piece);
        buffer.write(piece, 0, piece.length);
      }
    }

    private void event(byte[] bytes, long id) {
      long now = MonotonicClock.millis();
      progressed(now);
      replica.heard(now);
      if (id >= 0 && lastEvent >= 0 && id != lastEvent + 1) {
        tables
            .log()
            .event("event-out-of-order", "request", request.id(), "event", id, "after", lastEvent);
        Attempt broken = attempt;
        if (broken != null) {
          broken.cancel("event out of order");
        }
        giveUp("an event of the stream is missing");
        return;
      }
      if (id >= 0) {
        lastEvent = id;
      }
      caller.body(ByteBuffer.wrap(bytes));
    }

    /** Takes note of what makes a stream late: its first event, and pauses between events. */
    private void progressed(long nowMillis) {
      if (firstEventAfterMillis < 0) {
        firstEventAfterMillis = nowMillis - arrivedMillis;
      } else {
        longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastProgressMillis);
      }
      lastProgressMillis = nowMillis;
    }

    @Override
    public void completed() {
      if (isOver) {
        return;
      }
      over();
      replica.outcome(
          answer.isRefusal() || answer.isServerError() || !answer.isSigned(),
          MonotonicClock.millis());
      if (answer.isRefusal()) {
        refused();
      } else if (answer.isSuccess() && isStreaming) {
        streamed();
      } else if (!answer.isSigned() || answer.isEncoded()) {
        replica.breaker().failed(MonotonicClock.millis());
        mayHaveRun = true;
        lost("an answer that is not the upstream's, status " + answer.status());
      } else if (answer.isServerError() && route.isRepeatable() && !isStreaming && canRepeat()) {
        mayHaveRun = true;
        tried.add(replica.entry().id());
        place();
      } else {
        forward();
      }
    }

    private void refused() {
      tables
          .log()
          .event(
              "upstream-refused",
              "request",
              request.id(),
              "replica",
              replica.entry().id(),
              "status",
              answer.status());
      tried.add(replica.entry().id());
      String now = CallFormat.replica(head.fields());
      if (answer.isMisdirected()) {
        if (!now.isEmpty() && !now.equals(replica.entry().id())) {
          replica.leave("its address belongs to " + now);
        } else {
          tables.doubtful(replica);
        }
      }
      again("the upstream refused it");
    }

    private void streamed() {
      if (splitter.isPartial()) {
        lost("the stream ended in the middle of an event");
        return;
      }
      answered();
      caller.complete();
    }

    private void forward() {
      answered();
      caller.answer(head.status(), CallFormat.answered(head.fields()), buffer.toByteArray());
    }

    private void answered() {
      tables
          .log()
          .event(
              "answered",
              "request",
              request.id(),
              "replica",
              replica.entry().id(),
              "status",
              head.status(),
              "afterMs",
              age(),
              "firstEventMs",
              firstEventAfterMillis,
              "longestPauseMs",
              longestPauseMillis);
      tables.metrics().answered(age());
      finish("answered");
    }

    @Override
    public void failed(String detail) {
      if (isOver) {
        return;
      }
      over();
      replica.breaker().failed(MonotonicClock.millis());
      tables
          .log()
          .event(
              "upstream-failed",
              "request",
              request.id(),
              "replica",
              replica.entry().id(),
              "sent",
              outbound.isSent(),
              "detail",
              detail);
      if (outbound.isSent()) {
        mayHaveRun = true;
        lost(detail);
      } else {
        replica.unreachable(MonotonicClock.millis());
        tried.add(replica.entry().id());
        if (++connectFailures >= MAX_CONNECT_FAILURES) {
          giveUp(detail);
        } else {
          place();
        }
      }
    }

    private void lost(String detail) {
      tried.add(replica.entry().id());
      if (isStreaming && !route.isResumable()) {
        giveUp(detail);
      } else {
        again(detail);
      }
    }
  }
}
