package org.bulrushpier.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which callers are cut when the output that they have not read takes the room of others.
 *
 * <p>The load that it answers is many callers that read more slowly than they are sent to. Nobody
 * is cut as long as there is room. What decides is what callers lose: a ready answer is lost with
 * all the work behind it and may not be asked for again, a stream that still runs is lost with what
 * its caller is behind by, and fewer callers lose something if those go for whom most is kept.
 *
 * <p>Stateless and thread-safe.
 */
public final class SlowReaders {

  /** A response by what its caller loses if it is cut, the smallest loss first. */
  public enum Kind {
    /** A stream of which more is to come. */
    STREAM(2_000),
    /** An answer that is complete here, also the rest of a stream. */
    READY(15_000);

    private final long patienceMillis;

    Kind(long patienceMillis) {
      this.patienceMillis = patienceMillis;
    }

    /**
     * Returns how far a caller may be behind before it may be cut to make room for others.
     *
     * @return the age of the oldest byte that it has not read, in milliseconds
     */
    public long patienceMillis() {
      return patienceMillis;
    }
  }

  /** A caller for which output is kept. */
  public interface Reader {

    /** Returns the kind of its response. */
    Kind kind();

    /** Returns the bytes that are kept for it. */
    long bytes();

    /** Returns the age of the oldest byte that it has not read, in milliseconds; 0 if none. */
    long unreadMillis();
  }

  private static final Comparator<Reader> BY_LOSS =
      Comparator.comparing(Reader::kind)
          .thenComparing(Comparator.comparingLong(Reader::bytes).reversed());

  private SlowReaders() {}

  /**
   * Returns whether a caller is so far behind that it may be cut to make room for others.
   *
   * @param reader the caller
   * @return true if it is behind for longer than the patience with its kind of response
   */
  public static boolean isSlow(Reader reader) {
    return reader.bytes() > 0 && reader.unreadMillis() >= reader.kind().patienceMillis();
  }

  /**
   * Chooses the callers to cut so that others get room.
   *
   * @param readers all callers for which output is kept
   * @param missingBytes the bytes that others lack, more than 0
   * @return callers that are slow and for which at least that much is kept, the smallest loss
   *     first; empty if all slow ones together would not make enough room
   */
  public static <R extends Reader> List<R> cutsForOthers(Collection<R> readers, long missingBytes) {
    List<R> cuts = new ArrayList<>();
    long freedBytes = 0;
    for (R reader : readers.stream().filter(SlowReaders::isSlow).sorted(BY_LOSS).toList()) {
      if (freedBytes >= missingBytes) {
        break;
      }
      cuts.add(reader);
      freedBytes += reader.bytes();
    }
    return freedBytes >= missingBytes ? cuts : List.of();
  }

  /**
   * Chooses the caller that is cut when there is no room for more output and no slow caller makes
   * enough room, as the memory of the process is at stake.
   *
   * @param readers all callers for which output is kept
   * @return the caller whose loss is the smallest, or empty if nothing is kept
   */
  public static <R extends Reader> Optional<R> lastResort(Collection<R> readers) {
    return readers.stream().filter(reader -> reader.bytes() > 0).min(BY_LOSS);
  }
}
