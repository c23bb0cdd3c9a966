package org.bulrushpier.cache;

import java.util.List;

/**
 * The list of blocks that makes an export usable at a store. It is written last, after all blocks
 * have arrived.
 *
 * <p>Immutable and thread-safe.
 *
 * @param customer the id of the customer
 * @param weightVersion the weight version with which the blocks were computed
 * @param engine the engine that computed the blocks
 * @param blocks the blocks with their generations and hashes
 */
public record Manifest(
    String customer, String weightVersion, String engine, List<StoredBlock> blocks) {}
