package org.bulrushpier.cache;

import java.util.List;

/**
 * An order to an engine to fetch cache blocks from a store. Immutable and thread-safe.
 *
 * @param customer the id of the customer
 * @param weightVersion the weight version with which the blocks were computed
 * @param store the address of the store as IP:port
 * @param blocks the blocks, in prefix order; the engine skips those that it already holds
 */
public record ImportOrder(
    String customer, String weightVersion, String store, List<StoredBlock> blocks) {}
