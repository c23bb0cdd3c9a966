package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.Finding;
import org.bulrushpier.settings.GatewaySettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The settings file of a gateway, which is read again when it changes.
 *
 * <p>If the file cannot be read or has findings, the settings in force are kept. Not thread-safe;
 * used by one thread at a time.
 */
public final class SettingsFile {

  private static final Logger log = LoggerFactory.getLogger("settings");

  private final Path file;
  private String text;

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
   * Parses the text that was read last.
   *
   * @param findings receives the errors found
   * @return the settings, to be used only if no finding was added
   */
  public GatewaySettings parse(List<Finding> findings) {
    return GatewaySettings.parse(file.toString(), text, findings);
  }

  /**
   * Reads the file again.
   *
   * @return the new settings, or null if the text is unchanged, unreadable or has findings
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
      findings.forEach(
          finding -> log.atWarn().addKeyValue("finding", finding).log("settings-finding"));
      return findings.isEmpty() ? settings : null;
    } catch (IOException e) {
      log.atWarn().addKeyValue("detail", e.getMessage()).log("settings-unreadable");
      return null;
    }
  }
}
