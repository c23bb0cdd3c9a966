package org.bulrushpier.call;

/**
 * A contiguous part of a prompt, the unit in which prompt caches are tracked.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the part; parts with equal ids consist of the same tokens
 * @param tokens the length in tokens
 */
public record PromptPart(String id, int tokens) {}
