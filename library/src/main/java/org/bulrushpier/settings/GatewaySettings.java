package org.bulrushpier.settings;

import java.util.List;
import org.bulrushpier.Address;
import org.bulrushpier.Finding;

/**
 * The settings of an entry that serves on the users' platform.
 *
 * <p>Read from the INI file that the platform fills in. Immutable and thread-safe.
 *
 * @param name the instance's name
 * @param domain its failure domain
 * @param callerAddress where callers connect
 * @param readyAddress where the balancer asks whether the instance takes connections
 * @param metricsAddress where metrics are served
 * @param platformAddress the platform's metadata store
 * @param keyRevocationMillis how long after its removal a key may still be honoured
 * @param shutdownMillis how long the process may go on after it was told to end
 * @param retryRatio repeats allowed for each request, of all instances together
 * @param retryMinimum repeats allowed in a window besides, of all instances together
 * @param retryWindowMillis the window in which repeats are counted
 * @param orderLeaseMillis how long only one instance may give orders
 * @param weightsChangeMillis how soon new weights are to be in place
 */
public record GatewaySettings(
    String name,
    String domain,
    Address callerAddress,
    Address readyAddress,
    Address metricsAddress,
    Address platformAddress,
    long keyRevocationMillis,
    long shutdownMillis,
    double retryRatio,
    double retryMinimum,
    long retryWindowMillis,
    long orderLeaseMillis,
    long weightsChangeMillis) {

  private static final long MILLIS = 1_000;
  private static final long MAX_MILLIS = 3_600_000;
  private static final long MAX_SECONDS = 3_600;
  private static final double MAX_RETRIES = 1_000_000;

  /**
   * Reads a file's text.
   *
   * @param file the file's name, for findings
   * @param text the INI text
   * @param findings where faults are added
   * @return the settings, to be used only if no finding was added
   */
  public static GatewaySettings parse(String file, String text, List<Finding> findings) {
    GatewaySettings settings = null;
    for (IniSection section : new IniReader(file, findings).read(text)) {
      SectionReader reader = new SectionReader(file, section, findings);
      if (section.kind().equals("gateway")) {
        settings = read(reader);
      } else {
        reader.add("", "'" + section.kind() + "' is not a known kind of section");
      }
      reader.finish();
    }
    if (settings == null) {
      findings.add(new Finding(file, 0, "gateway", "", "section is missing"));
    }
    return settings;
  }

  private static GatewaySettings read(SectionReader reader) {
    return new GatewaySettings(
        reader.text("name"),
        reader.text("domain"),
        reader.address("caller-address"),
        reader.address("ready-address"),
        reader.address("metrics-address"),
        reader.address("platform-address"),
        reader.integer("key-revocation-ms", 1, MAX_MILLIS, 5_000),
        MILLIS * reader.integer("shutdown-seconds", 1, MAX_SECONDS, 8),
        reader.decimal("retry-ratio", 0, 1, 0.2),
        reader.decimal("retry-minimum", 0, MAX_RETRIES, 0),
        MILLIS * reader.integer("retry-window-seconds", 1, MAX_SECONDS, 10),
        reader.integer("order-lease-ms", 1, MAX_MILLIS, 3_000),
        reader.integer("weights-change-ms", 1, MAX_MILLIS, 8_000));
  }
}
