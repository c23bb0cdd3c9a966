package org.bulrushpier.placing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.call.PromptPart;

/**
 * The prompt parts that an engine is believed to keep, least recently used first.
 *
 * <p>Parts are kept under a salt, so that the same part of two salts is two parts. A prompt finds
 * its parts only as far as all earlier ones are there. Not thread-safe.
 */
public final class PartMemory {

  private final LinkedHashMap<Key, Integer> tokens = new LinkedHashMap<>(64, 0.75f, true);
  private long total;

  /** A part under a salt. */
  private record Key(String salt, String id) {}

  /**
   * Returns how many of a prompt's tokens need not be read.
   *
   * @param salt the salt
   * @param parts the prompt's parts in order
   * @return tokens of the leading parts that are there
   */
  public int cachedTokens(String salt, List<PromptPart> parts) {
    int cached = 0;
    for (PromptPart part : parts) {
      Integer kept = tokens.get(new Key(salt, part.id()));
      if (kept == null) {
        break;
      }
      cached += Math.min(kept, part.tokens());
      if (kept < part.tokens()) {
        break;
      }
    }
    return cached;
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
