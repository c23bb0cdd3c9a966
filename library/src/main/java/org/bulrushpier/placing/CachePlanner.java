package org.bulrushpier.placing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.site.Service;

/**
 * Plans where a prompt's parts come from and where they are saved.
 *
 * <p>The load it answers: sessions that return after their parts have left the engines' memory.
 * Moving a part costs a fraction of reading it, so every shared part that is whole in some store is
 * fetched, and every shared part that is in none is saved. Parts count only in order: once one has
 * to be read, all that follow are read as well. A store is therefore named as well for parts that
 * the engine is believed to keep: it may have dropped them since, and fetches only what it lacks.
 *
 * <p>Holds no state but its engines' link; thread-safe as far as the tables it reads are guarded.
 */
public final class CachePlanner {

  private static final double BITS = 8;

  /** Mbit/s to bits a millisecond. */
  private static final double BITS_PER_MILLI = 1_000;

  /** Transfers between failure domains take twice as long. */
  private static final double CROSSING_FACTOR = 2;

  private CachePlanner() {}

  /**
   * Plans the parts of a prompt for one engine.
   *
   * @param prompt the prompt
   * @param salt the salt
   * @param service the engine's service
   * @param engine the engine
   * @param sources the stores of the prompt's parts under that salt
   * @return the plan, without saves
   */
  static CachePlan plan(
      PromptShape prompt,
      String salt,
      Service.Engines service,
      Replica engine,
      PartSources sources) {
    int kept = 0;
    int fetched = 0;
    double millis = 0;
    List<String> addresses = new ArrayList<>();
    List<PromptPart> parts = prompt.parts();
    List<Optional<CacheStoreState>> nearest = sources.nearest(engine.entry().domain());
    int shared = 0;
    for (int i = 0; i < parts.size() - 1; i++) {
      shared += parts.get(i).tokens();
    }
    boolean isBroken = false;
    for (int i = 0; i < parts.size(); i++) {
      PromptPart part = parts.get(i);
      String address = CachePlan.NONE;
      if (!isBroken) {
        Optional<CacheStoreState> store = nearest.get(i);
        address = store.map(s -> s.store().address().toString()).orElse(CachePlan.NONE);
        if (engine.parts().hasWhole(salt, part)) {
          kept += part.tokens();
        } else if (store.isPresent()) {
          fetched += part.tokens();
          millis += transferMillis(service, store.get().store(), engine, part.tokens());
        } else {
          isBroken = true;
        }
      }
      addresses.add(address);
    }
    int covered = Math.min(prompt.inputTokens(), kept + fetched);
    return new CachePlan(
        kept,
        fetched,
        prompt.inputTokens() - covered,
        Math.max(0, shared - covered),
        millis,
        addresses,
        List.of());
  }

  private static double transferMillis(
      Service.Engines service, Service.CacheStore store, Replica engine, int tokens) {
    double mbps = Math.max(1, Math.min(service.linkMbps(), store.linkMbps()));
    double millis = tokens * (double) service.bytesPerToken() * BITS / (mbps * BITS_PER_MILLI);
    boolean isCrossing = !store.domain().equals(engine.entry().domain());
    return store.firstMillis() + (isCrossing ? CROSSING_FACTOR * millis : millis);
  }

  /**
   * Chooses the stores that a prompt's shared parts are saved in, and takes note of the saves.
   *
   * @param prompt the prompt
   * @param salt the salt
   * @param engine the engine that will have the parts
   * @param stores the stores
   * @param nowMillis the steady time
   * @return a store's address for each part, or {@link CachePlan#NONE}
   */
  public static List<String> saves(
      PromptShape prompt,
      String salt,
      Replica engine,
      Collection<CacheStoreState> stores,
      long nowMillis) {
    List<String> targets = new ArrayList<>();
    List<PromptPart> parts = prompt.parts();
    for (int i = 0; i < parts.size(); i++) {
      PromptPart part = parts.get(i);
      boolean isOwn = i == parts.size() - 1;
      boolean isSaved = stores.stream().anyMatch(store -> store.hasOrSaves(salt, part, nowMillis));
      Optional<CacheStoreState> target =
          isOwn || isSaved || part.tokens() < PartSources.MIN_TOKENS
              ? Optional.empty()
              : roomiest(part, engine.entry().domain(), stores, nowMillis);
      target.ifPresent(store -> store.saves(salt, part, nowMillis));
      targets.add(target.map(store -> store.store().address().toString()).orElse(CachePlan.NONE));
    }
    return targets;
  }

  private static Optional<CacheStoreState> roomiest(
      PromptPart part, String domain, Collection<CacheStoreState> stores, long nowMillis) {
    return stores.stream()
        .filter(store -> store.isLive(nowMillis) && store.hasRoom(part.tokens(), nowMillis))
        .min(
            Comparator.comparing((CacheStoreState store) -> !store.store().domain().equals(domain))
                .thenComparing(store -> -store.freeTokens()));
  }
}
