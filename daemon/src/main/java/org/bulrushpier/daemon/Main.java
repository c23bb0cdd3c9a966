package org.bulrushpier.daemon;

import org.bulrushpier.daemon.command.CheckCommand;
import org.bulrushpier.daemon.command.CommandExceptionHandler;
import org.bulrushpier.daemon.command.EntryCommand;
import org.bulrushpier.daemon.command.ExplainCommand;
import org.bulrushpier.daemon.command.GatewayCommand;
import org.bulrushpier.daemon.command.SettingsCommand;
import org.bulrushpier.daemon.command.StatusCommand;
import org.bulrushpier.daemon.command.TimelineCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The entry point of the command line.
 *
 * <p>Exit codes: 0 for success, 1 for findings or a rejected request, 2 for wrong usage, 3 for an
 * unreachable entry.
 */
@Command(
    name = "bulrushpier",
    description = "Routes prompts to inference engines and restores their cache after long gaps.",
    mixinStandardHelpOptions = true,
    version = "bulrushpier 0.1.0",
    subcommands = {
      EntryCommand.class,
      GatewayCommand.class,
      SettingsCommand.class,
      StatusCommand.class,
      TimelineCommand.class,
      CheckCommand.class,
      ExplainCommand.class
    })
public final class Main {

  private static final String GATEWAY = "gateway";

  private Main() {}

  /**
   * Runs a command.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    if (args.length > 0 && args[0].equals(GATEWAY)) {
      ProcessSignals.install();
    }
    Logging.configureQuiet();
    int code =
        new CommandLine(new Main())
            .setExecutionExceptionHandler(new CommandExceptionHandler())
            .setCaseInsensitiveEnumValuesAllowed(true)
            .execute(args);
    if (code != EntryCommand.KEEPS_RUNNING) {
      System.exit(code);
    }
  }
}
