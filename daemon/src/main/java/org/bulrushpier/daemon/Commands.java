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

/** The commands of the command line. Stateless and thread-safe. */
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
final class Commands {

  private Commands() {}

  /**
   * Runs a command.
   *
   * @param args the command line
   * @return the exit code, or {@link EntryCommand#KEEPS_RUNNING}
   */
  static int run(String[] args) {
    Logging.configureQuiet();
    return new CommandLine(new Commands())
        .setExecutionExceptionHandler(new CommandExceptionHandler())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .execute(args);
  }
}
