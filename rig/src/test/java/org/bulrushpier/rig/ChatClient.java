package org.bulrushpier.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bulrushpier.Address;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.rig.engine.AnswerOracle;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.stream.ChatChunk;
import org.bulrushpier.stream.ChatRequest;

/** Sends chat requests to a site and collects the streamed answers. */
final class ChatClient {

  private ChatClient() {}

  /** The result of a call; an answer without its final chunk is not complete. */
  record Result(int status, String text, boolean isComplete, ChatChunk.Usage usage, String error) {}

  static List<ChatMessage> conversation(String name, int words) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < words; i++) {
      text.append(name).append(i).append(' ');
    }
    List<ChatMessage> messages = new ArrayList<>();
    messages.add(new ChatMessage("system", text.toString()));
    messages.add(new ChatMessage("user", "what about " + name));
    return messages;
  }

  static Result send(
      Site site, String entry, int customer, List<ChatMessage> messages, int maxTokens) {
    Address address = site.address(entry);
    OutgoingCall call =
        OutgoingCall.of("POST", address, "/v1/chat/completions")
            .withHeader("Authorization", "Bearer " + Site.customerKey(customer))
            .withJson(new ChatRequest(Site.DEPLOYMENT, messages, true, maxTokens))
            .withTimeout(60_000);
    StringBuilder text = new StringBuilder();
    ChatChunk.Usage usage = null;
    try (HttpCaller.ResponseStream stream = site.caller().open(call)) {
      if (stream.status() != 200) {
        return new Result(stream.status(), "", false, null, new String(stream.readAll()));
      }
      for (Optional<ChatChunk> chunk = stream.next(ChatChunk.class);
          chunk.isPresent();
          chunk = stream.next(ChatChunk.class)) {
        text.append(chunk.get().content());
        usage = chunk.get().usage() != null ? chunk.get().usage() : usage;
      }
      return new Result(200, text.toString(), true, usage, "");
    } catch (CallFailedException e) {
      return new Result(200, text.toString(), false, null, e.getMessage());
    }
  }

  static String expectedAnswer(
      int customer, String version, List<ChatMessage> messages, int maxTokens) {
    String keyVersion = Site.MODEL + "@" + version;
    return AnswerOracle.answer(Site.customerId(customer), keyVersion, messages, maxTokens);
  }
}
