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
 * Fake model engine with continuous batching, a KV block cache and injectable faults.
 *
 * <p>Faults, where the value of a counted fault is the number of answers that it affects: {@code
 * freeze} suspends the batch, {@code slow-factor} slows it down, {@code break-streams} (counted)
 * aborts the connection after some tokens, {@code cross-answers} (counted) inserts an event of
 * another attempt, {@code repeat-events} (counted) sends an event twice, {@code end-early}
 * (counted) ends the stream without its final chunk, {@code lie-version} (counted) sends a chunk of
 * another weight version, {@code leaving} refuses new requests, {@code load-lag-ms} delays load
 * reports. Thread-safe.
 */
public final class EngineFake {

  private static final int MAX_BODY_BYTES = 8_000_000;
  private static final long DEFAULT_LOAD_LAG_MILLIS = 300;
  private static final long CACHE_EVENT_LAG_MILLIS = 500;
  private static final long BLOCK_TRANSFER_TIMEOUT_MILLIS = 5_000;
  private static final long WEIGHT_LOAD_TIMEOUT_MILLIS = 60_000;
  private static final int FAULT_AFTER_TOKENS = 3;

  private final String name;
  private final String model;
  private final BlockCache cache;
  private final Faults faults = new Faults();
  private final Batch batch;
  private final boolean checksFencing;
  private final Optional<Address> weightStore;
  private final HttpCaller caller = HttpCaller.start();
  private final List<Execution> executions = new ArrayList<>();
  private final List<WeightLoad> loads = new ArrayList<>();
  private volatile String version;
  private volatile EngineLoad reportedLoad;
  private long lastFence;

  /**
   * Creates an idle engine.
   *
   * @param name the replica's name
   * @param model the served model
   * @param version the initial weight version
   * @param cacheBlocks the cache capacity in blocks
   * @param timing the durations of the batch steps
   * @param checksFencing true to reject orders with a stale fencing token
   * @param weightStore the store to load weights from, or empty to load them instantly
   */
  public EngineFake(
      String name,
      String model,
      String version,
      int cacheBlocks,
      StepTiming timing,
      boolean checksFencing,
      Optional<Address> weightStore) {
    this.name = name;
    this.model = model;
    this.version = version;
    this.cache = new BlockCache(cacheBlocks);
    this.batch = new Batch(timing, faults);
    this.checksFencing = checksFencing;
    this.weightStore = weightStore;
    this.reportedLoad = new EngineLoad(version, false, 0, 0);
  }

  /**
   * A request that this engine executed, whole or in part.
   *
   * @param attempt the id of the attempt
   * @param customer the id of the customer
   * @param version the weight version
   * @param promptTokens the prompt's length in tokens
   * @param cachedTokens prompt tokens that were read from the cache
   * @param fromOffset the offset of the first answer token, inclusive
   * @param toOffset the offset after the last answer token, exclusive
   * @param atMillis when the execution began, in milliseconds since the epoch
   */
  public record Execution(
      String attempt,
      String customer,
      String version,
      int promptTokens,
      int cachedTokens,
      int fromOffset,
      int toOffset,
      long atMillis) {}

  /**
   * A completed load of weights.
   *
   * @param weightVersion the loaded version
   * @param fromMillis when loading began, in milliseconds since the epoch
   * @param toMillis when loading completed, in milliseconds since the epoch
   */
  public record WeightLoad(String weightVersion, long fromMillis, long toMillis) {}

  /**
   * An order to load weights.
   *
   * @param fence the fencing token
   * @param weightVersion the version to load
   */
  public record Order(long fence, String weightVersion) {}

  /** Starts the threads of the batch and of the load reports. */
  public void start() {
    Thread batchThread = new Thread(batch::run, "batch");
    batchThread.setDaemon(true);
    batchThread.start();
    Thread.ofVirtual().name("reports").start(this::publishLoad);
  }

  /**
   * Handles an HTTP request.
   *
   * @param call the request and its response
   */
  public void handle(Call call) {
    if (faults.handle(call)) {
      return;
    }
    switch (call.path()) {
      case "/v1/chat/completions" -> completeChat(call);
      case "/load" -> call.json(200, reportedLoad);
      case "/record" -> call.json(200, executions());
      case "/orders" -> applyOrder(call);
      case "/loads" -> call.json(200, completedLoads());
      case "/cache/events" -> {
        long untilMillis = System.currentTimeMillis() - CACHE_EVENT_LAG_MILLIS;
        call.json(200, cache.events(call.queryNumber("after", 0), untilMillis));
      }
      case "/cache/import" ->
          call.json(
              200, importBlocks(Codec.json().read(call.body(MAX_BODY_BYTES), ImportOrder.class)));
      case "/cache/export" ->
          call.json(
              200, exportBlocks(Codec.json().read(call.body(MAX_BODY_BYTES), ExportOrder.class)));
      default -> throw BulrushpierException.notRun(ErrorCode.NOT_FOUND, call.path());
    }
  }

  private synchronized List<WeightLoad> completedLoads() {
    return List.copyOf(loads);
  }

  private synchronized List<Execution> executions() {
    return List.copyOf(executions);
  }

  private void publishLoad() {
    while (true) {
      EngineLoad load =
          new EngineLoad(
              version, faults.value("leaving") > 0, batch.backlogTokens(), batch.running());
      long lagMillis = faults.value("load-lag-ms");
      Faults.sleep(lagMillis > 0 ? lagMillis : DEFAULT_LOAD_LAG_MILLIS);
      reportedLoad = load;
    }
  }

  private void completeChat(Call call) {
    if (faults.value("leaving") > 0) {
      call.setHeader("X-Leaving", "yes");
      call.send(503, "", new byte[0]);
      return;
    }
    EngineRequest request = Codec.json().read(call.body(MAX_BODY_BYTES), EngineRequest.class);
    if (!model.equals(request.model()) || !version.equals(request.weightVersion())) {
      String message = name + " serves model " + model + " at weight version " + version;
      throw BulrushpierException.notRun(ErrorCode.CONFLICT, message);
    }
    Sequence sequence = new Sequence(request, cache);
    long startMillis = System.currentTimeMillis();
    batch.add(sequence);
    try {
      streamAnswer(call, sequence);
    } finally {
      sequence.cancel();
      recordExecution(sequence, startMillis);
    }
  }

  private synchronized void recordExecution(Sequence sequence, long startMillis) {
    EngineRequest request = sequence.request();
    executions.add(
        new Execution(
            request.attempt(),
            request.customer(),
            request.weightVersion(),
            sequence.promptTokens(),
            sequence.cachedTokens(),
            request.offset(),
            sequence.emitted(),
            startMillis));
  }

  private void streamAnswer(Call call, Sequence sequence) {
    Call.EventSink events = null;
    int sent = 0;
    while (true) {
      ChatChunk chunk = nextChunk(sequence);
      if (chunk == null) {
        continue;
      }
      if (events == null) {
        events = call.events();
      }
      if (sent++ == FAULT_AFTER_TOKENS && injectFault(call, events, chunk)) {
        return;
      }
      events.send(chunk);
      if (chunk.isEnd()) {
        events.done();
        return;
      }
    }
  }

  private static ChatChunk nextChunk(Sequence sequence) {
    try {
      return sequence.chunks().poll(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Applies the faults that alter an answer; returns true if one of them ended the stream. */
  private boolean injectFault(Call call, Call.EventSink events, ChatChunk chunk) {
    if (faults.consume("break-streams")) {
      call.abort();
      return true;
    }
    if (faults.consume("end-early")) {
      events.done();
      return true;
    }
    if (faults.consume("cross-answers")) {
      events.send(
          ChatChunk.token(
              "another-attempt", model, chunk.weightVersion(), chunk.offset(), "crossed "));
    }
    if (faults.consume("repeat-events")) {
      events.send(chunk);
    }
    if (faults.consume("lie-version")) {
      events.send(ChatChunk.token(chunk.id(), model, "other", chunk.offset(), chunk.content()));
    }
    return false;
  }

  private void applyOrder(Call call) {
    Order order = Codec.json().read(call.body(MAX_BODY_BYTES), Order.class);
    synchronized (this) {
      if (checksFencing && order.fence() < lastFence) {
        String message = "fencing token " + order.fence() + " is older than " + lastFence;
        throw BulrushpierException.notRun(ErrorCode.CONFLICT, message);
      }
      lastFence = Math.max(lastFence, order.fence());
    }
    if (!order.weightVersion().equals(version)) {
      long startMillis = System.currentTimeMillis();
      weightStore.ifPresent(store -> loadWeights(store, order.weightVersion()));
      version = order.weightVersion();
      synchronized (this) {
        loads.add(new WeightLoad(order.weightVersion(), startMillis, System.currentTimeMillis()));
      }
    }
    call.json(200, "loaded");
  }

  private void loadWeights(Address store, String weightVersion) {
    caller.call(
        OutgoingCall.get(store, "/weights/" + weightVersion)
            .withTimeout(WEIGHT_LOAD_TIMEOUT_MILLIS));
  }

  private ImportResult importBlocks(ImportOrder order) {
    Address store = Address.parse(order.store());
    List<ImportResult.FetchedBlock> fetched = new ArrayList<>();
    int resident = 0;
    long bytes = 0;
    for (StoredBlock block : order.blocks()) {
      if (cache.state(block.key()) == null) {
        byte[] content = fetchBlock(store, block);
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

  private byte[] fetchBlock(Address store, StoredBlock block) {
    String path = "/blocks/" + block.key() + "?generation=" + block.generation();
    try {
      Reply reply =
          caller.call(OutgoingCall.get(store, path).withTimeout(BLOCK_TRANSFER_TIMEOUT_MILLIS));
      return reply.isOk() ? reply.body() : null;
    } catch (CallFailedException e) {
      return null;
    }
  }

  private List<StoredBlock> exportBlocks(ExportOrder order) {
    Address store = Address.parse(order.store());
    List<StoredBlock> exported = new ArrayList<>();
    for (String key : order.keys()) {
      byte[] state = cache.state(key);
      if (state == null) {
        break;
      }
      byte[] bytes = BlockCache.toBytes(state);
      String sha256 = Hash.hex(bytes);
      long generation = storeBlock(store, key, bytes, sha256);
      if (generation == 0) {
        break;
      }
      exported.add(new StoredBlock(key, generation, sha256, bytes.length));
    }
    return exported;
  }

  private record Stored(long generation) {}

  private long storeBlock(Address store, String key, byte[] bytes, String sha256) {
    OutgoingCall call =
        OutgoingCall.of("PUT", store, "/blocks/" + key)
            .withHeader("X-Sha256", sha256)
            .withBody("application/octet-stream", bytes)
            .withTimeout(BLOCK_TRANSFER_TIMEOUT_MILLIS);
    try {
      Reply reply = caller.call(call);
      return reply.isOk() ? reply.json(Stored.class).generation() : 0;
    } catch (CallFailedException e) {
      return 0;
    }
  }
}
