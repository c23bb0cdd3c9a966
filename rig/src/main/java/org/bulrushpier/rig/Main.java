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
import org.bulrushpier.rig.soak.SoakCommand;
import org.bulrushpier.rig.store.StoreCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line of the fakes and test tools, which are not part of a release.
 *
 * <p>Stateless.
 */
@Command(
    name = "rig",
    description = "Fakes of the systems around bulrushpier, and test and load tools.",
    mixinStandardHelpOptions = true,
    subcommands = {
      EngineCommand.class,
      ServiceCommand.class,
      StoreCommand.class,
      PlatformCommand.class,
      ProxyCommand.class,
      AskCommand.class,
      CallCommand.class,
      MeasureCommand.class,
      SoakCommand.class
    })
public final class Main {

  /** The result of a command whose process keeps running after the command returns. */
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
