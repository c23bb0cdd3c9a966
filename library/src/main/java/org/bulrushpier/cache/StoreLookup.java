package org.bulrushpier.cache;

import java.util.List;

/**
 * The result of looking up a prefix chain at a store: the leading blocks that are covered by
 * committed manifests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param store the name of the store
 * @param blocks the leading blocks, in prefix order
 * @param engine the engine that last exported the conversation, or empty
 * @param ageMillis the time since that export
 */
public record StoreLookup(String store, List<StoredBlock> blocks, String engine, long ageMillis) {

  /** The result for a chain of which no block is stored. */
  public static final StoreLookup NONE = new StoreLookup("", List.of(), "", 0);

  /** Makes an immutable copy of the blocks. */
  public StoreLookup {
    blocks = List.copyOf(blocks);
  }

  /**
   * Returns the total size of the blocks.
   *
   * @return the size in bytes
   */
  public long bytes() {
    return blocks.stream().mapToLong(StoredBlock::bytes).sum();
  }
}
