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
 * The stores from which the parts of one prompt can be fetched under one salt, by the failure
 * domain of the engine that fetches them.
 *
 * <p>Worked out once for each domain, so that weighing many engines does not search all stores for
 * each of them. Not thread-safe; a throw-away of one decision.
 */
final class PartSources {

  /** Parts below this many tokens are read: a transfer's fixed cost outweighs them. */
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

  /** For each part the store to fetch it from: near ones first, then those with a fast link. */
  List<Optional<CacheStoreState>> nearest(String domain) {
    return nearest.computeIfAbsent(
        domain,
        place ->
            holders.stream()
                .map(
                    stores ->
                        stores.stream()
                            .min(
                                Comparator.comparing(
                                        (CacheStoreState store) ->
                                            !store.store().domain().equals(place))
                                    .thenComparing(store -> -store.store().linkMbps())))
                .toList());
  }
}
