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
 * Plans where the parts of a prompt are fetched from and where they are saved.
 *
 * <p>Designed for sessions that return after their parts have been evicted from engine memory.
 * Transferring a part costs a fraction of its prefill, so every shared part that a store holds
 * completely is fetched, and every shared part that no store holds is saved. A part is usable only
 * if all parts before it are resident: once one part needs prefill, so do all that follow. A store
 * is also named for parts that the engine is expected to hold, since the engine may have evicted
 * them in the meantime; it fetches only the parts that it lacks.
 *
 * <p>Stateless; the engine and the cache stores that it reads and updates are guarded by the lock
 * of the gateway's event loop.
 */
public final class CachePlanner {

  private static final double BITS_PER_BYTE = 8;

  /** Converts Mbit/s to bits per millisecond. */
  private static final double BITS_PER_MILLI = 1_000;

  /** Transfers between failure domains take twice as long. */
  private static final double CROSSING_FACTOR = 2;

  private CachePlanner() {}

  /**
   * Plans the transfer of the parts of a prompt to one engine.
   *
   * @param prompt the prompt
   * @param salt the cache salt under which the engine keeps the parts
   * @param service the service of the engine
   * @param engine the engine
   * @param sources the stores that hold parts of the prompt under the salt
   * @return the plan, without saves
   */
  static CachePlan plan(
      PromptShape prompt,
      String salt,
      Service.Engines service,
      Replica engine,
      PartSources sources) {
    int resident = 0;
    int fetched = 0;
    double millis = 0;
    List<String> addresses = new ArrayList<>();
    List<PromptPart> parts = prompt.parts();
    List<Optional<CacheStoreState>> nearest = sources.nearest(engine.entry().domain());
    int shared = 0;
    for (int i = 0; i < parts.size() - 1; i++) {
      shared += parts.get(i).tokens();
    }
    boolean isChainBroken = false;
    for (int i = 0; i < parts.size(); i++) {
      PromptPart part = parts.get(i);
      String address = CachePlan.NONE;
      if (!isChainBroken) {
        Optional<CacheStoreState> store = nearest.get(i);
        address = store.map(s -> s.store().address().toString()).orElse(CachePlan.NONE);
        if (engine.parts().hasComplete(salt, part)) {
          resident += part.tokens();
        } else if (store.isPresent()) {
          fetched += part.tokens();
          millis += transferMillis(service, store.get().store(), engine, part.tokens());
        } else {
          isChainBroken = true;
        }
      }
      addresses.add(address);
    }
    int covered = Math.min(prompt.inputTokens(), resident + fetched);
    return new CachePlan(
        resident,
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
    double millis =
        tokens * (double) service.bytesPerToken() * BITS_PER_BYTE / (mbps * BITS_PER_MILLI);
    boolean isCrossing = !store.domain().equals(engine.entry().domain());
    return store.latencyMillis() + (isCrossing ? CROSSING_FACTOR * millis : millis);
  }

  /**
   * Selects the stores that save the shared parts of a prompt, and records the saves as in
   * progress.
   *
   * @param prompt the prompt
   * @param salt the cache salt
   * @param engine the engine that will hold the parts
   * @param stores the available stores
   * @param nowMillis the current monotonic time, in milliseconds
   * @return for each part the address of a store, or {@link CachePlan#NONE}
   */
  public static List<String> planSaves(
      PromptShape prompt,
      String salt,
      Replica engine,
      Collection<CacheStoreState> stores,
      long nowMillis) {
    List<String> targets = new ArrayList<>();
    List<PromptPart> parts = prompt.parts();
    for (int i = 0; i < parts.size(); i++) {
      PromptPart part = parts.get(i);
      boolean isPrivate = i == parts.size() - 1;
      boolean isSaved =
          stores.stream().anyMatch(store -> store.hasOrIsSaving(salt, part, nowMillis));
      Optional<CacheStoreState> target =
          isPrivate || isSaved || part.tokens() < PartSources.MIN_TOKENS
              ? Optional.empty()
              : storeWithMostRoom(part, engine.entry().domain(), stores, nowMillis);
      target.ifPresent(store -> store.startSave(salt, part, nowMillis));
      targets.add(target.map(store -> store.store().address().toString()).orElse(CachePlan.NONE));
    }
    return targets;
  }

  private static Optional<CacheStoreState> storeWithMostRoom(
      PromptPart part, String domain, Collection<CacheStoreState> stores, long nowMillis) {
    return stores.stream()
        .filter(store -> store.isLive(nowMillis) && store.hasRoom(part.tokens(), nowMillis))
        .min(
            Comparator.comparing((CacheStoreState store) -> !store.store().domain().equals(domain))
                .thenComparing(store -> -store.freeTokens()));
  }
}
