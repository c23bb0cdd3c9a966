package org.bulrushpier.rig.ask;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.Codec;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.rig.engine.AnswerOracle;
import org.bulrushpier.stream.ChatChunk;
import org.bulrushpier.stream.ChatRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Asks one turn of a conversation and checks the answer's text. Not thread-safe. */
@Command(
    name = "ask",
    description = "Asks one streamed turn, checks the answer and keeps the conversation in a file.",
    mixinStandardHelpOptions = true)
public final class AskCommand implements Callable<Integer> {

  private static final int STANDING_WORDS = 1_500;
  private static final int SHOWN_TOKENS = 4;

  @Option(names = "--entry", required = true, description = "The entry's caller address.")
  private String entry;

  @Option(names = "--key", required = true, description = "The customer's key.")
  private String key;

  @Option(names = "--customer", required = true, description = "The customer's unique name.")
  private String customer;

  @Option(names = "--model", required = true, description = "The deployment.")
  private String model;

  @Option(names = "--weights", required = true, description = "MODEL@VERSION that must answer.")
  private String weights;

  @Option(names = "--conversation", required = true, description = "The conversation's file.")
  private Path file;

  @Option(names = "--max-tokens", defaultValue = "80", description = "The answer's length.")
  private int maxTokens;

  @Option(names = "--min-cached", defaultValue = "0", description = "Cached tokens expected.")
  private int minCached;

  @Parameters(paramLabel = "TEXT", description = "The question.")
  private String question;

  /** Creates the command. */
  public AskCommand() {}

  @Override
  public Integer call() throws IOException {
    List<ChatMessage> messages = new ArrayList<>(earlier());
    messages.add(new ChatMessage("user", question));
    OutgoingCall call =
        OutgoingCall.of("POST", Address.parse(entry), "/v1/chat/completions")
            .withHeader("Authorization", "Bearer " + key)
            .withJson(new ChatRequest(model, messages, true, maxTokens))
            .withTimeout(60_000);
    StringBuilder text = new StringBuilder();
    ChatChunk.Usage usage = null;
    long begun = System.nanoTime();
    long first = 0;
    HttpCaller caller = HttpCaller.start();
    try (HttpCaller.Stream stream = caller.open(call)) {
      if (stream.status() != 200) {
        System.out.println(new String(stream.readAll(), java.nio.charset.StandardCharsets.UTF_8));
        return 1;
      }
      for (Optional<ChatChunk> chunk = stream.next(ChatChunk.class);
          chunk.isPresent();
          chunk = stream.next(ChatChunk.class)) {
        first = first == 0 ? System.nanoTime() : first;
        text.append(chunk.get().content());
        usage = chunk.get().usage() != null ? chunk.get().usage() : usage;
      }
    } finally {
      caller.stop();
    }
    return report(messages, text.toString(), usage, (first - begun) / 1_000_000);
  }

  private int report(
      List<ChatMessage> messages, String text, ChatChunk.Usage usage, long firstMillis)
      throws IOException {
    boolean isRight = text.equals(AnswerOracle.answer(customer, weights, messages, maxTokens));
    final boolean isCached = usage != null && usage.cachedTokens() >= minCached;
    String shown = String.join(" ", Arrays.asList(text.split(" ")).subList(0, SHOWN_TOKENS));
    System.out.printf(
        "answer '%s ...', %s; first token after %d ms; %d of %d prompt tokens from cache%n",
        shown,
        isRight ? "right to the last token" : "WRONG",
        firstMillis,
        usage == null ? 0 : usage.cachedTokens(),
        usage == null ? 0 : usage.promptTokens());
    messages.add(new ChatMessage("assistant", text));
    Files.write(file, Codec.json().write(messages));
    return isRight && isCached ? 0 : 1;
  }

  private List<ChatMessage> earlier() throws IOException {
    if (Files.exists(file)) {
      return Arrays.asList(Codec.json().read(Files.readAllBytes(file), ChatMessage[].class));
    }
    StringBuilder standing = new StringBuilder();
    for (int i = 0; i < STANDING_WORDS; i++) {
      standing.append("item").append(question.hashCode()).append(i).append(' ');
    }
    return List.of(new ChatMessage("system", standing.toString()));
  }
}
