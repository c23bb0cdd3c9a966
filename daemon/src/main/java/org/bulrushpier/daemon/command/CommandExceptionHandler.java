package org.bulrushpier.daemon.command;

import org.bulrushpier.BulrushpierException;
import org.bulrushpier.daemon.http.CallFailedException;
import picocli.CommandLine;

/**
 * Prints the error of a failed command and determines the exit code.
 *
 * <p>Stateless and thread-safe.
 */
public final class CommandExceptionHandler implements CommandLine.IExecutionExceptionHandler {

  private static final int EXIT_REJECTED = 1;
  private static final int EXIT_UNREACHABLE = 3;

  /** Creates the handler. */
  public CommandExceptionHandler() {}

  @Override
  public int handleExecutionException(
      Exception e, CommandLine command, CommandLine.ParseResult parsed) throws Exception {
    if (e instanceof BulrushpierException known) {
      System.err.println(known.code().text() + ": " + known.getMessage());
      return EXIT_REJECTED;
    }
    if (e instanceof CallFailedException) {
      System.err.println("unreachable: " + e.getMessage());
      return EXIT_UNREACHABLE;
    }
    if (e instanceof java.nio.file.NoSuchFileException) {
      System.err.println("not-found: no such file: " + e.getMessage());
      return EXIT_REJECTED;
    }
    throw e;
  }
}
