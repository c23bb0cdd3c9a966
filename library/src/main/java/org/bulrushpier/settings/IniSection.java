package org.bulrushpier.settings;

import java.util.Map;

/**
 * A section of an INI text, with the line numbers of its keys.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the first word of the header, such as {@code engine}
 * @param name the rest of the header, or empty
 * @param line the 1-based line number of the header
 * @param values the values by key
 * @param lines the 1-based line numbers by key
 */
record IniSection(
    String kind, String name, int line, Map<String, String> values, Map<String, Integer> lines) {

  IniSection {
    values = Map.copyOf(values);
    lines = Map.copyOf(lines);
  }

  String header() {
    return name.isEmpty() ? kind : kind + " " + name;
  }
}
