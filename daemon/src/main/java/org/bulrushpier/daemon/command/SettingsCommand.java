package org.bulrushpier.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import org.bulrushpier.Codec;
import org.bulrushpier.Finding;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.settings.Subtree;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Reads, validates, compares and changes settings. Not thread-safe. */
@Command(
    name = "settings",
    description = "Reads, validates, compares and changes subtrees of the settings.",
    mixinStandardHelpOptions = true)
public final class SettingsCommand {

  private static final String RESOURCE = "/admin/settings";
  private static final int HTTP_CONFLICT = 409;

  /** Creates the command. */
  public SettingsCommand() {}

  private record Proposal(String text, Long expectedVersion) {}

  private record ValidationResult(
      String path, long version, boolean isAccepted, List<Finding> findings) {}

  @Command(
      name = "list",
      description = "Lists the subtrees with their versions.",
      mixinStandardHelpOptions = true)
  int list(@Mixin EntryOptions options) {
    Reply reply = options.callOk(OutgoingCall.get(options.address(), RESOURCE));
    if (options.isJson()) {
      EntryOptions.printJson(reply);
      return 0;
    }
    for (Subtree subtree : reply.json(Subtree[].class)) {
      System.out.printf("%s version %d%n", subtree.path(), subtree.version());
    }
    return 0;
  }

  @Command(
      name = "get",
      description = "Prints the text of a subtree.",
      mixinStandardHelpOptions = true)
  int get(@Mixin EntryOptions options, @Parameters(paramLabel = "PATH") String path) {
    Reply reply = options.callOk(OutgoingCall.get(options.address(), RESOURCE + "/" + path));
    if (options.isJson()) {
      EntryOptions.printJson(reply);
    } else {
      System.out.print(reply.json(Subtree.class).text());
    }
    return 0;
  }

  @Command(
      name = "validate",
      description =
          "Validates a file as a subtree of the current settings without changing anything.",
      mixinStandardHelpOptions = true)
  int validate(
      @Mixin EntryOptions options,
      @Parameters(paramLabel = "PATH") String path,
      @Parameters(paramLabel = "FILE") Path file)
      throws IOException {
    OutgoingCall call = OutgoingCall.of("POST", options.address(), RESOURCE + "/" + path);
    Reply reply = options.callOk(call.withJson(new Proposal(Files.readString(file), null)));
    if (options.isJson()) {
      EntryOptions.printJson(reply);
    }
    ValidationResult result = reply.json(ValidationResult.class);
    result.findings().forEach(System.out::println);
    System.out.println(result.findings().size() + " findings");
    return result.findings().isEmpty() ? 0 : 1;
  }

  @Command(
      name = "diff",
      description = "Compares a file with the current text of a subtree.",
      mixinStandardHelpOptions = true)
  int diff(
      @Mixin EntryOptions options,
      @Parameters(paramLabel = "PATH") String path,
      @Parameters(paramLabel = "FILE") Path file)
      throws IOException {
    Reply reply = options.callOk(OutgoingCall.get(options.address(), RESOURCE + "/" + path));
    List<String> before = reply.json(Subtree.class).text().lines().toList();
    List<String> after = Files.readString(file).lines().toList();
    List<String> lines = LineDiff.of(before, after);
    lines.forEach(System.out::println);
    return lines.isEmpty() ? 0 : 1;
  }

  @Command(
      name = "change",
      description = "Replaces a subtree; rejected if its version is not the expected one.",
      mixinStandardHelpOptions = true)
  int change(
      @Mixin EntryOptions options,
      @Option(
              names = "--expect",
              paramLabel = "VERSION",
              description = "The version that the subtree must have.")
          Long expected,
      @Parameters(paramLabel = "PATH") String path,
      @Parameters(paramLabel = "FILE") Path file)
      throws IOException {
    OutgoingCall call =
        OutgoingCall.of("PUT", options.address(), RESOURCE + "/" + path)
            .withHeader("X-Change-Id", "change-" + UUID.randomUUID())
            .withJson(new Proposal(Files.readString(file), expected));
    Reply reply = options.call(call);
    if (reply.status() == HTTP_CONFLICT) {
      printConflict(options, path, file);
    }
    if (!reply.isOk()) {
      throw EntryOptions.toException(reply);
    }
    ValidationResult result = reply.json(ValidationResult.class);
    System.out.printf("%s version %d accepted%n", result.path(), result.version());
    return 0;
  }

  private static void printConflict(EntryOptions options, String path, Path file)
      throws IOException {
    Reply reply = options.call(OutgoingCall.get(options.address(), RESOURCE + "/" + path));
    if (!reply.isOk()) {
      return;
    }
    Subtree current = Codec.json().read(reply.body(), Subtree.class);
    System.err.println("current version " + current.version() + " compared with the file:");
    List<String> proposed = Arrays.asList(Files.readString(file).split("\n"));
    LineDiff.of(current.text().lines().toList(), proposed).forEach(System.err::println);
  }
}
