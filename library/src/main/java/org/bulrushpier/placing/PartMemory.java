package org.bulrushpier.placing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.bulrushpier.call.PromptPart;

/**
 * The prompt parts that an engine is believed to keep, least recently used first.
 *
 * <p>Parts are kept under a salt, so that the same part of two salts is two parts. A prompt finds
 * its parts only as far as all earlier ones are there. Not thread-safe.
 */
public final class PartMemory {

  /** Memory is kept in blocks; the last block of a part may not count. */
  private static final int BLOCK_TOKENS = 16;

  private final LinkedHashMap<Key, Integer> tokens = new LinkedHashMap<>(64, 0.75f, true);
  private long total;

  /** A part under a salt. */
  private record Key(String salt, String id) {}

  /**
   * Tells whether a part is kept whole.
   *
   * @param salt the salt
   * @param part the part
   * @return true if at most part of a block is missing
   */
  public boolean hasWhole(String salt, PromptPart part) {
    Integer kept = tokens.get(new Key(salt, part.id()));
    return kept != null && kept > part.tokens() - BLOCK_TOKENS;
  }

  /**
   * Returns how many tokens are kept.
   *
   * @return tokens of all parts
   */
  public long total() {
    return total;
  }

  /**
   * Returns the parts under some salts.
   *
   * @param salts which salts
   * @return ids by salt
   */
  public Map<String, List<String>> idsBySalt(Predicate<String> salts) {
    Map<String, List<String>> ids = new LinkedHashMap<>();
    for (Key key : tokens.keySet()) {
      if (salts.test(key.salt())) {
        ids.computeIfAbsent(key.salt(), salt -> new ArrayList<>()).add(key.id());
      }
    }
    return ids;
  }

  /**
   * Takes note that a prompt's parts are read; the least recently used yield.
   *
   * @param salt the salt
   * @param parts the parts in order
   * @param capacity tokens that fit
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
   * Takes note of how much of a part is kept now.
   *
   * @param salt the salt
   * @param id the part
   * @param kept tokens; 0 removes it
   */
  public void put(String salt, String id, int kept) {
    Key key = new Key(salt, id);
    Integer before = kept > 0 ? tokens.put(key, kept) : tokens.remove(key);
    total += kept - (before == null ? 0 : before);
  }

  /** Forgets everything. */
  public void clear() {
    tokens.clear();
    total = 0;
  }
}
