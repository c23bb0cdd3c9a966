package org.bulrushpier.placing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushpier.call.PromptPart;

/**
 * The cache stores that hold the parts of one prompt under one salt, ranked by the failure domain
 * of the engine that fetches them.
 *
 * <p>The ranking is computed once for each domain, so that comparing many engines does not search
 * all stores for each engine.
 *
 * <p>Not thread-safe; used for a single placement decision.
 */
final class PartSources {

  /**
   * The shortest part that is transferred, in tokens. For shorter parts the fixed cost of a
   * transfer exceeds the cost of the prefill.
   */
  static final int MIN_TOKENS = 64;

  private final List<List<CacheStoreState>> holders = new ArrayList<>();
  private final Map<String, List<Optional<CacheStoreState>>> nearest = new HashMap<>();

  private PartSources() {}

  static PartSources of(
      List<PromptPart> parts, String salt, Collection<CacheStoreState> stores, long nowMillis) {
    PartSources sources = new PartSources();
    for (PromptPart part : parts) {
      List<CacheStoreState> holders = new ArrayList<>();
      if (part.tokens() >= MIN_TOKENS) {
        for (CacheStoreState store : stores) {
          if (store.isLive(nowMillis) && store.has(salt, part)) {
            holders.add(store);
          }
        }
      }
      sources.holders.add(holders);
    }
    return sources;
  }

  /**
   * Returns for each part the store to fetch it from, if any. Stores in the given domain come
   * first, then those with the faster link.
   */
  List<Optional<CacheStoreState>> nearest(String domain) {
    return nearest.computeIfAbsent(
        domain,
        engineDomain ->
            holders.stream()
                .map(
                    stores ->
                        stores.stream()
                            .min(
                                Comparator.comparing(
                                        (CacheStoreState store) ->
                                            !store.store().domain().equals(engineDomain))
                                    .thenComparing(store -> -store.store().linkMbps())))
                .toList());
  }
}
