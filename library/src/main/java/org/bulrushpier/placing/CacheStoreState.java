package org.bulrushpier.placing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.site.Service;

/**
 * The known state of a cache store.
 *
 * <p>Invariant: a part counts as present only after the store has reported it as complete since its
 * last restart; a part that is still being saved does not count.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class CacheStoreState {

  /**
   * How long a report remains valid, in milliseconds. Covers two polling intervals with thirty
   * stores, since the first of the two polls may be refused, plus the latency of the answer.
   */
  private static final long REPORT_VALIDITY_MILLIS = 4_000;

  /** How long a save may take before it is retried, in milliseconds. */
  private static final long SAVE_TIMEOUT_MILLIS = 3_000;

  /**
   * The number of instances assumed to save as much as this one at the same time: the number that
   * currently run at a site.
   */
  private static final int SAVING_INSTANCES = 4;

  private final Service.CacheStore store;
  private final CachedParts parts = new CachedParts();
  private final Map<String, Saving> saving = new HashMap<>();
  private long epoch = -1;
  private long reportedMillis = Long.MIN_VALUE / 2;

  /** A save in progress. */
  private record Saving(int tokens, long sinceMillis) {
    boolean isInProgress(long nowMillis) {
      return nowMillis - sinceMillis < SAVE_TIMEOUT_MILLIS;
    }
  }

  /**
   * Creates the state of a store about which nothing is known yet.
   *
   * @param store the description of the store
   */
  public CacheStoreState(Service.CacheStore store) {
    this.store = store;
  }

  /** Returns the description of the store. */
  public Service.CacheStore store() {
    return store;
  }

  /**
   * Records an answer of the store.
   *
   * @param newEpoch the epoch of the store, which changes with each restart
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if the epoch is new, so that no part is known any more; also for the first report
   */
  public boolean recordReport(long newEpoch, long nowMillis) {
    boolean isNew = newEpoch != epoch;
    if (isNew) {
      epoch = newEpoch;
      parts.clear();
      saving.clear();
    }
    reportedMillis = nowMillis;
    return isNew;
  }

  /** Records that the store did not answer. It is not used until its next report. */
  public void markUnreachable() {
    reportedMillis = Long.MIN_VALUE / 2;
  }

  /**
   * Checks whether the store has answered recently enough to be used.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if its last report is still valid
   */
  public boolean isLive(long nowMillis) {
    return nowMillis - reportedMillis < REPORT_VALIDITY_MILLIS;
  }

  /**
   * Records how many tokens of a part the store holds. Only complete parts are usable.
   *
   * @param salt the cache salt
   * @param id the id of the part
   * @param tokens the number of tokens, or 0 if the part is gone
   */
  public void recordPart(String salt, String id, int tokens) {
    parts.put(salt, id, tokens);
    saving.remove(salt + " " + id);
  }

  /**
   * Checks whether the store holds a part completely.
   *
   * @param salt the cache salt
   * @param part the part
   * @return true if the part is complete
   */
  public boolean has(String salt, PromptPart part) {
    return parts.hasComplete(salt, part);
  }

  /**
   * Checks whether the store holds a part completely or is saving it.
   *
   * @param salt the cache salt
   * @param part the part
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if the part need not be saved
   */
  public boolean hasOrIsSaving(String salt, PromptPart part, long nowMillis) {
    Saving save = saving.get(salt + " " + part.id());
    return has(salt, part) || (save != null && save.isInProgress(nowMillis));
  }

  /**
   * Records that a save of a part has started.
   *
   * @param salt the cache salt
   * @param part the part
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void startSave(String salt, PromptPart part, long nowMillis) {
    saving.put(salt + " " + part.id(), new Saving(part.tokens(), nowMillis));
  }

  /**
   * Checks whether more tokens fit in addition to the saves in progress, including the estimated
   * saves of other instances.
   *
   * @param tokens the number of tokens
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if they fit
   */
  public boolean hasRoom(int tokens, long nowMillis) {
    saving.values().removeIf(save -> !save.isInProgress(nowMillis));
    long own = saving.values().stream().mapToLong(Saving::tokens).sum();
    return parts.total() + SAVING_INSTANCES * own + tokens <= store.memoryTokens();
  }

  /**
   * Returns the capacity that no reported part occupies, in tokens. Saves in progress are not
   * deducted.
   */
  public long freeTokens() {
    return store.memoryTokens() - parts.total();
  }

  /**
   * Returns the parts that were computed with outdated weights.
   *
   * @param model the name of the model
   * @param version the version in use
   * @return the part ids by salt
   */
  public Map<String, List<String>> outdatedParts(String model, int version) {
    return parts.idsBySalt(salt -> CacheSalt.isOutdated(salt, model, version));
  }
}
