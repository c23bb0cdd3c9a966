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

/** Sends one turn of a conversation and verifies the text of the answer. Not thread-safe. */
@Command(
    name = "ask",
    description =
        "Sends one streamed turn, verifies the answer and saves the conversation to a file.",
    mixinStandardHelpOptions = true)
public final class AskCommand implements Callable<Integer> {

  private static final int SYSTEM_PROMPT_WORDS = 1_500;
  private static final int PREVIEW_TOKENS = 4;

  @Option(names = "--entry", required = true, description = "The entry's caller address.")
  private String entry;

  @Option(names = "--key", required = true, description = "The customer's API key.")
  private String key;

  @Option(names = "--customer", required = true, description = "The customer's id.")
  private String customer;

  @Option(names = "--model", required = true, description = "The deployment.")
  private String model;

  @Option(names = "--weights", required = true, description = "Expected MODEL@VERSION.")
  private String weights;

  @Option(names = "--conversation", required = true, description = "The conversation's file.")
  private Path file;

  @Option(names = "--max-tokens", defaultValue = "80", description = "The answer's length.")
  private int maxTokens;

  @Option(names = "--min-cached", defaultValue = "0", description = "Minimum cached tokens.")
  private int minCached;

  @Parameters(paramLabel = "TEXT", description = "The user message.")
  private String question;

  /** Creates the command. */
  public AskCommand() {}

  @Override
  public Integer call() throws IOException {
    List<ChatMessage> messages = new ArrayList<>(previousMessages());
    messages.add(new ChatMessage("user", question));
    OutgoingCall call =
        OutgoingCall.of("POST", Address.parse(entry), "/v1/chat/completions")
            .withHeader("Authorization", "Bearer " + key)
            .withJson(new ChatRequest(model, messages, true, maxTokens))
            .withTimeout(60_000);
    StringBuilder text = new StringBuilder();
    ChatChunk.Usage usage = null;
    long startNanos = System.nanoTime();
    long firstNanos = 0;
    HttpCaller caller = HttpCaller.start();
    try (HttpCaller.ResponseStream stream = caller.open(call)) {
      if (stream.status() != 200) {
        System.out.println(new String(stream.readAll(), java.nio.charset.StandardCharsets.UTF_8));
        return 1;
      }
      for (Optional<ChatChunk> chunk = stream.next(ChatChunk.class);
          chunk.isPresent();
          chunk = stream.next(ChatChunk.class)) {
        firstNanos = firstNanos == 0 ? System.nanoTime() : firstNanos;
        text.append(chunk.get().content());
        usage = chunk.get().usage() != null ? chunk.get().usage() : usage;
      }
    } finally {
      caller.stop();
    }
    return report(messages, text.toString(), usage, (firstNanos - startNanos) / 1_000_000);
  }

  private int report(
      List<ChatMessage> messages, String text, ChatChunk.Usage usage, long firstMillis)
      throws IOException {
    boolean isCorrect = text.equals(AnswerOracle.answer(customer, weights, messages, maxTokens));
    final boolean isCachedEnough = usage != null && usage.cachedTokens() >= minCached;
    String preview = String.join(" ", Arrays.asList(text.split(" ")).subList(0, PREVIEW_TOKENS));
    System.out.printf(
        "answer '%s ...', %s; first token after %d ms; %d of %d prompt tokens from cache%n",
        preview,
        isCorrect ? "right to the last token" : "WRONG",
        firstMillis,
        usage == null ? 0 : usage.cachedTokens(),
        usage == null ? 0 : usage.promptTokens());
    messages.add(new ChatMessage("assistant", text));
    Files.write(file, Codec.json().write(messages));
    return isCorrect && isCachedEnough ? 0 : 1;
  }

  private List<ChatMessage> previousMessages() throws IOException {
    if (Files.exists(file)) {
      return Arrays.asList(Codec.json().read(Files.readAllBytes(file), ChatMessage[].class));
    }
    StringBuilder systemPrompt = new StringBuilder();
    for (int i = 0; i < SYSTEM_PROMPT_WORDS; i++) {
      systemPrompt.append("item").append(question.hashCode()).append(i).append(' ');
    }
    return List.of(new ChatMessage("system", systemPrompt.toString()));
  }
}
