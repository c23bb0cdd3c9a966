package org.bulrushpier;

/**
 * A team, which owns the settings subtree at {@code path}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the team's name
 * @param path the path of its subtree, such as {@code site/inspections}
 * @param operatorKeySha256 the SHA-256 of the key that its operators present
 * @param limits the limits granted by its parent
 */
public record Team(String name, String path, String operatorKeySha256, Limits limits) {}
