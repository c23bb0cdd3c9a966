package org.bulrushpier.rig;

import org.bulrushpier.daemon.Logging;
import org.bulrushpier.daemon.command.CommandExceptionHandler;
import org.bulrushpier.rig.ask.AskCommand;
import org.bulrushpier.rig.ask.CallCommand;
import org.bulrushpier.rig.engine.EngineCommand;
import org.bulrushpier.rig.load.MeasureCommand;
import org.bulrushpier.rig.platform.PlatformCommand;
import org.bulrushpier.rig.proxy.ProxyCommand;
import org.bulrushpier.rig.service.ServiceCommand;
import org.bulrushpier.rig.store.StoreCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line of the stand-ins and tools, which are never shipped.
 *
 * <p>Holds no state.
 */
@Command(
    name = "rig",
    description = "Stand-ins for the systems around bulrushpier, and tools to load it.",
    mixinStandardHelpOptions = true,
    subcommands = {
      EngineCommand.class,
      ServiceCommand.class,
      StoreCommand.class,
      PlatformCommand.class,
      ProxyCommand.class,
      AskCommand.class,
      CallCommand.class,
      MeasureCommand.class
    })
public final class Main {

  /** The result of a command whose process goes on. */
  public static final int KEEPS_RUNNING = -1;

  private Main() {}

  /**
   * Runs a command.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    Logging.configure(false);
    int code =
        new CommandLine(new Main())
            .setExecutionExceptionHandler(new CommandExceptionHandler())
            .setCaseInsensitiveEnumValuesAllowed(true)
            .execute(args);
    if (code != KEEPS_RUNNING) {
      System.exit(code);
    }
  }
}
