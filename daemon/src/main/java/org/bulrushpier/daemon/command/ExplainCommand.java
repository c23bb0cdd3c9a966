package org.bulrushpier.daemon.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.daemon.serve.Explanation;
import org.bulrushpier.daemon.serve.Explanation.Belief;
import org.bulrushpier.daemon.serve.Explanation.Candidate;
import org.bulrushpier.daemon.serve.Explanation.Target;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints where an instance would send a request now, without sending it. Not thread-safe. */
@Command(
    name = "explain",
    description = {
      "Prints where a running gateway would send a request now, and why. The request is not sent.",
      "The key of the request is needed to find its customer; it is never printed."
    },
    mixinStandardHelpOptions = true)
public final class ExplainCommand implements Callable<Integer> {

  private static final String LINE_END = "\r\n";

  @Option(
      names = "--gateway",
      required = true,
      paramLabel = "IP:PORT",
      description = "The metrics address of the gateway.")
  private String gateway;

  @Option(names = "--json", description = "Print JSON.")
  private boolean isJson;

  @ArgGroup(exclusive = true, multiplicity = "1")
  private Source source;

  /** Where the request comes from. */
  private static final class Source {
    @Option(
        names = "--file",
        required = true,
        paramLabel = "FILE",
        description = "A file with the head of the request as it is sent to the gateway.")
    private Path file;

    @ArgGroup(exclusive = false, multiplicity = "1")
    private Head head;
  }

  /** A request that is given by options. */
  private static final class Head {
    @Option(
        names = "--target",
        required = true,
        paramLabel = "PATH",
        description = "Path and query.")
    private String target;

    @Option(
        names = "--method",
        paramLabel = "METHOD",
        defaultValue = "POST",
        description = "The method (default: ${DEFAULT-VALUE}).")
    private String method;

    @Option(
        names = "--header",
        paramLabel = "NAME:VALUE",
        description = "A header field; may be repeated. Host selects the route.")
    private List<String> headers = new ArrayList<>();
  }

  /** Creates the command. */
  public ExplainCommand() {}

  @Override
  public Integer call() throws IOException {
    Reply reply =
        EntryOptions.send(
            OutgoingCall.of("POST", Address.parse(gateway), "/explain")
                .withBody("text/plain", head().getBytes(StandardCharsets.ISO_8859_1)));
    if (!reply.isOk()) {
      throw BulrushpierException.notRun(
          ErrorCode.BAD_REQUEST, new String(reply.body(), StandardCharsets.UTF_8));
    }
    if (isJson) {
      EntryOptions.printJson(reply);
    } else {
      print(Codec.json().read(reply.body(), Explanation.class));
    }
    return 0;
  }

  /** Returns the head of the request with the empty line that ends it. */
  private String head() throws IOException {
    if (source.file != null) {
      String text = Files.readString(source.file, StandardCharsets.ISO_8859_1);
      return String.join(LINE_END, text.lines().toList()) + LINE_END + LINE_END;
    }
    StringBuilder text =
        new StringBuilder(source.head.method + " " + source.head.target + " HTTP/1.1" + LINE_END);
    source.head.headers.forEach(header -> text.append(header).append(LINE_END));
    return text.append(LINE_END).toString();
  }

  private static void print(Explanation explanation) {
    System.out.printf("instance %s in %s%n", explanation.instance(), explanation.domain());
    if (!explanation.route().isEmpty()) {
      System.out.printf(
          "route %s, %s, priority %d, expected within %d ms, at most %d ms%n",
          explanation.route(),
          explanation.customer().isEmpty() ? "public" : "customer " + explanation.customer(),
          explanation.priority(),
          explanation.goalMillis(),
          explanation.waitMillis());
    }
    if (!explanation.refusal().isEmpty()) {
      System.out.println("refused: " + explanation.refusal());
    }
    explanation.services().forEach(ExplainCommand::print);
    for (Belief belief : explanation.beliefs()) {
      System.out.printf(
          "%s: %s%s%n",
          belief.name(),
          belief.value(),
          belief.ageMillis() < 0 ? "" : ", confirmed " + belief.ageMillis() + " ms ago");
    }
  }

  private static void print(Target target) {
    System.out.printf(
        "service %s (%.0f%% of the route, %d waiting): %s%n",
        target.service(), 100 * target.share(), target.waiting(), choice(target));
    target.candidates().forEach(ExplainCommand::print);
  }

  private static void print(Candidate candidate) {
    StringBuilder line =
        new StringBuilder("  %s in %s".formatted(candidate.replica(), candidate.domain()));
    if (candidate.exclusion().isEmpty()) {
      line.append(String.format(Locale.ROOT, ", cost %.1f", candidate.cost()));
    } else {
      line.append(", out: ").append(candidate.exclusion());
    }
    if (candidate.prediction() != null) {
      line.append(
          ", wait %d ms, own work %d ms, faults %d ms; %d tokens cached, %d fetched, %d to prefill"
              .formatted(
                  candidate.prediction().waitMillis(),
                  candidate.prediction().ownMillis(),
                  candidate.prediction().faultMillis(),
                  candidate.prediction().cachedTokens(),
                  candidate.prediction().fetchedTokens(),
                  candidate.prediction().prefillTokens()));
    }
    if (candidate.weights() >= 0) {
      line.append(", weights ").append(candidate.weights());
    }
    line.append(", ").append(candidate.inFlight()).append(" in flight");
    if (candidate.heardMillis() >= 0) {
      line.append(", heard ").append(candidate.heardMillis()).append(" ms ago");
    }
    System.out.println(line);
  }

  private static String choice(Target target) {
    return switch (target.choice()) {
      case "send" -> "sent to " + target.replica();
      case "wait" -> "waits at this instance: " + target.reason();
      default -> "refused: " + target.reason();
    };
  }
}
