package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies proof 4: every caller receives the complete answer to its own request, despite faults.
 */
class StreamsIntegrationTest {

  private static final int MAX_TOKENS = 40;

  private Site site;

  @BeforeEach
  void start() {
    site = Site.start(SitePlan.small().withUpstreams(3, 1, 1));
  }

  @AfterEach
  void stop() {
    site.close();
  }

  private void setFaultOnAllEngines(String fault, long count) {
    for (int i = 1; i <= 3; i++) {
      site.setFault("engine-" + i, fault, count);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"break-streams", "end-early", "cross-answers", "repeat-events", "lie-version"})
  void answerIsCorrectDespiteStreamFault(String fault) {
    List<ChatMessage> messages = ChatClient.conversation(fault, 200);
    setFaultOnAllEngines(fault, 1);
    ChatClient.Result result = ChatClient.send(site, "entry-1", 1, messages, MAX_TOKENS);
    assertThat(result.isComplete()).isTrue();
    assertThat(result.text()).isEqualTo(ChatClient.expectedAnswer(1, "7", messages, MAX_TOKENS));
  }

  @Test
  void answersSurviveEngineKill() throws InterruptedException {
    Map<Integer, ChatClient.Result> results = sendManyDuring(() -> site.signal("engine-1", "KILL"));
    results.forEach(
        (number, result) ->
            assertThat(result.text()).as(result.error()).isEqualTo(expected(number)));
  }

  @Test
  void answersSurviveEngineFreeze() throws InterruptedException {
    Map<Integer, ChatClient.Result> results = sendManyDuring(() -> site.signal("engine-1", "STOP"));
    results.forEach(
        (number, result) ->
            assertThat(result.text()).as(result.error()).isEqualTo(expected(number)));
  }

  @Test
  void answersSurviveConnectionResets() throws InterruptedException {
    Map<Integer, ChatClient.Result> results =
        sendManyDuring(
            () -> {
              site.configureLink("engine-2", "refuse=1");
              Faults.sleep(300);
              site.configureLink("engine-2", "");
            });
    results.forEach(
        (number, result) ->
            assertThat(result.text()).as(result.error()).isEqualTo(expected(number)));
  }

  private Map<Integer, ChatClient.Result> sendManyDuring(Runnable fault)
      throws InterruptedException {
    Map<Integer, ChatClient.Result> results = new ConcurrentSkipListMap<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      int number = i;
      String entry = "entry-" + (i % 2 + 1);
      threads.add(
          Thread.ofVirtual()
              .start(
                  () ->
                      results.put(number, ChatClient.send(site, entry, 1, messages(number), 60))));
    }
    Faults.sleep(500);
    fault.run();
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(results).hasSize(9);
    return new TreeMap<>(results);
  }

  private static List<ChatMessage> messages(int number) {
    return ChatClient.conversation("talk" + number + "-", 150);
  }

  private static String expected(int number) {
    return ChatClient.expectedAnswer(1, "7", messages(number), 60);
  }
}
