package org.bulrushpier.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.bulrushpier.Finding;
import org.bulrushpier.daemon.EntryProcess;
import org.bulrushpier.daemon.Logging;
import org.bulrushpier.settings.EntrySettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an entry instance until it is terminated. Not thread-safe. */
@Command(
    name = "entry",
    description = "Runs an entry instance. SIGTERM drains it.",
    mixinStandardHelpOptions = true)
public final class EntryCommand implements Callable<Integer> {

  /** The result of a command whose process keeps running after it has returned. */
  public static final int KEEPS_RUNNING = -1;

  @Option(
      names = "--settings",
      required = true,
      paramLabel = "FILE",
      description = "The INI settings file of the process.")
  private Path file;

  /** Creates the command. */
  public EntryCommand() {}

  @Override
  public Integer call() throws IOException {
    List<Finding> findings = new ArrayList<>();
    String text = Files.readString(file);
    EntrySettings settings = EntrySettings.parse(file.toString(), text, findings);
    if (!findings.isEmpty()) {
      findings.forEach(System.err::println);
      return 1;
    }
    Logging.configure(settings.isJsonLog());
    EntryProcess process = EntryProcess.start(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(process::shutDown, "shutdown"));
    return KEEPS_RUNNING;
  }
}
