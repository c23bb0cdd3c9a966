package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies proofs 1 and 2: no answer is computed from a block that was freed, partially written or
 * stored for another customer.
 */
class CacheBlocksIntegrationTest {

  private static final int MAX_TOKENS = 20;
  private static final int ENGINE_CACHE_BLOCKS = 30;
  private static final long EXPORT_TIMEOUT_MILLIS = 10_000;

  private static Site site;

  @BeforeAll
  static void start() {
    site = Site.start(SitePlan.small().withCacheBlocks(ENGINE_CACHE_BLOCKS));
  }

  @AfterAll
  static void stop() {
    site.close();
  }

  private record StoreCounts(int blocks, long linkBytes) {}

  private static long storedBlocks() {
    return site.read("store-1", "/counts", StoreCounts.class).blocks();
  }

  /**
   * Sends a first turn, waits until its blocks are exported and evicts them from the engines'
   * memory by prompts of another customer. Returns the messages of the second turn.
   */
  private static List<ChatMessage> evictedConversation(String name) {
    List<ChatMessage> messages = ChatClient.conversation(name, 700);
    long blocksBefore = storedBlocks();
    ChatClient.Result result = ChatClient.send(site, "entry-1", 1, messages, MAX_TOKENS);
    assertThat(result.text()).isEqualTo(ChatClient.expectedAnswer(1, "7", messages, MAX_TOKENS));
    long deadline = System.currentTimeMillis() + EXPORT_TIMEOUT_MILLIS;
    while (storedBlocks() < blocksBefore + 11 && System.currentTimeMillis() < deadline) {
      Faults.sleep(20);
    }
    assertThat(storedBlocks()).isGreaterThanOrEqualTo(blocksBefore + 11);
    for (int i = 0; i < 6; i++) {
      ChatClient.send(site, "entry-1", 2, ChatClient.conversation(name + "filler" + i, 1_300), 2);
    }
    List<ChatMessage> nextTurn = new ArrayList<>(messages);
    nextTurn.add(new ChatMessage("assistant", result.text()));
    nextTurn.add(new ChatMessage("user", "and now"));
    return nextTurn;
  }

  @Test
  void returningPromptReadsItsPrefixFromTheStore() {
    List<ChatMessage> nextTurn = evictedConversation("plain");
    ChatClient.Result result = ChatClient.send(site, "entry-2", 1, nextTurn, MAX_TOKENS);
    assertThat(result.text()).isEqualTo(ChatClient.expectedAnswer(1, "7", nextTurn, MAX_TOKENS));
    assertThat(result.usage().cachedTokens()).isGreaterThanOrEqualTo(640);
  }

  @ParameterizedTest
  @ValueSource(strings = {"flip-bytes", "truncate", "reuse-between", "evict-between"})
  void corruptBlockIsTreatedAsMissAndAnswerStaysCorrect(String fault) {
    List<ChatMessage> nextTurn = evictedConversation(fault);
    site.setFault("store-1", fault, 1);
    ChatClient.Result result = ChatClient.send(site, "entry-2", 1, nextTurn, MAX_TOKENS);
    assertThat(result.text()).isEqualTo(ChatClient.expectedAnswer(1, "7", nextTurn, MAX_TOKENS));
    assertThat(result.usage().cachedTokens()).isLessThan(640);
  }

  @Test
  void identicalPromptsOfTwoCustomersShareNoBlocks() {
    List<ChatMessage> messages = ChatClient.conversation("common", 700);
    ChatClient.send(site, "entry-1", 1, messages, MAX_TOKENS);
    ChatClient.Result result = ChatClient.send(site, "entry-1", 2, messages, MAX_TOKENS);
    assertThat(result.usage().cachedTokens()).isZero();
    assertThat(result.text()).isEqualTo(ChatClient.expectedAnswer(2, "7", messages, MAX_TOKENS));
    assertThat(result.text()).isNotEqualTo(ChatClient.expectedAnswer(1, "7", messages, MAX_TOKENS));
  }

  @Test
  void storeKilledDuringExportCausesOnlyMisses() {
    List<ChatMessage> messages = ChatClient.conversation("killed", 700);
    site.setFault("store-1", "link-slowdown", 200);
    ChatClient.Result result = ChatClient.send(site, "entry-1", 1, messages, MAX_TOKENS);
    site.signal("store-1", "KILL");
    List<ChatMessage> nextTurn = new ArrayList<>(messages);
    nextTurn.add(new ChatMessage("assistant", result.text()));
    nextTurn.add(new ChatMessage("user", "and now"));
    ChatClient.Result again = ChatClient.send(site, "entry-2", 1, nextTurn, MAX_TOKENS);
    assertThat(again.text()).isEqualTo(ChatClient.expectedAnswer(1, "7", nextTurn, MAX_TOKENS));
    site.restart("store-1");
    ChatClient.Result third = ChatClient.send(site, "entry-1", 1, nextTurn, MAX_TOKENS);
    assertThat(third.text()).isEqualTo(ChatClient.expectedAnswer(1, "7", nextTurn, MAX_TOKENS));
  }
}
