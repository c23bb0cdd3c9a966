package org.bulrushpier.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.bulrushpier.Hash;

/**
 * Rendezvous hashing: all processes that know the same members select the same one for a key.
 *
 * <pre>{@code
 * String home = Rendezvous.first("conversation", List.of("engine-1", "engine-2"));
 * }</pre>
 *
 * <p>The removal of a member reassigns only the keys that were assigned to it.
 *
 * <p>Stateless and thread-safe.
 */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Sorts members by their weight for a key.
   *
   * @param key the key
   * @param members the members, none of them null
   * @return the members by descending weight
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
   * Returns the member with the highest weight for a key.
   *
   * @param key the key
   * @param members the members, none of them null
   * @return the member, or an empty string if there are no members
   */
  public static String first(String key, Collection<String> members) {
    List<String> order = order(key, members);
    return order.isEmpty() ? "" : order.get(0);
  }
}
