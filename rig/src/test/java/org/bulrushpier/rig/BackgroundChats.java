package org.bulrushpier.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.rig.site.Site;

/**
 * Closed-loop chat clients that send prompts until they are stopped, and the history of their
 * calls.
 */
final class BackgroundChats {

  /** A prompt and the result of its call. */
  record Exchange(
      int customer,
      List<ChatMessage> messages,
      int maxTokens,
      long atMillis,
      ChatClient.Result result) {
    boolean isCorrect(String version) {
      return result
          .text()
          .equals(ChatClient.expectedAnswer(customer, version, messages, maxTokens));
    }
  }

  private final Site site;
  private final Supplier<String> entrySelector;
  private final int promptWords;
  private final AtomicBoolean isStopped = new AtomicBoolean();
  private final Queue<Exchange> history = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();

  private BackgroundChats(Site site, Supplier<String> entrySelector, int promptWords) {
    this.site = site;
    this.entrySelector = entrySelector;
    this.promptWords = promptWords;
  }

  static BackgroundChats start(
      Site site, int count, int promptWords, int maxTokens, Supplier<String> entrySelector) {
    BackgroundChats clients = new BackgroundChats(site, entrySelector, promptWords);
    for (int i = 0; i < count; i++) {
      int client = i;
      clients.threads.add(
          Thread.ofVirtual().start(() -> clients.sendUntilStopped(client, maxTokens)));
    }
    return clients;
  }

  private void sendUntilStopped(int client, int maxTokens) {
    for (int call = 0; !isStopped.get(); call++) {
      int customer = 1 + client % 2;
      List<ChatMessage> messages =
          ChatClient.conversation("a" + client + "n" + call + "-", promptWords);
      long startMillis = System.currentTimeMillis();
      ChatClient.Result result =
          ChatClient.send(site, entrySelector.get(), customer, messages, maxTokens);
      history.add(new Exchange(customer, messages, maxTokens, startMillis, result));
      if (result.status() != 200) {
        Faults.sleep(50);
      }
    }
  }

  /** Waits for the calls in progress and returns the history. */
  List<Exchange> stop() throws InterruptedException {
    isStopped.set(true);
    for (Thread thread : threads) {
      thread.join();
    }
    return List.copyOf(history);
  }
}
