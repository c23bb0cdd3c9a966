package org.bulrushpier.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.bulrushpier.Address;
import org.bulrushpier.Finding;

/**
 * Reads the typed values of a section and adds a finding for each invalid one.
 *
 * <p>Every method returns a usable value even if the input is invalid, so that all errors of a
 * section are found in one pass. Not thread-safe.
 */
final class SectionReader {

  private static final int KEY_HASH_DIGITS = 64;

  private final String file;
  private final IniSection section;
  private final List<Finding> findings;
  private final List<Finding> tolerated;
  private final Set<String> knownKeys = new HashSet<>();

  SectionReader(String file, IniSection section, List<Finding> findings) {
    this(file, section, findings, findings);
  }

  /**
   * Creates a reader.
   *
   * @param findings the list to which errors are added
   * @param tolerated the list to which errors are added in whose place another value is used
   */
  SectionReader(String file, IniSection section, List<Finding> findings, List<Finding> tolerated) {
    this.file = file;
    this.section = section;
    this.findings = findings;
    this.tolerated = tolerated;
  }

  String name() {
    if (!section.name().matches("[A-Za-z0-9][A-Za-z0-9._-]*")) {
      addFinding("", "section name must match [A-Za-z0-9][A-Za-z0-9._-]*");
      return "?";
    }
    return section.name();
  }

  String text(String key) {
    String value = optional(key, "");
    if (value.isEmpty()) {
      addFinding(key, "is missing");
    }
    return value;
  }

  String optional(String key, String defaultValue) {
    knownKeys.add(key);
    String value = section.values().get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value.isEmpty()) {
      addFinding(key, "has no value");
    }
    return value;
  }

  long integer(String key, long min, long max, long defaultValue) {
    String value = optional(key, Long.toString(defaultValue));
    try {
      long number = Long.parseLong(value);
      if (number >= min && number <= max) {
        return number;
      }
      addFinding(key, number + " is not within " + min + ".." + max);
    } catch (NumberFormatException e) {
      addFinding(key, "'" + value + "' is not a whole number");
    }
    return defaultValue;
  }

  double decimal(String key, double min, double max, double defaultValue) {
    String value = optional(key, Double.toString(defaultValue));
    try {
      double number = Double.parseDouble(value);
      if (number >= min && number <= max) {
        return number;
      }
      addFinding(key, number + " is not within " + min + ".." + max);
    } catch (NumberFormatException e) {
      addFinding(key, "'" + value + "' is not a number");
    }
    return defaultValue;
  }

  /** Returns a text of which an empty value is as good as none. */
  String textOrEmpty(String key) {
    knownKeys.add(key);
    return section.values().getOrDefault(key, "");
  }

  /**
   * Reads a figure that other software writes. A process must start with whatever it finds, so a
   * figure out of bounds is replaced by the nearest bound, and one that is no positive number by a
   * fixed one.
   *
   * @param key the key
   * @param min the smallest value, at least 0
   * @param max the largest value
   * @param absent the value if the key is missing or empty
   * @param unusable the value in place of one that is no figure
   */
  double figure(String key, double min, double max, double absent, double unusable) {
    String value = textOrEmpty(key);
    if (value.isEmpty()) {
      return absent;
    }
    double number;
    try {
      number = Double.parseDouble(value);
    } catch (NumberFormatException e) {
      number = Double.NaN;
    }
    if (!(number >= 0)) {
      tolerate(key, "'" + value + "' is not a figure; " + unusable + " is used");
      return unusable;
    }
    double usable = Math.clamp(number, min, max);
    if (usable != number) {
      tolerate(key, value + " is not within " + min + ".." + max + "; " + usable + " is used");
    }
    return usable;
  }

  /** Reads a figure whose value is the same if it is missing or no figure. */
  double figure(String key, double min, double max, double defaultValue) {
    return figure(key, min, max, defaultValue, defaultValue);
  }

  /** Reads a duration, a figure in units of so many milliseconds. */
  long millis(String key, long unitMillis, double max, double absent, double unusable) {
    return Math.max(1, Math.round(unitMillis * figure(key, 0, max, absent, unusable)));
  }

  boolean yesOrNo(String key, boolean defaultValue) {
    String value = optional(key, defaultValue ? "yes" : "no").toLowerCase(Locale.ROOT);
    if (!value.equals("yes") && !value.equals("no")) {
      addFinding(key, "'" + value + "' is neither yes nor no");
      return defaultValue;
    }
    return value.equals("yes");
  }

  Address address(String key) {
    String value = text(key);
    if (!value.isEmpty()) {
      try {
        return Address.parse(value);
      } catch (IllegalArgumentException e) {
        addFinding(key, e.getMessage());
      }
    }
    return new Address("0.0.0.0", 1);
  }

  Optional<Address> optionalAddress(String key) {
    knownKeys.add(key);
    return section.values().containsKey(key) ? Optional.of(address(key)) : Optional.empty();
  }

  /** Returns a list of addresses that are separated by commas; unreadable ones are left out. */
  List<Address> addresses(String key) {
    List<Address> addresses = new ArrayList<>();
    knownKeys.add(key);
    for (String text : section.values().getOrDefault(key, "").split(",")) {
      if (!text.isBlank()) {
        try {
          addresses.add(Address.parse(text.strip()));
        } catch (IllegalArgumentException e) {
          tolerate(key, e.getMessage());
        }
      }
    }
    return addresses;
  }

  String keyHash(String key) {
    String value = text(key);
    if (!value.isEmpty() && !value.matches("[0-9a-f]{" + KEY_HASH_DIGITS + "}")) {
      addFinding(
          key, "is not a SHA-256 hash of " + KEY_HASH_DIGITS + " lower-case hexadecimal digits");
    }
    return value;
  }

  void addFinding(String key, String message) {
    findings.add(finding(key, message));
  }

  /** Adds a finding about a value in whose place another one is used. */
  void tolerate(String key, String message) {
    tolerated.add(finding(key, message));
  }

  private Finding finding(String key, String message) {
    int line = section.lines().getOrDefault(key, section.line());
    return new Finding(file, line, section.header(), key, message);
  }

  void reportUnknownKeys() {
    for (String key : section.lines().keySet()) {
      if (!knownKeys.contains(key)) {
        addFinding(key, "is not a known key of section '" + section.kind() + "'");
      }
    }
  }
}
