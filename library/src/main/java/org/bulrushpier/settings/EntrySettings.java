package org.bulrushpier.settings;

import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.Address;
import org.bulrushpier.Finding;

/**
 * The settings of an entry process: its identity and the addresses of the platform and of its
 * peers.
 *
 * <p>Read from an INI file at startup and never changed afterwards. Immutable and thread-safe.
 *
 * @param name the name of the instance
 * @param domain the name of its failure domain
 * @param callerAddress the address for connections of callers and operators
 * @param peerAddress the address for connections of other entries
 * @param platformAddress the address of the platform's object API
 * @param rootKeySha256 the SHA-256 of the operator key that may change the whole settings tree
 * @param policy the name of the routing policy
 * @param isJsonLog true to write log lines as JSON
 * @param drainMillis the time the load balancer may take to notice that the entry is shutting down
 * @param contacts the entries to connect to before the platform's instance list is known
 */
public record EntrySettings(
    String name,
    String domain,
    Address callerAddress,
    Address peerAddress,
    Address platformAddress,
    String rootKeySha256,
    String policy,
    boolean isJsonLog,
    long drainMillis,
    List<Contact> contacts) {

  private static final long MAX_DRAIN_MILLIS = 600_000;
  private static final long DEFAULT_DRAIN_MILLIS = 1_000;

  /** Makes an immutable copy of the contacts. */
  public EntrySettings {
    contacts = List.copyOf(contacts);
  }

  /**
   * Parses the text of a settings file.
   *
   * @param file the name of the file, for findings
   * @param text the INI text
   * @param findings the list to which validation errors are added
   * @return the settings, or null if the section is missing; valid only if no finding was added
   */
  public static EntrySettings parse(String file, String text, List<Finding> findings) {
    List<IniSection> sections = new IniReader(file, findings).read(text);
    List<Contact> contacts = new ArrayList<>();
    EntrySettings entry = null;
    for (IniSection section : sections) {
      SectionReader reader = new SectionReader(file, section, findings);
      switch (section.kind()) {
        case "entry" -> entry = readEntry(reader);
        case "contact" ->
            contacts.add(
                new Contact(reader.name(), reader.address("peer-address"), reader.text("domain")));
        default -> reader.addFinding("", "'" + section.kind() + "' is not a known kind of section");
      }
      reader.reportUnknownKeys();
    }
    if (entry == null) {
      findings.add(new Finding(file, 0, "entry", "", "section is missing"));
      return null;
    }
    return entry.withContacts(contacts);
  }

  private static EntrySettings readEntry(SectionReader reader) {
    return new EntrySettings(
        reader.text("name"),
        reader.text("domain"),
        reader.address("caller-address"),
        reader.address("peer-address"),
        reader.address("platform-address"),
        reader.keyHash("root-operator-key-sha256"),
        reader.optional("routing-policy", "least-cost"),
        reader.optional("log-format", "text").equals("json"),
        reader.integer("drain-ms", 0, MAX_DRAIN_MILLIS, DEFAULT_DRAIN_MILLIS),
        List.of());
  }

  private EntrySettings withContacts(List<Contact> newContacts) {
    return new EntrySettings(
        name,
        domain,
        callerAddress,
        peerAddress,
        platformAddress,
        rootKeySha256,
        policy,
        isJsonLog,
        drainMillis,
        newContacts);
  }

  /**
   * An entry to connect to at startup. Immutable and thread-safe.
   *
   * @param name the name of the entry
   * @param address its peer address
   * @param domain the name of its failure domain
   */
  public record Contact(String name, Address address, String domain) {}
}
