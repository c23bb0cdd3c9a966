package org.bulrushpier.platform;

/**
 * An object stored at the platform.
 *
 * <p>Immutable and thread-safe, provided that the bytes of the value are not modified.
 *
 * @param key the key
 * @param version the version assigned by the last write, positive
 * @param value the bytes, never null, which must not be modified
 */
public record StoredObject(String key, long version, byte[] value) {}
