package org.bulrushpier.daemon;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.List;
import java.util.Optional;
import org.bulrushpier.Clock;
import org.bulrushpier.cache.PrefixChain;

/**
 * What this entry remembers of its own sends: where a conversation ran last, which engines served a
 * customer lately, and which leading blocks a customer's conversations share.
 *
 * <p>Bounded: sleeping conversations are forgotten and then cost nothing. Thread-safe.
 */
final class WarmTable {

  private static final int MAX_CONVERSATIONS = 20_000;
  private static final int MAX_PAIRS = 50_000;
  private static final int MAX_CUSTOMERS = 2_000;
  private static final int MAX_SHARED_BLOCKS = 64;

  private final Clock clock;
  private final Cache<String, LastTurn> turns =
      Caffeine.newBuilder().maximumSize(MAX_CONVERSATIONS).build();
  private final Cache<String, Long> served = Caffeine.newBuilder().maximumSize(MAX_PAIRS).build();
  private final Cache<String, Opening> openings =
      Caffeine.newBuilder().maximumSize(MAX_CUSTOMERS).build();

  WarmTable(Clock clock) {
    this.clock = clock;
  }

  /** The last turn of a conversation that went through this entry. */
  record LastTurn(String engine, int blocks, long millis) {}

  private record Opening(String conversation, List<String> keys, int shared) {}

  Optional<LastTurn> lastTurn(PrefixChain chain) {
    return Optional.ofNullable(turns.getIfPresent(chain.conversationKey()));
  }

  void sent(String engine, String customer, PrefixChain chain) {
    long now = clock.millis();
    turns.put(chain.conversationKey(), new LastTurn(engine, chain.keys().size(), now));
    served.put(engine + " " + customer, now);
  }

  boolean isWarm(String engine, String customer, long survivalMillis) {
    Long last = served.getIfPresent(engine + " " + customer);
    return last != null && clock.millis() - last < survivalMillis;
  }

  /** The leading blocks that this conversation shares with the customer's one before. */
  int sharedBlocks(String customer, String weightVersion, PrefixChain chain) {
    String key = customer + " " + weightVersion;
    Opening before = openings.getIfPresent(key);
    List<String> keys =
        List.copyOf(chain.keys().subList(0, Math.min(MAX_SHARED_BLOCKS, chain.keys().size())));
    if (before == null) {
      openings.put(key, new Opening(chain.conversationKey(), keys, 0));
      return 0;
    }
    if (before.conversation().equals(chain.conversationKey())) {
      return before.shared();
    }
    int shared = commonLength(before.keys(), keys);
    openings.put(key, new Opening(chain.conversationKey(), keys, shared));
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
