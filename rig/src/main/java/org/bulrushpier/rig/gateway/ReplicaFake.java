package org.bulrushpier.rig.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import org.bulrushpier.Address;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.Faults;

/**
 * Fake replica of the users' platform, for a plain service or an engine, which records the requests
 * it executes and the orders it accepts.
 *
 * <p>An engine runs as many generations at a time as it has slots; others wait in the order of
 * their arrival. A generation for another version of the weights than the served one is not
 * executed and answered 421. Thread-safe; guarded by one lock. Its behaviour can be changed at any
 * time.
 */
public final class ReplicaFake implements Closeable {

  /** How the replica handles requests. */
  public enum Behaviour {
    /** Executes the request and answers it. */
    ANSWER,
    /** Refuses the request with 503 and marks it as not executed. */
    REFUSE,
    /** Executes the request and closes the connection without a response. */
    LOSE_ANSWER,
    /** Executes the request and answers 500 with the replica's seal. */
    FAIL,
    /** Closes the connection within the third event of a stream that was not resumed. */
    CUT_STREAM,
    /** Like {@link #CUT_STREAM}, and works on to the last event, as its reports show. */
    CUT_STREAM_WORK_ON,
    /** Like {@link #CUT_STREAM}, and answers 500 with the replica's seal to resumed streams. */
    CUT_STREAM_FAIL_RESUMED,
    /** Refuses each other request of a connection, and sends the refusal again with the next. */
    REPEAT_REFUSAL,
    /** Like {@link #REPEAT_REFUSAL}, without the id of the refused request. */
    REPEAT_REFUSAL_WITHOUT_ID,
    /** Executes the request and never responds; closes the connection on release. */
    SILENT,
    /** Pauses the stream after its first event until the replica is released. */
    HOLD_STREAM,
    /** Sends header fields until the connection is closed. */
    ENDLESS_HEAD,
    /** Sends interim responses until the connection is closed. */
    ENDLESS_INTERIM,
    /** Sends body chunks, all in one line, until the connection is closed. */
    ENDLESS_BODY,
    /** Like {@link #ENDLESS_BODY}, in chunks of one byte. */
    ENDLESS_SMALL_CHUNKS,
    /** Sends responses to another request until the connection is closed. */
    ENDLESS_FOREIGN_RESPONSES
  }

  /** How an engine handles orders to change its weights. */
  public enum OrderBehaviour {
    /** Accepts the order and carries it out. */
    PROMPT,
    /** Accepts the order and carries it out late. */
    LATE,
    /** Carries the order out late and does not answer it. */
    LATE_UNANSWERED,
    /** Neither answers the order nor carries it out. */
    UNANSWERED
  }

  /**
   * The duration of the work of a replica. Immutable and thread-safe.
   *
   * @param startMillis the time from the start of an execution to its first byte, in milliseconds
   * @param eventMillis the time before each further event of a stream, in milliseconds
   * @param changeMillis the time that a change of the weights takes, in milliseconds
   */
  public record Pace(long startMillis, long eventMillis, long changeMillis) {}

  /**
   * A silence of the replica in each request that it executes, after which the request goes on. A
   * request whose connection is closed meanwhile is dropped. Immutable and thread-safe.
   *
   * @param afterEvent the event of a stream after which the replica falls silent, or 0 before the
   *     response begins
   * @param millis the duration, in milliseconds
   */
  public record Silence(int afterEvent, long millis) {}

  /**
   * A prompt part that makes the replica crash shortly after the first event of a generation that
   * has it. Immutable and thread-safe.
   *
   * @param part the id of the part, or empty if there is none
   * @param awayMillis the time after which the replica is back as another incarnation, in
   *     milliseconds
   */
  public record Poison(String part, long awayMillis) {
    private boolean isIn(RawHttpServer.Request request) {
      return !part.isEmpty()
          && Arrays.stream(request.header("prefix-hash").split(","))
              .anyMatch(entry -> entry.startsWith(part + ":"));
    }
  }

  /** The number of events in a complete stream of a request that does not state its output. */
  public static final int EVENTS = 5;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;
  private static final long POLL_MILLIS = 10;
  private static final int ENDLESS_REPETITIONS = 1_000;

  /** The time from the first event of a generation to the crash that it causes, in ms. */
  private static final long CRASH_DELAY_MILLIS = 50;

  private static final long COLD_STEP_MILLIS = 500;

  private final ObjectMapper json = new ObjectMapper();
  private final String id;
  private final int slots;
  private final Consumer<Execution> listener;
  private final RawHttpServer server;
  private final Deque<Object> waiting = new ArrayDeque<>();
  private final List<Execution> executions = new ArrayList<>();
  private final List<String> orders = new ArrayList<>();
  private final Map<Socket, String> refusals = new WeakHashMap<>();
  private final CountDownLatch released = new CountDownLatch(1);
  private final AtomicLong endlessBytes = new AtomicLong();
  private String domain = "norte";
  private Behaviour behaviour = Behaviour.ANSWER;
  private Script script = (execution, isFirst) -> Optional.empty();
  private Pace pace = new Pace(0, 0, 0);
  private long silentUntilMillis = Long.MIN_VALUE / 2;
  private Silence silence = new Silence(0, 0);
  private int refused;
  private int dropped;
  private OrderBehaviour orderBehaviour = OrderBehaviour.PROMPT;
  private long ordersDelayedUntilMillis;
  private boolean isChanging;
  private int running;
  private final Set<String> runs = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> workEndMillis = new ConcurrentHashMap<>();
  private int version = 1;
  private long bornMillis = 1_700_000_000_000L;
  private Poison poison = new Poison("", 0);
  private boolean isAway;
  private boolean areReportsWithheld;
  private Runnable crashListener = () -> {};
  private BiConsumer<String, Long> arrivalListener = (requestId, millis) -> {};
  private LongConsumer coldListener = untilMillis -> {};
  private long coldMillis;
  private long coldUntilMillis = Long.MIN_VALUE / 2;
  private final List<Long> crashMillis = new ArrayList<>();

  /**
   * An executed request.
   *
   * @param replica the id of the replica
   * @param version the version of the weights that the replica served
   * @param target the path and query
   * @param headers the header fields by lower-case name
   * @param body the body
   * @param arrivedMillis the monotonic time at which the request arrived, before it waited for a
   *     slot, in milliseconds
   */
  public record Execution(
      String replica,
      int version,
      String target,
      Map<String, String> headers,
      String body,
      long arrivedMillis) {

    /** Returns the id that the caller gave the request. */
    public String requestId() {
      return headers.getOrDefault("attempt-id", "");
    }

    /** Returns the name of the customer for whom the request was sent. */
    public String customer() {
      return headers.getOrDefault("tenant", "");
    }

    /** Returns whether the request is a generation, which uses the weights. */
    public boolean isGeneration() {
      return headers.containsKey("model");
    }
  }

  /**
   * The bytes that a replica sends for an executed request in place of its usual response.
   *
   * @param text the bytes
   * @param isLast whether the replica closes the connection after them
   */
  public record RawResponse(String text, boolean isLast) {}

  /** Decides what a replica sends for an executed request. */
  public interface Script {

    /**
     * Returns what to send for a request.
     *
     * @param execution the request
     * @param isFirst whether it is the first one on its connection
     * @return the bytes, or empty for the usual response
     */
    Optional<RawResponse> response(Execution execution, boolean isFirst);
  }

  private ReplicaFake(String id, int slots, Consumer<Execution> listener) throws IOException {
    this.id = id;
    this.slots = slots;
    this.listener = listener;
    server = new RawHttpServer(this::handle);
  }

  /**
   * Starts a replica on a free port.
   *
   * @param id the replica's instance id
   * @return the replica
   * @throws IOException if no port is free
   */
  public static ReplicaFake start(String id) throws IOException {
    return new ReplicaFake(id, Integer.MAX_VALUE, execution -> {});
  }

  /**
   * Starts a replica on a free port.
   *
   * @param id the replica's instance id
   * @param slots the number of generations that it runs at a time
   * @param listener receives each execution at its start, before any byte of the response
   * @return the replica
   * @throws IOException if no port is free
   */
  public static ReplicaFake start(String id, int slots, Consumer<Execution> listener)
      throws IOException {
    return new ReplicaFake(id, slots, listener);
  }

  /**
   * Returns the replica's instance id.
   *
   * @return the id
   */
  public String id() {
    return id;
  }

  /**
   * Returns the version of the weights that the replica serves.
   *
   * @return the version
   */
  public synchronized int version() {
    return version;
  }

  /**
   * Returns the listen address.
   *
   * @return the address
   */
  public Address address() {
    return server.address();
  }

  /**
   * Changes how subsequent requests are handled.
   *
   * @param next the new behaviour
   */
  public synchronized void setBehaviour(Behaviour next) {
    behaviour = next;
  }

  /**
   * Changes what is sent for subsequent requests that are executed.
   *
   * @param next the new script
   */
  public synchronized void setScript(Script next) {
    script = next;
  }

  /**
   * Changes the duration of subsequent work.
   *
   * @param next the new durations
   */
  public synchronized void setPace(Pace next) {
    pace = next;
  }

  /**
   * Holds back all further bytes of responses to calls, also of those that are running.
   *
   * @param millis how long, in milliseconds
   */
  public synchronized void fallSilent(long millis) {
    silentUntilMillis = Math.max(silentUntilMillis, MonotonicClock.millis() + millis);
  }

  /** Answers no reports any more. */
  public synchronized void withholdReports() {
    areReportsWithheld = true;
  }

  /** Discards the copies that the replica holds. */
  public void discardCopies() {
    RunCopiesFake.clear(address().toString());
  }

  private synchronized boolean areReportsWithheld() {
    return areReportsWithheld;
  }

  private void awaitEndOfSilence() {
    Faults.sleep(silenceLeftMillis());
  }

  private synchronized long silenceLeftMillis() {
    return Math.max(0, silentUntilMillis - MonotonicClock.millis());
  }

  /**
   * Changes when subsequent requests are met with silence.
   *
   * @param next the silence
   */
  public synchronized void setSilence(Silence next) {
    silence = next;
  }

  /**
   * Returns the number of requests that were refused.
   *
   * @return the number of requests
   */
  public synchronized int refused() {
    return refused;
  }

  /**
   * Returns the number of requests whose connection was closed while the replica was silent.
   *
   * @return the number of requests
   */
  public synchronized int dropped() {
    return dropped;
  }

  /**
   * Changes how orders are handled.
   *
   * @param next the new behaviour
   * @param millis how long it applies, in milliseconds; orders that are carried out late are
   *     carried out after this time
   */
  public synchronized void setOrderBehaviour(OrderBehaviour next, long millis) {
    orderBehaviour = next;
    ordersDelayedUntilMillis = MonotonicClock.millis() + millis;
  }

  /**
   * Changes the prompt part that makes the replica crash.
   *
   * @param next the part
   */
  public synchronized void setPoison(Poison next) {
    poison = next;
  }

  private synchronized Poison poison() {
    return poison;
  }

  private synchronized Runnable crashListener() {
    return crashListener;
  }

  /**
   * Changes what is called before each crash under a prompt part takes effect.
   *
   * @param next the listener
   */
  public synchronized void setCrashListener(Runnable next) {
    crashListener = next;
  }

  /**
   * Closes all connections and refuses new ones for some time, after which the replica is back as
   * another incarnation. Does nothing if it is already away.
   *
   * @param awayMillis the time, in milliseconds
   * @throws IOException if the listen socket cannot be closed
   */
  public void crash(long awayMillis) throws IOException {
    crash(awayMillis, () -> {});
  }

  private void crash(long awayMillis, Runnable listener) throws IOException {
    synchronized (this) {
      if (isAway) {
        return;
      }
      isAway = true;
      crashMillis.add(MonotonicClock.millis());
      listener.run();
    }
    RunCopiesFake.clear(address().toString());
    runs.clear();
    server.crash();
    Thread.ofVirtual()
        .start(
            () -> {
              Faults.sleep(awayMillis);
              comeBack();
            });
  }

  /**
   * Changes how long the replica is cold at the begin of each further incarnation.
   *
   * @param millis the time, in milliseconds
   * @param listener receives the monotonic time until which the replica is cold, in milliseconds,
   *     before any request reaches the new incarnation
   */
  public synchronized void setColdMillis(long millis, LongConsumer listener) {
    coldMillis = millis;
    coldListener = listener;
  }

  /**
   * Makes the replica cold from now on without another incarnation. Its entry says so.
   *
   * @param millis the time, in milliseconds
   * @return the monotonic time until which it is cold, in milliseconds
   */
  public synchronized long turnCold(long millis) {
    coldUntilMillis = Math.max(coldUntilMillis, MonotonicClock.millis() + millis);
    return coldUntilMillis;
  }

  /**
   * Changes what receives the id of each request, as its caller gave it, and the monotonic time of
   * its arrival in milliseconds. Requests that are answered 421 are left out. Those that waited for
   * a slot are reported after the wait.
   *
   * @param next the listener
   */
  public synchronized void setArrivalListener(BiConsumer<String, Long> next) {
    arrivalListener = next;
  }

  private void comeBack() {
    try {
      beginIncarnation();
      server.restart();
    } catch (IOException e) {
      throw new IllegalStateException("replica " + id + " could not listen again", e);
    } finally {
      synchronized (this) {
        isAway = false;
      }
    }
  }

  /**
   * Returns the times of all crashes.
   *
   * @return monotonic times in milliseconds
   */
  public synchronized List<Long> crashMillis() {
    return List.copyOf(crashMillis);
  }

  /** Closes all open connections, as a crash of the process would. */
  public void dropConnections() {
    server.dropConnections();
  }

  /** Releases the requests and streams that are waiting. */
  public void release() {
    released.countDown();
  }

  /**
   * Returns the executed requests.
   *
   * @return the requests in the order of their arrival
   */
  public synchronized List<Execution> executions() {
    return List.copyOf(executions);
  }

  /**
   * Returns the accepted orders.
   *
   * @return the bodies of the orders in the order of their arrival
   */
  public synchronized List<String> orders() {
    return List.copyOf(orders);
  }

  /**
   * Returns the replica's registry entry.
   *
   * @param service the name of its service
   * @param state {@code ready} or {@code draining}
   * @return the entry as JSON
   */
  public synchronized String entry(String service, String state) {
    return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
            + "\"slots\":6,\"state\":\"%s\",\"cold_left_ms\":%d,\"seq\":1,\"born\":%d,"
            + "\"models\":[{\"name\":\"m0\",\"version\":%d,\"adapters\":[]}]}")
        .formatted(service, address(), domain, state, coldLeftMillis(), bornMillis, version);
  }

  /** Returns how long the replica remains cold, in the steps in which its entry changes. */
  private long coldLeftMillis() {
    long left = Math.max(0, coldUntilMillis - MonotonicClock.millis());
    return Math.ceilDiv(left, COLD_STEP_MILLIS) * COLD_STEP_MILLIS;
  }

  /**
   * Sets the failure domain that the replica registers with.
   *
   * @param newDomain the name of the domain
   */
  public synchronized void setDomain(String newDomain) {
    domain = newDomain;
  }

  /** Registers as another incarnation from now on, as a replica that left does when it returns. */
  public synchronized void beginIncarnation() {
    bornMillis++;
    if (coldMillis > 0) {
      coldUntilMillis = MonotonicClock.millis() + coldMillis;
      coldListener.accept(coldUntilMillis);
    }
  }

  private boolean handle(RawHttpServer.Request request, Socket socket) throws IOException {
    if (request.path().equals("/report") && areReportsWithheld()) {
      awaitRelease();
      return false;
    }
    return switch (request.path()) {
      case "/report" -> RawHttpServer.sendJson(socket, 200, report());
      case "/order" -> order(request, socket);
      case "/kv-events" -> kvEvents(request, socket);
      default -> call(request, socket);
    };
  }

  private synchronized String report() {
    return ("{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":%d}],"
            + "\"busy\":%b,\"seq\":%d,\"queued\":%d,\"running\":%d,"
            + "\"kv_used\":0,\"kv_total\":50000,\"handles\":0,\"born\":%d,\"runs\":[%s]}")
        .formatted(
            version,
            isChanging,
            orders.size(),
            waiting.size(),
            running,
            bornMillis,
            runs.stream().map(run -> "[\"" + run + "\",100,1,0]").collect(Collectors.joining(",")));
  }

  /**
   * Returns when the replica stopped working on a generation.
   *
   * @param requestId the id of the request
   * @return the monotonic time in milliseconds, or 0 if it has not stopped
   */
  public long workEndMillis(String requestId) {
    return workEndMillis.getOrDefault(requestId, 0L);
  }

  private boolean order(RawHttpServer.Request request, Socket socket) throws IOException {
    JsonNode order = json.readTree(request.body());
    OrderBehaviour current;
    int status;
    synchronized (this) {
      long delay = ordersDelayedUntilMillis - MonotonicClock.millis();
      current = delay > 0 ? orderBehaviour : OrderBehaviour.PROMPT;
      status =
          current == OrderBehaviour.UNANSWERED ? 0 : accept(request, order, Math.max(0, delay));
    }
    if (current == OrderBehaviour.UNANSWERED || current == OrderBehaviour.LATE_UNANSWERED) {
      while (!RawHttpServer.isClosedByPeer(socket)) {
        Faults.sleep(POLL_MILLIS);
      }
      return false;
    }
    return RawHttpServer.sendJson(socket, status, "");
  }

  private int accept(RawHttpServer.Request request, JsonNode order, long delayMillis) {
    int ordered = order.path("version").asInt();
    if (!isChanging && ordered <= version) {
      return OK;
    }
    if (isChanging || order.path("expected").asInt() != orders.size()) {
      return CONFLICT;
    }
    orders.add(request.body());
    long millis = pace.changeMillis() + delayMillis;
    if (millis == 0) {
      version = ordered;
      return ACCEPTED;
    }
    isChanging = true;
    Thread.ofVirtual()
        .start(
            () -> {
              Faults.sleep(millis);
              synchronized (this) {
                version = ordered;
                isChanging = false;
              }
            });
    return ACCEPTED;
  }

  private boolean kvEvents(RawHttpServer.Request request, Socket socket) throws IOException {
    try {
      Thread.sleep(Long.parseLong(request.headers().getOrDefault("wait-ms", "0")));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
    return RawHttpServer.sendJson(
        socket, 200, "{\"boot_epoch\":1,\"next_token\":0,\"lost\":false,\"events\":[]}");
  }

  private boolean call(RawHttpServer.Request request, Socket socket) throws IOException {
    final long arrivedMillis = MonotonicClock.millis();
    if (!request.headers().containsKey("model")) {
      return execute(request, socket, arrivedMillis);
    }
    if (!awaitSlot(socket)) {
      arrived(request, arrivedMillis);
      return false;
    }
    try {
      return execute(request, socket, arrivedMillis);
    } finally {
      synchronized (this) {
        running--;
      }
    }
  }

  private synchronized void arrived(RawHttpServer.Request request, long millis) {
    arrivalListener.accept(request.header("attempt-id"), millis);
  }

  /** Waits for a free slot; returns false if the peer closed the connection before. */
  private boolean awaitSlot(Socket socket) throws IOException {
    Object ticket = new Object();
    synchronized (this) {
      waiting.add(ticket);
    }
    try {
      while (true) {
        synchronized (this) {
          if (running < slots && waiting.peek() == ticket) {
            running++;
            return true;
          }
        }
        if (RawHttpServer.isClosedByPeer(socket)) {
          return false;
        }
        Faults.sleep(POLL_MILLIS);
      }
    } finally {
      synchronized (this) {
        waiting.remove(ticket);
      }
    }
  }

  private boolean execute(RawHttpServer.Request request, Socket socket, long arrivedMillis)
      throws IOException {
    Behaviour current;
    Execution execution = null;
    boolean isMisdirected;
    boolean isRefused;
    String repeated;
    Optional<RawResponse> raw = Optional.empty();
    synchronized (this) {
      current = behaviour;
      String expectedVersion = request.header("expect-version");
      isMisdirected =
          !request.header("expect-instance").equals(id)
              || !(expectedVersion.isEmpty() || expectedVersion.equals("" + version));
      boolean repeats =
          current == Behaviour.REPEAT_REFUSAL || current == Behaviour.REPEAT_REFUSAL_WITHOUT_ID;
      repeated = repeats && !isMisdirected ? refusals.remove(socket) : null;
      boolean lacksCopy =
          request.headers().containsKey("kv-from")
              && !isMisdirected
              && !RunCopiesFake.use(request, address().toString());
      isRefused = lacksCopy || current == Behaviour.REFUSE || (repeats && repeated == null);
      if (repeats && isRefused && !isMisdirected) {
        refusals.put(socket, refusal(request, current));
      }
      if (!isMisdirected) {
        arrived(request, arrivedMillis);
      }
      if (!isMisdirected && !isRefused) {
        execution =
            new Execution(
                id, version, request.target(), request.headers(), request.body(), arrivedMillis);
        executions.add(execution);
        listener.accept(execution);
        raw = script.response(execution, request.isFirst());
      } else if (!isMisdirected) {
        refused++;
      }
    }
    String idHeader = "Attempt-Id: " + request.header("attempt-id") + "\r\n";
    if (isMisdirected) {
      return sendAll(
          socket,
          "HTTP/1.1 421 X\r\n" + idHeader + "Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
    }
    String attemptHeaders = idHeader + "Server-Seal: " + id + "\r\n";
    if (execution != null) {
      attemptHeaders += weightsHeader(execution);
      RunCopiesFake.begin(request);
      if (repeated != null) {
        RawHttpServer.send(socket, repeated);
      }
      Faults.sleep(startMillis());
      awaitEndOfSilence();
      if (!keepSilence(0, socket)) {
        return false;
      }
    }
    if (isRefused) {
      return sendAll(socket, refusal(request, current));
    }
    if (raw.isPresent()) {
      RawHttpServer.send(socket, raw.get().text());
      return !raw.get().isLast();
    }
    return switch (current) {
      case LOSE_ANSWER -> false;
      case FAIL ->
          sendAll(socket, "HTTP/1.1 500 X\r\n" + attemptHeaders + "Content-Length: 4\r\n\r\nfail");
      case ENDLESS_HEAD ->
          sendWithoutEnd(socket, "HTTP/1.1 200 X\r\n" + attemptHeaders, "X-A: aaaaaaaa\r\n");
      case ENDLESS_INTERIM -> sendWithoutEnd(socket, "", "HTTP/1.1 100 X\r\n\r\n");
      case ENDLESS_BODY ->
          sendWithoutEnd(
              socket,
              "HTTP/1.1 200 X\r\n" + attemptHeaders + "Transfer-Encoding: chunked\r\n\r\n",
              "400\r\n" + "a".repeat(1_024) + "\r\n");
      case ENDLESS_SMALL_CHUNKS ->
          sendWithoutEnd(
              socket,
              "HTTP/1.1 200 X\r\n" + attemptHeaders + "Transfer-Encoding: chunked\r\n\r\n",
              "1\r\na\r\n".repeat(ENDLESS_REPETITIONS));
      case ENDLESS_FOREIGN_RESPONSES ->
          sendWithoutEnd(
              socket,
              "",
              "HTTP/1.1 200 X\r\nAttempt-Id: another\r\nContent-Length: 0\r\n\r\n"
                  .repeat(ENDLESS_REPETITIONS));
      case SILENT,
          HOLD_STREAM,
          CUT_STREAM,
          CUT_STREAM_WORK_ON,
          CUT_STREAM_FAIL_RESUMED,
          REPEAT_REFUSAL,
          REPEAT_REFUSAL_WITHOUT_ID,
          REFUSE,
          ANSWER -> {
        if (current == Behaviour.SILENT) {
          awaitRelease();
          yield false;
        }
        if (current == Behaviour.CUT_STREAM_FAIL_RESUMED
            && request.headers().containsKey("last-event-id")) {
          yield sendAll(
              socket, "HTTP/1.1 500 X\r\n" + attemptHeaders + "Content-Length: 4\r\n\r\nfail");
        }
        yield request.headers().containsKey("model")
            ? stream(request, socket, attemptHeaders, current)
            : sendAll(
                socket, "HTTP/1.1 200 X\r\n" + attemptHeaders + "Content-Length: 4\r\n\r\ndone");
      }
    };
  }

  private static String refusal(RawHttpServer.Request request, Behaviour behaviour) {
    String id =
        behaviour == Behaviour.REPEAT_REFUSAL_WITHOUT_ID
            ? ""
            : "Attempt-Id: " + request.header("attempt-id") + "\r\n";
    return "HTTP/1.1 503 X\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  /** Returns false if the peer closed the connection during the silence. */
  private boolean keepSilence(int event, Socket socket) throws IOException {
    Silence current;
    synchronized (this) {
      current = silence;
    }
    if (event != current.afterEvent() || current.millis() <= 0) {
      return true;
    }
    long end = MonotonicClock.millis() + current.millis();
    while (MonotonicClock.millis() < end) {
      if (RawHttpServer.isClosedByPeer(socket)) {
        synchronized (this) {
          dropped++;
        }
        return false;
      }
      Faults.sleep(POLL_MILLIS);
    }
    return true;
  }

  private static String weightsHeader(Execution execution) {
    return execution.isGeneration() ? "Weight-Versions: " + execution.version() + "\r\n" : "";
  }

  private synchronized long startMillis() {
    return pace.startMillis();
  }

  private synchronized long eventMillis() {
    return pace.eventMillis();
  }

  /** Returns the number of events of the whole stream, which is the stated output. */
  private static int events(RawHttpServer.Request request) {
    String[] size = request.header("token-usage").split(",");
    return size.length < 2 ? EVENTS : Integer.parseInt(size[1]);
  }

  private static boolean sendAll(Socket socket, String text) throws IOException {
    RawHttpServer.send(socket, text);
    return true;
  }

  /** Repeats a text until the peer closes the connection. */
  private boolean sendWithoutEnd(Socket socket, String start, String repeated) throws IOException {
    RawHttpServer.send(socket, start);
    while (released.getCount() > 0) {
      RawHttpServer.send(socket, repeated);
      endlessBytes.addAndGet(repeated.length());
    }
    return false;
  }

  /** Returns the number of bytes that endless responses have taken so far. */
  public long endlessBytes() {
    return endlessBytes.get();
  }

  private boolean stream(
      RawHttpServer.Request request, Socket socket, String attemptHeaders, Behaviour current)
      throws IOException {
    String requestId = request.header("attempt-id");
    runs.add(requestId);
    try {
      return sendStream(request, socket, attemptHeaders, current);
    } finally {
      runs.remove(requestId);
      workEndMillis.put(requestId, MonotonicClock.millis());
    }
  }

  private boolean sendStream(
      RawHttpServer.Request request, Socket socket, String attemptHeaders, Behaviour current)
      throws IOException {
    RawHttpServer.send(
        socket,
        "HTTP/1.1 200 X\r\n"
            + attemptHeaders
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    int firstEvent = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0")) + 1;
    for (int event = firstEvent; event <= events(request); event++) {
      boolean isCut =
          current == Behaviour.CUT_STREAM || current == Behaviour.CUT_STREAM_FAIL_RESUMED;
      if (isCut && firstEvent == 1 && event == 3) {
        sendChunk(socket, "id: " + event + "\nda");
        return false;
      }
      if (current == Behaviour.CUT_STREAM_WORK_ON && firstEvent == 1 && event == 3) {
        sendChunk(socket, "id: " + event + "\nda");
        socket.close();
        Faults.sleep((events(request) - event) * eventMillis());
        return false;
      }
      if (event > firstEvent) {
        Faults.sleep(eventMillis());
      }
      awaitEndOfSilence();
      sendChunk(socket, "id: " + event + "\ndata: " + event + "\n\n");
      if (!keepSilence(event, socket)) {
        return false;
      }
      if (poison().isIn(request)) {
        Faults.sleep(CRASH_DELAY_MILLIS);
        crash(poison().awayMillis(), crashListener());
        return false;
      }
      if (current == Behaviour.HOLD_STREAM && event == firstEvent) {
        awaitRelease();
      }
    }
    RunCopiesFake.end(request);
    RawHttpServer.send(socket, "0\r\n\r\n");
    return true;
  }

  private void awaitRelease() {
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void sendChunk(Socket socket, String text) throws IOException {
    RawHttpServer.send(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  @Override
  public void close() throws IOException {
    release();
    server.close();
  }
}
