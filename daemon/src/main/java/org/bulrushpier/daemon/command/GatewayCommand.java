package org.bulrushpier.daemon.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.bulrushpier.Finding;
import org.bulrushpier.daemon.Logging;
import org.bulrushpier.daemon.ProcessSignals;
import org.bulrushpier.daemon.serve.Gateway;
import org.bulrushpier.daemon.serve.SettingsFile;
import org.bulrushpier.settings.GatewaySettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an entry instance on the deployment platform until it is terminated. Not thread-safe. */
@Command(
    name = "gateway",
    description = "Runs an entry instance on the deployment platform. SIGTERM drains it.",
    mixinStandardHelpOptions = true)
public final class GatewayCommand implements Callable<Integer> {

  @Option(
      names = "--settings",
      required = true,
      paramLabel = "FILE",
      defaultValue = "${env:BULRUSHPIER_NODE_FILE}",
      description =
          "The INI settings file of the process (default: the one that the platform names in the"
              + " environment variable BULRUSHPIER_NODE_FILE).")
  private Path file;

  /** Creates the command. */
  public GatewayCommand() {}

  @Override
  public Integer call() throws IOException {
    ProcessSignals signals = ProcessSignals.installed();
    List<Finding> findings = new ArrayList<>();
    SettingsFile settingsFile = SettingsFile.open(file);
    GatewaySettings settings = settingsFile.parse(findings);
    if (!findings.isEmpty()) {
      findings.forEach(System.err::println);
      return 1;
    }
    Logging.configureEvents();
    signals.start(() -> start(settings, settingsFile));
    return EntryCommand.KEEPS_RUNNING;
  }

  private static ProcessSignals.Listener start(GatewaySettings settings, SettingsFile file)
      throws IOException {
    Gateway gateway = Gateway.start(settings);
    gateway.watchSettings(file);
    return new ProcessSignals.Listener() {
      @Override
      public void reload() {
        gateway.reload(file);
      }

      @Override
      public void terminate() {
        gateway.shutDown();
      }
    };
  }
}
