package org.bulrushpier.call;

/**
 * A part of a prompt.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id names the part; equal names hold equal tokens
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
