package org.bulrushpier.placing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.site.Service;

/**
 * What this instance believes of a store of cache parts.
 *
 * <p>Invariant: a part counts as there only after the store reported it whole in its present life;
 * a part that is being saved does not. Not thread-safe; guarded by the lock of the tables.
 */
public final class CacheStoreState {

  /**
   * How long a report is believed, in milliseconds: two rests between calls at thirty stores, as
   * the first of them may be refused, and the way of an answer.
   */
  private static final long REPORT_LIFE_MILLIS = 4_000;

  /** How long a save may take before it is tried again, in milliseconds. */
  private static final long SAVE_MILLIS = 3_000;

  /** Instances assumed to save as much as this one at the same time: those of a site today. */
  private static final int SAVING_INSTANCES = 4;

  private final Service.CacheStore store;
  private final PartMemory parts = new PartMemory();
  private final Map<String, Saving> saving = new HashMap<>();
  private long epoch = -1;
  private long reportedMillis = Long.MIN_VALUE / 2;

  /** A part on its way. */
  private record Saving(int tokens, long sinceMillis) {
    boolean isUnderWay(long nowMillis) {
      return nowMillis - sinceMillis < SAVE_MILLIS;
    }
  }

  /**
   * Creates the state of a store of which nothing is known.
   *
   * @param store the store
   */
  public CacheStoreState(Service.CacheStore store) {
    this.store = store;
  }

  /**
   * Returns the store.
   *
   * @return its description
   */
  public Service.CacheStore store() {
    return store;
  }

  /**
   * Takes note that the store answered.
   *
   * @param lifeEpoch identifies its present life
   * @param nowMillis the steady time
   * @return true if it began a new life, and so is empty
   */
  public boolean reported(long lifeEpoch, long nowMillis) {
    boolean isNew = lifeEpoch != epoch;
    if (isNew) {
      epoch = lifeEpoch;
      parts.clear();
      saving.clear();
    }
    reportedMillis = nowMillis;
    return isNew;
  }

  /** Takes note that the store does not answer; what it held is not known any more. */
  public void silent() {
    reportedMillis = Long.MIN_VALUE / 2;
  }

  /**
   * Tells whether the store answered lately.
   *
   * @param nowMillis the steady time
   * @return true if it may be used
   */
  public boolean isLive(long nowMillis) {
    return nowMillis - reportedMillis < REPORT_LIFE_MILLIS;
  }

  /**
   * Takes note of how much of a part is there, whole parts only.
   *
   * @param salt the salt
   * @param id the part
   * @param tokens tokens; 0 if it is gone
   */
  public void holds(String salt, String id, int tokens) {
    parts.put(salt, id, tokens);
    saving.remove(salt + " " + id);
  }

  /**
   * Tells whether a part is there whole.
   *
   * @param salt the salt
   * @param part the part
   * @return true if so
   */
  public boolean has(String salt, PromptPart part) {
    return parts.hasWhole(salt, part);
  }

  /**
   * Tells whether a part is there or on its way.
   *
   * @param salt the salt
   * @param part the part
   * @param nowMillis the steady time
   * @return true if it need not be saved
   */
  public boolean hasOrSaves(String salt, PromptPart part, long nowMillis) {
    Saving save = saving.get(salt + " " + part.id());
    return has(salt, part) || (save != null && save.isUnderWay(nowMillis));
  }

  /**
   * Takes note that a part is being saved.
   *
   * @param salt the salt
   * @param part the part
   * @param nowMillis the steady time
   */
  public void saves(String salt, PromptPart part, long nowMillis) {
    saving.put(salt + " " + part.id(), new Saving(part.tokens(), nowMillis));
  }

  /**
   * Tells whether tokens still fit beside the saves under way, those of other instances included.
   *
   * @param tokens the tokens
   * @param nowMillis the steady time
   * @return true if there is room
   */
  public boolean hasRoom(int tokens, long nowMillis) {
    saving.values().removeIf(save -> !save.isUnderWay(nowMillis));
    long own = saving.values().stream().mapToLong(Saving::tokens).sum();
    return parts.total() + SAVING_INSTANCES * own + tokens <= store.memoryTokens();
  }

  /**
   * Returns the tokens that still fit.
   *
   * @return tokens
   */
  public long freeTokens() {
    return store.memoryTokens() - parts.total();
  }

  /**
   * Returns the parts made under older weights.
   *
   * @param model the model
   * @param version the version in use
   * @return ids by salt
   */
  public Map<String, List<String>> olderParts(String model, int version) {
    return parts.idsBySalt(salt -> CacheSalt.isOlder(salt, model, version));
  }
}
