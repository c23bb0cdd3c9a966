package org.bulrushpier.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.bulrushpier.Hash;

/**
 * Rendezvous hashing: every process that knows the same members picks the same one for a key.
 *
 * <pre>{@code
 * String home = Rendezvous.first("conversation", List.of("engine-1", "engine-2"));
 * }</pre>
 *
 * <p>Removing a member moves only the keys it held. The class holds no state and is thread-safe.
 */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Orders members by their weight for a key.
   *
   * @param key the key
   * @param members the members, none null
   * @return the members, heaviest first
   */
  public static List<String> order(String key, Collection<String> members) {
    record Weighted(String member, long weight) {}

    return members.stream()
        .map(member -> new Weighted(member, Hash.hash64(key, member)))
        .sorted(Comparator.comparingLong(Weighted::weight).thenComparing(Weighted::member))
        .map(Weighted::member)
        .toList();
  }

  /**
   * Picks the heaviest member for a key.
   *
   * @param key the key
   * @param members the members, none null
   * @return the member, or empty text if there are none
   */
  public static String first(String key, Collection<String> members) {
    List<String> order = order(key, members);
    return order.isEmpty() ? "" : order.get(0);
  }
}
