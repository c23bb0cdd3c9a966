package org.bulrushpier.daemon;

import org.bulrushpier.daemon.command.EntryCommand;

/**
 * The entry point of the command line.
 *
 * <p>Exit codes: 0 for success, 1 for findings or a rejected request, 2 for wrong usage, 3 for an
 * unreachable entry.
 *
 * <p>Refers to no library, as the runtime loads what this class refers to before it is run, and a
 * gateway must take signals over as early as possible.
 */
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
    int code = Commands.run(args);
    if (code != EntryCommand.KEEPS_RUNNING) {
      System.exit(code);
    }
  }
}
