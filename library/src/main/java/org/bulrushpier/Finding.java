package org.bulrushpier;

/**
 * A validation error in operator-supplied input, with its location.
 *
 * <p>All findings of an input are collected and reported together, never one at a time. Immutable
 * and thread-safe.
 *
 * @param file the file or settings path
 * @param line the 1-based line number, or 0 if the finding concerns the whole file
 * @param section the header text of the section, or empty
 * @param key the key, or empty
 * @param message what is invalid and what is expected
 */
public record Finding(String file, int line, String section, String key, String message) {

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(file);
    if (line > 0) {
      text.append(':').append(line);
    }
    if (!section.isEmpty()) {
      text.append(" [").append(section).append(']');
    }
    if (!key.isEmpty()) {
      text.append(' ').append(key);
    }
    return text.append(": ").append(message).toString();
  }
}
