package org.bulrushpier.rig.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.Address;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Hash;
import org.bulrushpier.cache.ExportOrder;
import org.bulrushpier.cache.ImportOrder;
import org.bulrushpier.cache.ImportResult;
import org.bulrushpier.cache.StoredBlock;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.routing.EngineLoad;
import org.bulrushpier.stream.ChatChunk;
import org.bulrushpier.stream.EngineRequest;

/**
 * A model engine's stand-in.
 *
 * <p>Faults: {@code freeze} stops the batch, {@code slow-factor} slows it, {@code break-streams}
 * (counted) cuts an answer after some tokens, {@code cross-answers} (counted) mixes in an event of
 * another attempt, {@code repeat-events} (counted) sends an event twice, {@code end-early}
 * (counted) ends an answer without its end mark, {@code lie-version} (counted) answers from another
 * weight version, {@code leaving} refuses new work, {@code load-lag-ms} delays load reports.
 * Thread-safe.
 */
public final class EngineFake {

  private static final int MAX_BODY_BYTES = 8_000_000;
  private static final long DEFAULT_LOAD_LAG_MILLIS = 300;
  private static final long EVENT_LAG_MILLIS = 500;
  private static final long FETCH_MILLIS = 5_000;
  private static final long WEIGHTS_MILLIS = 60_000;
  private static final int FAULT_AT_TOKEN = 3;

  private final String name;
  private final String model;
  private final BlockCache cache;
  private final Faults faults = new Faults();
  private final Batch batch;
  private final boolean isChecksFencing;
  private final Optional<Address> weightStore;
  private final HttpCaller caller = HttpCaller.start();
  private final List<Ran> record = new ArrayList<>();
  private final List<Loaded> loads = new ArrayList<>();
  private volatile String version;
  private volatile EngineLoad reported;
  private long lastFence;

  /**
   * Creates an idle engine.
   *
   * @param name the replica's name
   * @param model the model it serves
   * @param version the weight version at the start
   * @param cacheBlocks how many blocks it can hold
   * @param pace how fast it works
   * @param isChecksFencing true to refuse orders with an old fencing number
   * @param weightStore where weights are loaded from, or empty to have them at once
   */
  public EngineFake(
      String name,
      String model,
      String version,
      int cacheBlocks,
      Pace pace,
      boolean isChecksFencing,
      Optional<Address> weightStore) {
    this.name = name;
    this.model = model;
    this.version = version;
    this.cache = new BlockCache(cacheBlocks);
    this.batch = new Batch(pace, faults);
    this.isChecksFencing = isChecksFencing;
    this.weightStore = weightStore;
    this.reported = new EngineLoad(version, false, 0, 0);
  }

  /**
   * An answer that ran here.
   *
   * @param attempt the attempt
   * @param customer the customer
   * @param version the weight version
   * @param promptTokens the prompt's length
   * @param cachedTokens prompt tokens taken from cache
   * @param fromOffset the first token
   * @param toOffset the token after the last
   * @param atMillis when it began
   */
  public record Ran(
      String attempt,
      String customer,
      String version,
      int promptTokens,
      int cachedTokens,
      int fromOffset,
      int toOffset,
      long atMillis) {}

  /**
   * Weights that were loaded.
   *
   * @param weightVersion the version
   * @param fromMillis when loading began
   * @param toMillis when it was done
   */
  public record Loaded(String weightVersion, long fromMillis, long toMillis) {}

  /**
   * An order to load weights.
   *
   * @param fence the fencing number
   * @param weightVersion the version to load
   */
  public record Order(long fence, String weightVersion) {}

  /** Starts the batch and the load reports. */
  public void start() {
    Thread batchThread = new Thread(batch::run, "batch");
    batchThread.setDaemon(true);
    batchThread.start();
    Thread.ofVirtual().name("reports").start(this::report);
  }

  /**
   * Answers a call.
   *
   * @param call the call
   */
  public void answer(Call call) {
    if (faults.answer(call)) {
      return;
    }
    switch (call.path()) {
      case "/v1/chat/completions" -> complete(call);
      case "/load" -> call.json(200, reported);
      case "/record" -> call.json(200, ran());
      case "/orders" -> order(call);
      case "/loads" -> call.json(200, loaded());
      case "/cache/events" -> {
        long until = System.currentTimeMillis() - EVENT_LAG_MILLIS;
        call.json(200, cache.events(call.queryNumber("after", 0), until));
      }
      case "/cache/import" ->
          call.json(200, fetchAll(Codec.json().read(call.body(MAX_BODY_BYTES), ImportOrder.class)));
      case "/cache/export" ->
          call.json(200, copyAll(Codec.json().read(call.body(MAX_BODY_BYTES), ExportOrder.class)));
      default -> throw BulrushpierException.notRun(ErrorCode.NOT_FOUND, call.path());
    }
  }

  private synchronized List<Loaded> loaded() {
    return List.copyOf(loads);
  }

  private synchronized List<Ran> ran() {
    return List.copyOf(record);
  }

  private void report() {
    while (true) {
      EngineLoad load =
          new EngineLoad(
              version, faults.value("leaving") > 0, batch.backlogTokens(), batch.running());
      long lag = faults.value("load-lag-ms");
      Faults.sleep(lag > 0 ? lag : DEFAULT_LOAD_LAG_MILLIS);
      reported = load;
    }
  }

  private void complete(Call call) {
    if (faults.value("leaving") > 0) {
      call.setHeader("X-Leaving", "yes");
      call.send(503, "", new byte[0]);
      return;
    }
    EngineRequest request = Codec.json().read(call.body(MAX_BODY_BYTES), EngineRequest.class);
    if (!model.equals(request.model()) || !version.equals(request.weightVersion())) {
      String message = name + " serves " + model + " " + version;
      throw BulrushpierException.notRun(ErrorCode.CONFLICT, message);
    }
    Sequence sequence = new Sequence(request, cache);
    long begun = System.currentTimeMillis();
    batch.add(sequence);
    try {
      relay(call, sequence);
    } finally {
      sequence.cancel();
      note(sequence, begun);
    }
  }

  private synchronized void note(Sequence sequence, long begun) {
    EngineRequest request = sequence.request();
    record.add(
        new Ran(
            request.attempt(),
            request.customer(),
            request.weightVersion(),
            sequence.promptTokens(),
            sequence.cachedTokens(),
            request.offset(),
            sequence.emitted(),
            begun));
  }

  private void relay(Call call, Sequence sequence) {
    Call.EventSink events = null;
    int sent = 0;
    while (true) {
      ChatChunk chunk = take(sequence);
      if (chunk == null) {
        continue;
      }
      if (events == null) {
        events = call.events();
      }
      if (sent++ == FAULT_AT_TOKEN && isBroken(call, events, chunk)) {
        return;
      }
      events.send(chunk);
      if (chunk.isEnd()) {
        events.done();
        return;
      }
    }
  }

  private static ChatChunk take(Sequence sequence) {
    try {
      return sequence.out().poll(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Shows the faults of answers; returns true if the answer is over. */
  private boolean isBroken(Call call, Call.EventSink events, ChatChunk chunk) {
    if (faults.take("break-streams")) {
      call.abort();
      return true;
    }
    if (faults.take("end-early")) {
      events.done();
      return true;
    }
    if (faults.take("cross-answers")) {
      events.send(
          ChatChunk.token(
              "another-attempt", model, chunk.weightVersion(), chunk.offset(), "crossed "));
    }
    if (faults.take("repeat-events")) {
      events.send(chunk);
    }
    if (faults.take("lie-version")) {
      events.send(ChatChunk.token(chunk.id(), model, "other", chunk.offset(), chunk.content()));
    }
    return false;
  }

  private void order(Call call) {
    Order order = Codec.json().read(call.body(MAX_BODY_BYTES), Order.class);
    synchronized (this) {
      if (isChecksFencing && order.fence() < lastFence) {
        String message = "fence " + order.fence() + " is older than " + lastFence;
        throw BulrushpierException.notRun(ErrorCode.CONFLICT, message);
      }
      lastFence = Math.max(lastFence, order.fence());
    }
    if (!order.weightVersion().equals(version)) {
      long begun = System.currentTimeMillis();
      weightStore.ifPresent(store -> fetchWeights(store, order.weightVersion()));
      version = order.weightVersion();
      synchronized (this) {
        loads.add(new Loaded(order.weightVersion(), begun, System.currentTimeMillis()));
      }
    }
    call.json(200, "loaded");
  }

  private void fetchWeights(Address store, String wanted) {
    caller.call(OutgoingCall.get(store, "/weights/" + wanted).withTimeout(WEIGHTS_MILLIS));
  }

  private ImportResult fetchAll(ImportOrder order) {
    Address store = Address.parse(order.store());
    List<ImportResult.FetchedBlock> fetched = new ArrayList<>();
    int resident = 0;
    long bytes = 0;
    for (StoredBlock block : order.blocks()) {
      if (cache.state(block.key()) == null) {
        byte[] content = fetch(store, block);
        if (content == null) {
          break;
        }
        bytes += content.length;
        String sha256 = Hash.hex(content);
        fetched.add(new ImportResult.FetchedBlock(block.key(), sha256));
        if (!sha256.equals(block.sha256())) {
          break;
        }
        cache.put(block.key(), BlockCache.toState(content));
      }
      resident++;
    }
    return new ImportResult(resident, bytes, fetched);
  }

  private byte[] fetch(Address store, StoredBlock block) {
    String path = "/blocks/" + block.key() + "?generation=" + block.generation();
    try {
      Reply reply = caller.call(OutgoingCall.get(store, path).withTimeout(FETCH_MILLIS));
      return reply.isOk() ? reply.body() : null;
    } catch (CallFailedException e) {
      return null;
    }
  }

  private List<StoredBlock> copyAll(ExportOrder order) {
    Address store = Address.parse(order.store());
    List<StoredBlock> copied = new ArrayList<>();
    for (String key : order.keys()) {
      byte[] state = cache.state(key);
      if (state == null) {
        break;
      }
      byte[] bytes = BlockCache.toBytes(state);
      String sha256 = Hash.hex(bytes);
      long generation = put(store, key, bytes, sha256);
      if (generation == 0) {
        break;
      }
      copied.add(new StoredBlock(key, generation, sha256, bytes.length));
    }
    return copied;
  }

  private record Stored(long generation) {}

  private long put(Address store, String key, byte[] bytes, String sha256) {
    OutgoingCall call =
        OutgoingCall.of("PUT", store, "/blocks/" + key)
            .withHeader("X-Sha256", sha256)
            .withBody("application/octet-stream", bytes)
            .withTimeout(FETCH_MILLIS);
    try {
      Reply reply = caller.call(call);
      return reply.isOk() ? reply.json(Stored.class).generation() : 0;
    } catch (CallFailedException e) {
      return 0;
    }
  }
}
