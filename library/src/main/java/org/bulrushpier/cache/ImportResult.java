package org.bulrushpier.cache;

import java.util.List;

/**
 * The result of a cache import by an engine. Immutable and thread-safe.
 *
 * @param resident the number of leading blocks of the order that the engine now holds
 * @param bytes the number of bytes fetched over the link
 * @param hashes the hash of each fetched block as computed by the engine, in the same order as the
 *     blocks of the {@link ImportOrder}
 */
public record ImportResult(int resident, long bytes, List<FetchedBlock> hashes) {

  /**
   * A block that was fetched over the link.
   *
   * @param key the key of the block
   * @param sha256 the SHA-256 of the received bytes
   */
  public record FetchedBlock(String key, String sha256) {}
}
