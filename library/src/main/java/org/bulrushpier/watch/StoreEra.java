package org.bulrushpier.watch;

import java.util.OptionalLong;

/**
 * The era of the metadata store, which begins anew when the store comes back from a copy. Revisions
 * of different eras cannot be compared: those after the copy are given out again.
 *
 * <p>An answer that does not tell its era belongs to the known one. If answers told none before,
 * the first one that does begins an era, as what is known may be from an earlier one.
 *
 * <p>Invariant: the known era never decreases. Not thread-safe; guarded by the lock of the
 * gateway's event loop.
 */
public final class StoreEra {

  /** Stands for an era that no answer has told. */
  public static final long UNTOLD = 0;

  /** The bits of a fencing token that a revision takes. */
  private static final int REVISION_BITS = 40;

  private long current = UNTOLD;
  private boolean hasAnswered;

  /** What an answer shows. Immutable and thread-safe. */
  public enum Observation {
    /** The answer is of the known era. */
    KNOWN,
    /** The answer is the first one of a newer era. */
    NEWER,
    /** The answer is of an older era and says nothing about the state of the store. */
    OLDER
  }

  /**
   * Records the era of an answer.
   *
   * @param told the era that the answer tells, or empty
   * @return what the answer shows
   */
  public Observation observe(OptionalLong told) {
    final boolean isFirst = !hasAnswered;
    hasAnswered = true;
    if (told.isEmpty() || told.getAsLong() == current) {
      return Observation.KNOWN;
    }
    if (told.getAsLong() < current) {
      return Observation.OLDER;
    }
    current = told.getAsLong();
    return isFirst ? Observation.KNOWN : Observation.NEWER;
  }

  /** Returns the newest era that an answer has told, or {@link #UNTOLD}. */
  public long current() {
    return current;
  }

  /**
   * Returns the fencing token of a lease that was taken at a revision of the known era. It is
   * larger than all tokens of earlier eras, although revisions go back.
   *
   * @param revision the revision of the write that took the lease
   * @return the token
   */
  public long fence(long revision) {
    return (current << REVISION_BITS) + revision;
  }
}
