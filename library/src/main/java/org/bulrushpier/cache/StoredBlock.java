package org.bulrushpier.cache;

/**
 * An entry of a manifest, which identifies a stored block. Immutable and thread-safe.
 *
 * @param key the key of the block
 * @param generation the number that the store assigned to this copy; a reused slot gets a new one
 * @param sha256 the SHA-256 of the bytes in hexadecimal digits
 * @param bytes the size in bytes
 */
public record StoredBlock(String key, long generation, String sha256, long bytes) {}
