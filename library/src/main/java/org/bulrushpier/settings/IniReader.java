package org.bulrushpier.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.bulrushpier.Finding;

/**
 * Parses INI text into sections and reports every error with its line number.
 *
 * <p>Values are parsed by Commons Configuration. This class adds what that library does not report:
 * the line number of each header and key, and lines that are neither. Not thread-safe; use a
 * separate reader for each text.
 */
final class IniReader {

  private static final String COMMENT_CHARS = "#;";

  private final String file;
  private final List<Finding> findings;
  private final Map<String, Integer> headerLines = new LinkedHashMap<>();
  private final Map<String, Map<String, Integer>> keyLines = new HashMap<>();

  IniReader(String file, List<Finding> findings) {
    this.file = file;
    this.findings = findings;
  }

  List<IniSection> read(String text) {
    recordLines(text);
    INIConfiguration ini = new INIConfiguration();
    try {
      ini.read(new StringReader(text));
    } catch (ConfigurationException | IOException | RuntimeException e) {
      findings.add(new Finding(file, 0, "", "", "cannot be parsed as INI: " + e.getMessage()));
      return List.of();
    }
    List<IniSection> sections = new ArrayList<>();
    headerLines.forEach((header, line) -> sections.add(toSection(ini, header, line)));
    return sections;
  }

  private IniSection toSection(INIConfiguration ini, String header, int line) {
    Map<String, Integer> lines = keyLines.getOrDefault(header, Map.of());
    Map<String, String> values = new HashMap<>();
    SubnodeConfiguration section = ini.getSection(header);
    for (Iterator<String> keys = section.getKeys(); keys.hasNext(); ) {
      String key = keys.next();
      if (lines.containsKey(key)) {
        values.put(key, section.getString(key, "").strip());
      }
    }
    int space = header.indexOf(' ');
    String kind = space < 0 ? header : header.substring(0, space);
    String name = space < 0 ? "" : header.substring(space + 1).strip();
    return new IniSection(kind, name, line, values, lines);
  }

  private void recordLines(String text) {
    String header = null;
    Set<String> seen = new HashSet<>();
    int number = 0;
    for (String raw : text.split("\n", -1)) {
      number++;
      String line = raw.strip();
      if (line.isEmpty() || COMMENT_CHARS.indexOf(line.charAt(0)) >= 0) {
        continue;
      }
      if (line.startsWith("[")) {
        header = recordHeader(line, number, seen);
      } else {
        recordKey(line, number, header);
      }
    }
  }

  private String recordHeader(String line, int number, Set<String> seen) {
    if (!line.endsWith("]") || line.length() <= 2) {
      findings.add(new Finding(file, number, "", "", "section header is not closed: " + line));
      return null;
    }
    String header = line.substring(1, line.length() - 1).strip();
    if (!seen.add(header)) {
      findings.add(new Finding(file, number, header, "", "duplicate section"));
    }
    headerLines.putIfAbsent(header, number);
    return header;
  }

  private void recordKey(String line, int number, String header) {
    int equals = line.indexOf('=');
    if (equals <= 0) {
      findings.add(
          new Finding(file, number, emptyIfNull(header), "", "not 'key = value': " + line));
      return;
    }
    String key = line.substring(0, equals).strip();
    if (header == null) {
      findings.add(new Finding(file, number, "", key, "is outside any section"));
      return;
    }
    if (!key.matches("[a-z][a-z0-9-]*")) {
      findings.add(new Finding(file, number, header, key, "key must match [a-z][a-z0-9-]*"));
      return;
    }
    Integer earlier =
        keyLines.computeIfAbsent(header, h -> new HashMap<>()).putIfAbsent(key, number);
    if (earlier != null) {
      findings.add(
          new Finding(file, number, header, key, "is a duplicate of the key in line " + earlier));
    }
  }

  private static String emptyIfNull(String header) {
    return header == null ? "" : header;
  }
}
