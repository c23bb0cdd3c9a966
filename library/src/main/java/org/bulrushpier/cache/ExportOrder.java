package org.bulrushpier.cache;

import java.util.List;

/**
 * An order to an engine to copy cache blocks to a store. Immutable and thread-safe.
 *
 * @param customer the id of the customer
 * @param weightVersion the weight version with which the blocks were computed
 * @param store the address of the store as IP:port
 * @param keys the keys of the blocks, in prefix order; the engine stops at the first block that it
 *     does not hold
 */
public record ExportOrder(String customer, String weightVersion, String store, List<String> keys) {}
