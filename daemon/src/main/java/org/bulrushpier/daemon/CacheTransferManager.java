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
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.routing.Rendezvous;
import org.bulrushpier.settings.Settings;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Transfers cache blocks between engines and stores.
 *
 * <p>A block is used only if a committed manifest lists it, its generation is the expected one and
 * the received bytes have the hash given in the manifest; otherwise it counts as a cache miss.
 * Failed transfers are never reported to callers. Thread-safe.
 */
final class CacheTransferManager {

  private static final Logger log = LoggerFactory.getLogger("cache");
  private static final long LOOKUP_TIMEOUT_MILLIS = 60;
  private static final long IMPORT_TIMEOUT_MARGIN_MILLIS = 250;
  private static final long EXPORT_TIMEOUT_MILLIS = 10_000;
  private static final int EXPORT_WORKERS = 8;
  private static final int EXPORT_QUEUE_CAPACITY = 256;
  private static final long ESTIMATED_BLOCK_BYTES = 16_384;
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final HttpCaller caller;
  private final UpstreamTable upstreams;
  private final SettingsManager settingsManager;
  private final Peers peers;
  private final Clock clock;
  private final Timeline timeline;
  private final CacheCounters counters;
  private final Map<String, LinkMeter> meters = new ConcurrentHashMap<>();
  private final ThreadPoolExecutor exportPool =
      new ThreadPoolExecutor(
          EXPORT_WORKERS,
          EXPORT_WORKERS,
          1,
          TimeUnit.MINUTES,
          new LinkedBlockingQueue<>(EXPORT_QUEUE_CAPACITY),
          Thread.ofVirtual().name("cache-export-", 0).factory(),
          new ThreadPoolExecutor.DiscardPolicy());

  CacheTransferManager(
      HttpCaller caller,
      UpstreamTable upstreams,
      SettingsManager settingsManager,
      Peers peers,
      Clock clock,
      Timeline timeline,
      CacheCounters counters) {
    this.caller = caller;
    this.upstreams = upstreams;
    this.settingsManager = settingsManager;
    this.peers = peers;
    this.clock = clock;
    this.timeline = timeline;
    this.counters = counters;
  }

  /** A lookup request to a store. */
  record LookupRequest(List<String> keys) {}

  /**
   * Asks the conversation's store which blocks of a chain it holds; a failed lookup is a cache
   * miss.
   */
  StoreLookup lookup(PrefixChain chain) {
    Optional<Upstream.Store> store = storeOf(chain);
    if (store.isEmpty() || chain.keys().isEmpty()) {
      return StoreLookup.NONE;
    }
    OutgoingCall call =
        OutgoingCall.of("POST", store.get().address(), "/lookup")
            .withJson(new LookupRequest(chain.keys()))
            .withTimeout(LOOKUP_TIMEOUT_MILLIS);
    try {
      StoreLookup found = callStore(store.get(), call).json(StoreLookup.class);
      return new StoreLookup(store.get().name(), found.blocks(), found.engine(), found.ageMillis());
    } catch (CallFailedException | BulrushpierException e) {
      log.debug("cache: lookup at {} failed: {}", store.get().name(), e.getMessage());
      return StoreLookup.NONE;
    }
  }

  /** Returns the expected rate of an import from a store, in bytes per second. */
  long linkRate(String storeName) {
    return store(storeName)
        .map(s -> meter(storeName).expectedRate(s.linkBytesPerSecond()))
        .orElse(1L);
  }

  /**
   * Imports blocks into an engine; returns the number of bytes transferred, or empty if the import
   * failed.
   */
  Optional<Long> importBlocks(
      Upstream.Engine engine, String customer, String version, StoreLookup found) {
    Optional<Upstream.Store> store = store(found.store());
    if (store.isEmpty()) {
      return Optional.empty();
    }
    long rate = linkRate(found.store());
    long timeout =
        (long) (found.bytes() * MILLIS_PER_SECOND / rate * 2) + IMPORT_TIMEOUT_MARGIN_MILLIS;
    ImportOrder order =
        new ImportOrder(customer, version, store.get().address().toString(), found.blocks());
    OutgoingCall call =
        OutgoingCall.of("POST", engine.address(), "/cache/import")
            .withJson(order)
            .withTimeout(timeout);
    long startMillis = clock.millis();
    try {
      Reply reply = caller.call(call);
      if (!reply.isOk()) {
        return Optional.empty();
      }
      ImportResult result = reply.json(ImportResult.class);
      long elapsedMillis = clock.millis() - startMillis;
      meter(found.store())
          .recordImport(result.bytes(), elapsedMillis, store.get().linkBytesPerSecond());
      counters.recordImport(result.bytes());
      recordRejectedBlocks(found, result);
      return Optional.of(result.bytes());
    } catch (CallFailedException | BulrushpierException e) {
      meter(found.store()).recordImport(found.bytes(), timeout, store.get().linkBytesPerSecond());
      log.info("cache: import from {} failed: {}", found.store(), e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Records in the metrics and the timeline the blocks that the engine rejected because their bytes
   * differ from the manifest.
   */
  private void recordRejectedBlocks(StoreLookup found, ImportResult result) {
    Map<String, String> expected = new HashMap<>();
    found.blocks().forEach(block -> expected.put(block.key(), block.sha256()));
    for (ImportResult.FetchedBlock fetched : result.hashes()) {
      if (!fetched.sha256().equals(expected.get(fetched.key()))) {
        counters.recordRejectedBlock();
        timeline.add("cache", fetched.key(), "import rejected: the hash differs from the manifest");
      }
    }
  }

  /**
   * Copies the blocks of a completed turn to their store, in the background and within the link's
   * export budget. Exports that do not fit in the queue are discarded.
   */
  void export(Upstream.Engine engine, String customer, String version, PrefixChain chain) {
    exportPool.execute(() -> exportNow(engine, customer, version, chain));
  }

  private void exportNow(
      Upstream.Engine engine, String customer, String version, PrefixChain chain) {
    try {
      Optional<Upstream.Store> store = storeOf(chain);
      if (store.isEmpty()) {
        return;
      }
      int stored = lookup(chain).blocks().size();
      List<String> missing = chain.keys().subList(stored, chain.keys().size());
      int entries = peers.table().live().size();
      long bytes = missing.size() * ESTIMATED_BLOCK_BYTES;
      long link = store.get().linkBytesPerSecond();
      if (missing.isEmpty() || !meter(store.get().name()).tryAcquireExport(bytes, link, entries)) {
        return;
      }
      exportBlocks(engine, store.get(), customer, version, new ArrayList<>(missing));
    } catch (CallFailedException | BulrushpierException e) {
      log.info("cache: export from {} failed: {}", engine.name(), e.getMessage());
    }
  }

  private void exportBlocks(
      Upstream.Engine engine,
      Upstream.Store store,
      String customer,
      String version,
      List<String> keys) {
    ExportOrder order = new ExportOrder(customer, version, store.address().toString(), keys);
    OutgoingCall call =
        OutgoingCall.of("POST", engine.address(), "/cache/export")
            .withJson(order)
            .withTimeout(EXPORT_TIMEOUT_MILLIS);
    Reply reply = caller.call(call);
    if (!reply.isOk()) {
      return;
    }
    List<StoredBlock> blocks = Arrays.asList(reply.json(StoredBlock[].class));
    if (blocks.isEmpty()) {
      return;
    }
    Manifest manifest = new Manifest(customer, version, engine.name(), blocks);
    callStore(store, OutgoingCall.of("PUT", store.address(), "/manifests").withJson(manifest));
    counters.recordExport(blocks.stream().mapToLong(StoredBlock::bytes).sum());
  }

  private Reply callStore(Upstream.Store store, OutgoingCall call) {
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
          org.bulrushpier.ErrorCode.UPSTREAM_INVALID,
          store.name() + " responded with status " + reply.status());
    } catch (CallFailedException e) {
      state.breaker().failed(clock.millis());
      throw e;
    }
  }

  private Optional<Upstream.Store> storeOf(PrefixChain chain) {
    Settings settings = settingsManager.settings();
    return store(Rendezvous.first(chain.conversationKey(), upstreams.stores(settings)));
  }

  private Optional<Upstream.Store> store(String name) {
    Upstream upstream = settingsManager.settings().upstreams().get(name);
    return upstream instanceof Upstream.Store store ? Optional.of(store) : Optional.empty();
  }

  private LinkMeter meter(String store) {
    return meters.computeIfAbsent(store, name -> new LinkMeter(clock));
  }
}
