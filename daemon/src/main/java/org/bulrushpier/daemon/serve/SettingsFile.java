package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.bulrushpier.Finding;
import org.bulrushpier.daemon.serve.GatewayStatus.SettingsStatus;
import org.bulrushpier.settings.GatewaySettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The settings file of a gateway, which is read again when it changes.
 *
 * <p>If the file cannot be read or names no usable addresses, the settings in force are kept. The
 * process could not start with such a file, so its state is told to operators. Not thread-safe;
 * used by one thread at a time.
 */
public final class SettingsFile {

  private static final Logger log = LoggerFactory.getLogger("settings");

  private final Path file;
  private String text;
  private SettingsStatus status = SettingsStatus.SOUND;

  private SettingsFile(Path file, String text) {
    this.file = file;
    this.text = text;
  }

  /**
   * Opens a file and reads its current text.
   *
   * @param file the file
   * @return the opened file
   * @throws IOException if it cannot be read
   */
  public static SettingsFile open(Path file) throws IOException {
    return new SettingsFile(file, Files.readString(file));
  }

  /**
   * Parses the text that was read last, and logs values in whose place others are used.
   *
   * @param findings receives the errors with which no process can run
   * @return the settings, to be used only if no finding was added
   */
  public GatewaySettings parse(List<Finding> findings) {
    List<Finding> tolerated = new ArrayList<>();
    GatewaySettings settings = GatewaySettings.parse(file.toString(), text, findings, tolerated);
    List<String> all =
        Stream.concat(findings.stream(), tolerated.stream()).map(Finding::toString).toList();
    all.forEach(finding -> log.atWarn().addKeyValue("finding", finding).log("settings-finding"));
    status = new SettingsStatus(!findings.isEmpty(), all);
    return settings;
  }

  /** Returns what was found in the text that was read last. */
  SettingsStatus status() {
    return status;
  }

  /**
   * Reads the file again.
   *
   * @return the new settings, or null if the text is unchanged, unreadable or unusable
   */
  public GatewaySettings reread() {
    try {
      String current = Files.readString(file);
      if (current.equals(text)) {
        return null;
      }
      text = current;
      List<Finding> findings = new ArrayList<>();
      GatewaySettings settings = parse(findings);
      return findings.isEmpty() ? settings : null;
    } catch (IOException e) {
      log.atWarn().addKeyValue("detail", e.getMessage()).log("settings-unreadable");
      status = new SettingsStatus(true, List.of("unreadable: " + e.getMessage()));
      // The text that was read before may be there again next time.
      text = "";
      return null;
    }
  }
}
