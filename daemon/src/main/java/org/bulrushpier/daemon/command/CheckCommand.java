package org.bulrushpier.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.bulrushpier.Finding;
import org.bulrushpier.settings.EntrySettings;
import org.bulrushpier.settings.SettingsTree;
import org.bulrushpier.settings.Subtree;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Checks settings files without a running entry. Not thread-safe. */
@Command(
    name = "check",
    description = {
      "Checks settings files and prints every finding with its location.",
      "Subtrees of the settings are given as PATH=FILE, such as site=etc/lima/site.ini;",
      "a FILE without a path is checked as the root."
    },
    mixinStandardHelpOptions = true)
public final class CheckCommand implements Callable<Integer> {

  @Parameters(arity = "1..*", paramLabel = "[PATH=]FILE", description = "The files to check.")
  private List<String> files;

  @Option(
      names = "--entry",
      description = "Check the settings of entry processes instead of subtrees.")
  private boolean isEntry;

  /** Creates the command. */
  public CheckCommand() {}

  @Override
  public Integer call() throws IOException {
    List<Finding> findings = isEntry ? entryFindings() : treeFindings();
    findings.forEach(System.out::println);
    System.out.println(findings.size() + " findings");
    return findings.isEmpty() ? 0 : 1;
  }

  private List<Finding> entryFindings() throws IOException {
    List<Finding> findings = new ArrayList<>();
    for (String file : files) {
      EntrySettings.parse(file, Files.readString(Path.of(file)), findings);
    }
    return findings;
  }

  private List<Finding> treeFindings() throws IOException {
    List<Subtree> subtrees = new ArrayList<>();
    for (String argument : files) {
      int equals = argument.indexOf('=');
      String path = equals < 0 ? Subtree.ROOT : argument.substring(0, equals);
      String file = argument.substring(equals + 1);
      subtrees.add(new Subtree(path, 1, Files.readString(Path.of(file))));
    }
    return SettingsTree.empty().with(subtrees).settings().findings().stream()
        .sorted(
            (a, b) ->
                a.file().equals(b.file())
                    ? Integer.compare(a.line(), b.line())
                    : a.file().compareTo(b.file()))
        .toList();
  }
}
