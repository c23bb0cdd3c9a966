package org.bulrushpier.cache;

/**
 * A message of a conversation. Immutable and thread-safe.
 *
 * @param role the role of the author, such as {@code system}, {@code user} or {@code assistant}
 * @param content the text
 */
public record ChatMessage(String role, String content) {}
