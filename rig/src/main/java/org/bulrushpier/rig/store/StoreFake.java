package org.bulrushpier.rig.store;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Hash;
import org.bulrushpier.cache.Manifest;
import org.bulrushpier.cache.StoreLookup;
import org.bulrushpier.cache.StoredBlock;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.rig.Faults;

/**
 * Fake cache store with a memory and a disk tier.
 *
 * <p>Once the memory is full, fetches take the latency of the disk; once the disk is full as well,
 * the least recently used blocks are evicted. A lookup finds a block only after a manifest has
 * committed it with its generation. Faults: {@code slow-ms}, {@code link-slowdown}, {@code
 * refuse-writes}, {@code flip-bytes} (counted), {@code truncate} (counted), {@code evict-between}
 * (counted: a block is evicted between its lookup and its fetch), {@code reuse-between} (counted:
 * the fetch returns the bytes of another block, as if the storage had been reused since the
 * lookup). Thread-safe; guarded by one lock, which is not held during transfers over the link.
 */
public final class StoreFake {

  private static final int MAX_BLOCK_BYTES = 4_000_000;
  private static final long DISK_LATENCY_MILLIS = 1;

  private final int memoryBlocks;
  private final int totalBlocks;
  private final LinkFake link;
  private final Faults faults = new Faults();
  private final LinkedHashMap<String, BlockEntry> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private long lastGeneration;

  /**
   * Creates an empty store.
   *
   * @param memoryBlocks the capacity of the memory tier in blocks
   * @param diskBlocks the additional capacity of the disk tier in blocks
   * @param link the link that transfers the blocks
   */
  public StoreFake(int memoryBlocks, int diskBlocks, LinkFake link) {
    this.memoryBlocks = memoryBlocks;
    this.totalBlocks = memoryBlocks + diskBlocks;
    this.link = link;
  }

  private static final class BlockEntry {
    private final long generation;
    private final byte[] bytes;
    private final String sha256;
    private boolean isCommitted;
    private String engine = "";
    private long committedMillis;

    private BlockEntry(long generation, byte[] bytes) {
      this.generation = generation;
      this.bytes = bytes;
      this.sha256 = Hash.hex(bytes);
    }
  }

  /** The request body of a lookup: the block keys of a prefix chain, in order. */
  record LookupRequest(List<String> keys) {}

  /** The number of stored blocks and the bytes transferred over the link. */
  record Counts(int blocks, long linkBytes) {}

  /** The response to a stored block: its generation. */
  record Stored(long generation) {}

  /**
   * Handles a request.
   *
   * @param call the request and its response
   */
  public void handle(Call call) {
    if (faults.handle(call)) {
      return;
    }
    faults.delay("slow-ms");
    String path = call.path();
    if (path.equals("/counts")) {
      call.json(200, counts());
    } else if (path.equals("/lookup")) {
      LookupRequest request = Codec.json().read(call.body(MAX_BLOCK_BYTES), LookupRequest.class);
      call.json(200, lookup(request.keys()));
    } else if (path.equals("/manifests")) {
      commit(Codec.json().read(call.body(MAX_BLOCK_BYTES), Manifest.class));
      call.json(200, "committed");
    } else if (path.startsWith("/blocks/")) {
      block(call, path.substring("/blocks/".length()));
    } else {
      throw BulrushpierException.notRun(ErrorCode.NOT_FOUND, path);
    }
  }

  private synchronized Counts counts() {
    return new Counts(blocks.size(), link.transferredBytes());
  }

  private synchronized StoreLookup lookup(List<String> keys) {
    List<StoredBlock> found = new ArrayList<>();
    BlockEntry last = null;
    for (String key : keys) {
      BlockEntry entry = blocks.get(key);
      if (entry == null || !entry.isCommitted) {
        break;
      }
      last = entry;
      found.add(new StoredBlock(key, entry.generation, entry.sha256, entry.bytes.length));
    }
    if (last == null) {
      return StoreLookup.NONE;
    }
    return new StoreLookup(
        "", found, last.engine, System.currentTimeMillis() - last.committedMillis);
  }

  private synchronized void commit(Manifest manifest) {
    for (StoredBlock block : manifest.blocks()) {
      BlockEntry entry = blocks.get(block.key());
      if (entry == null
          || entry.generation != block.generation()
          || !entry.sha256.equals(block.sha256())) {
        throw BulrushpierException.notRun(
            ErrorCode.CONFLICT, block.key() + ": no block with this generation and hash");
      }
    }
    for (StoredBlock block : manifest.blocks()) {
      BlockEntry entry = blocks.get(block.key());
      entry.isCommitted = true;
      entry.engine = manifest.engine();
      entry.committedMillis = System.currentTimeMillis();
    }
  }

  private void block(Call call, String key) {
    if (call.method().equals("PUT")) {
      put(call, key);
    } else {
      fetch(call, key);
    }
  }

  private void put(Call call, String key) {
    byte[] bytes = call.body(MAX_BLOCK_BYTES);
    link.transfer(bytes.length, faults.value("link-slowdown"));
    if (faults.value("refuse-writes") > 0) {
      call.send(507, "", new byte[0]);
      return;
    }
    String expected = call.header("X-Sha256").orElse("");
    BlockEntry entry;
    synchronized (this) {
      entry = new BlockEntry(++lastGeneration, bytes);
      if (!entry.sha256.equals(expected)) {
        throw BulrushpierException.notRun(
            ErrorCode.BAD_REQUEST, key + ": content does not match its SHA-256 hash");
      }
      blocks.put(key, entry);
      evict();
    }
    call.json(200, new Stored(entry.generation));
  }

  private void evict() {
    Iterator<Map.Entry<String, BlockEntry>> leastRecentlyUsed = blocks.entrySet().iterator();
    while (blocks.size() > totalBlocks) {
      leastRecentlyUsed.next();
      leastRecentlyUsed.remove();
    }
  }

  private void fetch(Call call, String key) {
    BlockEntry entry;
    boolean isMemoryFull;
    synchronized (this) {
      if (faults.consume("evict-between")) {
        blocks.remove(key);
      }
      entry = blocks.get(key);
      isMemoryFull = blocks.size() > memoryBlocks;
    }
    long generation = call.queryNumber("generation", 0);
    if (entry == null || entry.generation != generation) {
      call.send(404, "", new byte[0]);
      return;
    }
    if (isMemoryFull) {
      Faults.sleep(DISK_LATENCY_MILLIS);
    }
    byte[] bytes = applyReadFaults(entry.bytes);
    link.transfer(bytes.length, faults.value("link-slowdown"));
    call.send(200, "application/octet-stream", bytes);
  }

  private byte[] applyReadFaults(byte[] bytes) {
    if (faults.consume("flip-bytes")) {
      byte[] flipped = bytes.clone();
      flipped[0] ^= 1;
      return flipped;
    }
    if (faults.consume("truncate")) {
      return java.util.Arrays.copyOf(bytes, bytes.length / 2);
    }
    if (faults.consume("reuse-between")) {
      return Hash.utf8("another block ".repeat(bytes.length / 14));
    }
    return bytes;
  }
}
