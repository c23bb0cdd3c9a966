package org.bulrushpier.daemon;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.List;
import java.util.Optional;
import org.bulrushpier.Clock;
import org.bulrushpier.cache.PrefixChain;

/**
 * Records from this entry's own requests where cached blocks are likely to be: the engine of each
 * conversation's last turn, the engines that recently served each customer, and the leading blocks
 * that a customer's conversations share.
 *
 * <p>Bounded: records of inactive conversations are evicted, after which they take no memory.
 * Thread-safe.
 */
final class CacheAffinityTable {

  private static final int MAX_CONVERSATIONS = 20_000;
  private static final int MAX_ENGINE_CUSTOMER_PAIRS = 50_000;
  private static final int MAX_CUSTOMERS = 2_000;
  private static final int MAX_SHARED_BLOCKS = 64;

  private final Clock clock;
  private final Cache<String, LastTurn> lastTurns =
      Caffeine.newBuilder().maximumSize(MAX_CONVERSATIONS).build();
  private final Cache<String, Long> lastServed =
      Caffeine.newBuilder().maximumSize(MAX_ENGINE_CUSTOMER_PAIRS).build();
  private final Cache<String, LeadingBlocks> leadingBlocks =
      Caffeine.newBuilder().maximumSize(MAX_CUSTOMERS).build();

  CacheAffinityTable(Clock clock) {
    this.clock = clock;
  }

  /** The last turn of a conversation that went through this entry. */
  record LastTurn(String engine, int blocks, long millis) {}

  private record LeadingBlocks(String conversationKey, List<String> keys, int shared) {}

  Optional<LastTurn> lastTurn(PrefixChain chain) {
    return Optional.ofNullable(lastTurns.getIfPresent(chain.conversationKey()));
  }

  void recordTurn(String engine, String customer, PrefixChain chain) {
    long now = clock.millis();
    lastTurns.put(chain.conversationKey(), new LastTurn(engine, chain.keys().size(), now));
    lastServed.put(engine + " " + customer, now);
  }

  boolean isWarm(String engine, String customer, long survivalMillis) {
    Long last = lastServed.getIfPresent(engine + " " + customer);
    return last != null && clock.millis() - last < survivalMillis;
  }

  /** Returns the number of leading blocks shared with the customer's previous conversation. */
  int sharedBlocks(String customer, String weightVersion, PrefixChain chain) {
    String key = customer + " " + weightVersion;
    LeadingBlocks before = leadingBlocks.getIfPresent(key);
    List<String> keys =
        List.copyOf(chain.keys().subList(0, Math.min(MAX_SHARED_BLOCKS, chain.keys().size())));
    if (before == null) {
      leadingBlocks.put(key, new LeadingBlocks(chain.conversationKey(), keys, 0));
      return 0;
    }
    if (before.conversationKey().equals(chain.conversationKey())) {
      return before.shared();
    }
    int shared = commonLength(before.keys(), keys);
    leadingBlocks.put(key, new LeadingBlocks(chain.conversationKey(), keys, shared));
    return shared;
  }

  private static int commonLength(List<String> a, List<String> b) {
    int length = 0;
    while (length < Math.min(a.size(), b.size()) && a.get(length).equals(b.get(length))) {
      length++;
    }
    return length;
  }
}
