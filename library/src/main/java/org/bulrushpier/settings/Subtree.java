package org.bulrushpier.settings;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The settings text of a team, at a given version of the platform object that stores it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path the path in the tree, such as {@code site/inspections}
 * @param version the version of the object, positive; 0 for a text that is not yet accepted
 * @param text the INI text
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Subtree(String path, long version, String text) {

  /** The path of the root of the tree. */
  public static final String ROOT = "site";

  /**
   * Returns the path of the parent subtree.
   *
   * @return the path, or an empty string for the root
   */
  public String parent() {
    int slash = path.lastIndexOf('/');
    return slash < 0 ? "" : path.substring(0, slash);
  }
}
