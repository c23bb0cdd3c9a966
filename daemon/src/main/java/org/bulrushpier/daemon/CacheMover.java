package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Clock;
import org.bulrushpier.Upstream;
import org.bulrushpier.cache.ExportOrder;
import org.bulrushpier.cache.ImportOrder;
import org.bulrushpier.cache.ImportResult;
import org.bulrushpier.cache.Manifest;
import org.bulrushpier.cache.PrefixChain;
import org.bulrushpier.cache.StoreLookup;
import org.bulrushpier.cache.StoredBlock;
import org.bulrushpier.daemon.http.CallFailed;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.routing.Rendezvous;
import org.bulrushpier.settings.Settings;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves cache blocks between engines and stores.
 *
 * <p>A block is used only if a committed manifest names it, its generation is the expected one and
 * the bytes that arrived have the manifest's hash; anything else is a miss. Failures here never
 * reach a caller. Thread-safe.
 */
final class CacheMover {

  private static final Logger log = LoggerFactory.getLogger("cache");
  private static final long LOOKUP_MILLIS = 60;
  private static final long IMPORT_SLACK_MILLIS = 250;
  private static final long EXPORT_MILLIS = 10_000;
  private static final int EXPORT_WORKERS = 8;
  private static final int EXPORT_QUEUE = 256;
  private static final long BLOCK_BYTES_GUESS = 16_384;
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final HttpCaller caller;
  private final UpstreamTable upstreams;
  private final SettingsKeeper keeper;
  private final Peers peers;
  private final Clock clock;
  private final Timeline timeline;
  private final CacheCounters counters;
  private final Map<String, LinkMeter> meters = new ConcurrentHashMap<>();
  private final ThreadPoolExecutor exports =
      new ThreadPoolExecutor(
          EXPORT_WORKERS,
          EXPORT_WORKERS,
          1,
          TimeUnit.MINUTES,
          new LinkedBlockingQueue<>(EXPORT_QUEUE),
          Thread.ofVirtual().name("cache-export-", 0).factory(),
          new ThreadPoolExecutor.DiscardPolicy());

  CacheMover(
      HttpCaller caller,
      UpstreamTable upstreams,
      SettingsKeeper keeper,
      Peers peers,
      Clock clock,
      Timeline timeline,
      CacheCounters counters) {
    this.caller = caller;
    this.upstreams = upstreams;
    this.keeper = keeper;
    this.peers = peers;
    this.clock = clock;
    this.timeline = timeline;
    this.counters = counters;
  }

  /** A lookup request to a store. */
  record LookupRequest(List<String> keys) {}

  /** Asks the conversation's store what it holds of a chain; a failure is a miss. */
  StoreLookup lookup(PrefixChain chain) {
    Optional<Upstream.Store> store = home(chain);
    if (store.isEmpty() || chain.keys().isEmpty()) {
      return StoreLookup.NONE;
    }
    OutCall call =
        OutCall.of("POST", store.get().address(), "/lookup")
            .withJson(new LookupRequest(chain.keys()))
            .withTimeout(LOOKUP_MILLIS);
    try {
      StoreLookup found = ok(store.get(), call).json(StoreLookup.class);
      return new StoreLookup(store.get().name(), found.blocks(), found.engine(), found.ageMillis());
    } catch (CallFailed | BulrushpierException e) {
      log.debug("cache: lookup at {} failed: {}", store.get().name(), e.getMessage());
      return StoreLookup.NONE;
    }
  }

  /** The rate an import from a store can expect, in bytes a second. */
  long linkRate(String storeName) {
    return store(storeName)
        .map(s -> meter(storeName).expectedRate(s.linkBytesPerSecond()))
        .orElse(1L);
  }

  /** Brings blocks into an engine; returns the bytes moved, or empty if the import failed. */
  Optional<Long> bring(Upstream.Engine engine, String customer, String version, StoreLookup found) {
    Optional<Upstream.Store> store = store(found.store());
    if (store.isEmpty()) {
      return Optional.empty();
    }
    long rate = linkRate(found.store());
    long timeout = (long) (found.bytes() * MILLIS_PER_SECOND / rate * 2) + IMPORT_SLACK_MILLIS;
    ImportOrder order =
        new ImportOrder(customer, version, store.get().address().toString(), found.blocks());
    OutCall call =
        OutCall.of("POST", engine.address(), "/cache/import").withJson(order).withTimeout(timeout);
    long begun = clock.millis();
    try {
      Reply reply = caller.call(call);
      if (!reply.isOk()) {
        return Optional.empty();
      }
      ImportResult result = reply.json(ImportResult.class);
      long took = clock.millis() - begun;
      meter(found.store()).imported(result.bytes(), took, store.get().linkBytesPerSecond());
      counters.imported(result.bytes());
      noteRejected(found, result);
      return Optional.of(result.bytes());
    } catch (CallFailed | BulrushpierException e) {
      meter(found.store()).imported(found.bytes(), timeout, store.get().linkBytesPerSecond());
      log.info("cache: import from {} failed: {}", found.store(), e.getMessage());
      return Optional.empty();
    }
  }

  /** Engines refuse blocks whose bytes differ from the manifest; operators hear of it. */
  private void noteRejected(StoreLookup found, ImportResult result) {
    Map<String, String> expected = new HashMap<>();
    found.blocks().forEach(block -> expected.put(block.key(), block.sha256()));
    for (ImportResult.FetchedBlock fetched : result.hashes()) {
      if (!fetched.sha256().equals(expected.get(fetched.key()))) {
        counters.rejectedBlock();
        timeline.add("cache", fetched.key(), "import rejected: bytes differ from the manifest");
      }
    }
  }

  /** Copies a finished turn to its store, off the caller's path and within the link's budget. */
  void export(Upstream.Engine engine, String customer, String version, PrefixChain chain) {
    exports.execute(() -> exportNow(engine, customer, version, chain));
  }

  private void exportNow(
      Upstream.Engine engine, String customer, String version, PrefixChain chain) {
    try {
      Optional<Upstream.Store> store = home(chain);
      if (store.isEmpty()) {
        return;
      }
      int stored = lookup(chain).blocks().size();
      List<String> missing = chain.keys().subList(stored, chain.keys().size());
      int entries = peers.table().live().size();
      long bytes = missing.size() * BLOCK_BYTES_GUESS;
      long link = store.get().linkBytesPerSecond();
      if (missing.isEmpty() || !meter(store.get().name()).tryExport(bytes, link, entries)) {
        return;
      }
      copy(engine, store.get(), customer, version, new ArrayList<>(missing));
    } catch (CallFailed | BulrushpierException e) {
      log.info("cache: export from {} failed: {}", engine.name(), e.getMessage());
    }
  }

  private void copy(
      Upstream.Engine engine,
      Upstream.Store store,
      String customer,
      String version,
      List<String> keys) {
    ExportOrder order = new ExportOrder(customer, version, store.address().toString(), keys);
    OutCall call =
        OutCall.of("POST", engine.address(), "/cache/export")
            .withJson(order)
            .withTimeout(EXPORT_MILLIS);
    Reply reply = caller.call(call);
    if (!reply.isOk()) {
      return;
    }
    List<StoredBlock> blocks = Arrays.asList(reply.json(StoredBlock[].class));
    if (blocks.isEmpty()) {
      return;
    }
    Manifest manifest = new Manifest(customer, version, engine.name(), blocks);
    ok(store, OutCall.of("PUT", store.address(), "/manifests").withJson(manifest));
    counters.exported(blocks.stream().mapToLong(StoredBlock::bytes).sum());
  }

  private Reply ok(Upstream.Store store, OutCall call) {
    UpstreamState state = upstreams.state(store.name()).orElseThrow();
    state.breaker().begin(clock.millis());
    try {
      Reply reply = caller.call(call);
      if (reply.isOk()) {
        state.breaker().succeeded();
        return reply;
      }
      state.breaker().failed(clock.millis());
      throw BulrushpierException.failed(
          org.bulrushpier.ErrorCode.UPSTREAM_INVALID, store.name() + " answered " + reply.status());
    } catch (CallFailed e) {
      state.breaker().failed(clock.millis());
      throw e;
    }
  }

  private Optional<Upstream.Store> home(PrefixChain chain) {
    Settings settings = keeper.settings();
    return store(Rendezvous.first(chain.conversationKey(), upstreams.stores(settings)));
  }

  private Optional<Upstream.Store> store(String name) {
    Upstream upstream = keeper.settings().upstreams().get(name);
    return upstream instanceof Upstream.Store store ? Optional.of(store) : Optional.empty();
  }

  private LinkMeter meter(String store) {
    return meters.computeIfAbsent(store, name -> new LinkMeter(clock));
  }
}
