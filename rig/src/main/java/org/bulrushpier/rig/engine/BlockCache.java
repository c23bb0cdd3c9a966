package org.bulrushpier.rig.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.Hash;

/**
 * LRU cache of the KV blocks in an engine's memory.
 *
 * <p>A block's content is the hash state of the computation after it, so an answer computed from
 * the wrong block differs from the expected one. Thread-safe; guarded by one lock.
 */
public final class BlockCache {

  /** The size in bytes of a serialized block. */
  public static final int BLOCK_BYTES = 16_384;

  private static final int MAX_EVENTS = 10_000;

  private final int capacity;
  private final LinkedHashMap<String, byte[]> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<CacheEvent> events = new ArrayList<>();
  private long lastEvent;

  /**
   * Creates an empty cache.
   *
   * @param capacity the maximum number of blocks
   */
  public BlockCache(int capacity) {
    this.capacity = capacity;
  }

  /**
   * A block that was stored or evicted. Immutable and thread-safe.
   *
   * @param number the sequence number, increasing with each event
   * @param key the block's key
   * @param isStored true if the block was stored, false if it was evicted
   * @param atMillis when the event occurred, in milliseconds since the epoch
   */
  public record CacheEvent(long number, String key, boolean isStored, long atMillis) {}

  /**
   * Returns the state after a block and marks the block as recently used.
   *
   * @param key the block's key
   * @return 32 bytes, or null if the block is not cached
   */
  public synchronized byte[] state(String key) {
    return blocks.get(key);
  }

  /**
   * Adds a block and evicts the least recently used ones beyond the capacity.
   *
   * @param key the block's key
   * @param state the state of the computation after the block
   */
  public synchronized void put(String key, byte[] state) {
    if (blocks.put(key, state) == null) {
      recordEvent(key, true);
    }
    Iterator<String> leastRecentlyUsed = blocks.keySet().iterator();
    while (blocks.size() > capacity) {
      String evicted = leastRecentlyUsed.next();
      leastRecentlyUsed.remove();
      recordEvent(evicted, false);
    }
  }

  /** Evicts all blocks, as an engine does when it loads other weights. */
  public synchronized void clear() {
    for (Map.Entry<String, byte[]> block : blocks.entrySet()) {
      recordEvent(block.getKey(), false);
    }
    blocks.clear();
  }

  /**
   * Returns the events after a sequence number, up to a time. Leaves out every tenth event, which
   * simulates lost events.
   *
   * @param after the last sequence number that the reader has
   * @param untilMillis the time of the latest event to return
   * @return the events in ascending order
   */
  public synchronized List<CacheEvent> events(long after, long untilMillis) {
    return events.stream()
        .filter(e -> e.number() > after && e.atMillis() <= untilMillis && e.number() % 10 != 0)
        .toList();
  }

  /**
   * Serializes a state for transfer over a link.
   *
   * @param state 32 bytes
   * @return {@link #BLOCK_BYTES} bytes
   */
  public static byte[] toBytes(byte[] state) {
    byte[] bytes = new byte[BLOCK_BYTES];
    for (int offset = 0; offset < BLOCK_BYTES; offset += Hash.BYTES) {
      System.arraycopy(state, 0, bytes, offset, Hash.BYTES);
    }
    return bytes;
  }

  /**
   * Deserializes a state that was transferred over a link.
   *
   * @param bytes the serialized block
   * @return 32 bytes
   */
  public static byte[] toState(byte[] bytes) {
    return Arrays.copyOf(bytes, Hash.BYTES);
  }

  private void recordEvent(String key, boolean isStored) {
    if (events.size() == MAX_EVENTS) {
      events.subList(0, MAX_EVENTS / 2).clear();
    }
    events.add(new CacheEvent(++lastEvent, key, isStored, System.currentTimeMillis()));
  }
}
