package org.bulrushpier.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.bulrushpier.call.PromptPart;

/**
 * The prompt parts that an engine or a store is expected to hold, in least-recently-used order.
 *
 * <p>Parts are keyed by salt and id, so the same part under two salts is stored twice. A prompt can
 * use a part only if all parts before it are present too.
 *
 * <p>Not thread-safe.
 */
public final class CachedParts {

  /**
   * Cache memory is allocated in blocks of this many tokens. The last block of a part may not be
   * counted.
   */
  private static final int BLOCK_TOKENS = 16;

  private final LinkedHashMap<Key, Integer> tokens = new LinkedHashMap<>(64, 0.75f, true);
  private long total;

  private record Key(String salt, String id) {}

  /**
   * Checks whether a part is held completely.
   *
   * @param salt the cache salt
   * @param part the part
   * @return true if less than one block of the part is missing
   */
  public boolean hasComplete(String salt, PromptPart part) {
    Integer kept = tokens.get(new Key(salt, part.id()));
    return kept != null && kept > part.tokens() - BLOCK_TOKENS;
  }

  /** Returns the number of tokens of all parts. */
  public long total() {
    return total;
  }

  /**
   * Returns the parts whose salt matches a predicate.
   *
   * @param salts selects the salts
   * @return the part ids by salt
   */
  public Map<String, List<String>> idsBySalt(Predicate<String> salts) {
    Map<String, List<String>> ids = new LinkedHashMap<>();
    Map<String, Boolean> selected = new HashMap<>();
    for (Key key : tokens.keySet()) {
      if (selected.computeIfAbsent(key.salt(), salts::test)) {
        ids.computeIfAbsent(key.salt(), salt -> new ArrayList<>()).add(key.id());
      }
    }
    return ids;
  }

  /**
   * Records that an engine has processed the parts of a prompt. Evicts the least recently used
   * parts if the capacity is exceeded.
   *
   * @param salt the cache salt
   * @param parts the parts in prompt order
   * @param capacity the capacity in tokens
   */
  public void add(String salt, List<PromptPart> parts, long capacity) {
    for (PromptPart part : parts) {
      put(salt, part.id(), part.tokens());
    }
    Iterator<Map.Entry<Key, Integer>> eldest = tokens.entrySet().iterator();
    while (total > capacity && eldest.hasNext()) {
      total -= eldest.next().getValue();
      eldest.remove();
    }
  }

  /**
   * Records how many tokens of a part are held.
   *
   * @param salt the cache salt
   * @param id the id of the part
   * @param kept the number of tokens; 0 removes the part
   */
  public void put(String salt, String id, int kept) {
    Key key = new Key(salt, id);
    Integer before = kept > 0 ? tokens.put(key, kept) : tokens.remove(key);
    total += kept - (before == null ? 0 : before);
  }

  /** Removes all parts. */
  public void clear() {
    tokens.clear();
    total = 0;
  }
}
