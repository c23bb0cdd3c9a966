package org.bulrushpier.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.bulrushpier.Moment;

/**
 * The terms within which parts of a prompt may be fetched from a cache store, and after which those
 * of older weights may be freed there.
 *
 * <p>Instances do not agree on when parts are freed: the one that frees them may be cut off, and
 * others may still send requests to engines with older weights. Each of them keeps two terms by
 * itself instead. It orders no fetch that ends later than a fixed time after its last proof that no
 * newer version was requested, and frees parts only if it has known of a newer version for longer
 * than that time. As no such proof is younger than the request for the newer version, every fetch
 * has ended before the parts are freed.
 *
 * <pre>{@code
 * terms.requested(model, version, now);
 * terms.confirmed(proven, Moment.now());
 * OptionalLong until = terms.fetchUntil(model, servedVersion, now);
 * int oldestKept = terms.oldestKept(model, 0, now);
 * }</pre>
 *
 * <p>Invariants: fetches end at the latest {@link #TERM_MILLIS} after the request for newer
 * weights, and parts are freed later than that. The former is kept on the clock of replicas and
 * stores and the latter on the monotonic clock, as time in which this instance is suspended must
 * count for the one and not for the other.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class PartTerms implements FetchBound {

  /**
   * The time after the request for newer weights at which the last fetch ends, in milliseconds. All
   * instances of a site must use the same.
   */
  static final long TERM_MILLIS = 12_000;

  /** The time between the end of the last fetch and the release of parts, in milliseconds. */
  private static final long MARGIN_MILLIS = 500;

  /** The shortest time for a fetch that is ordered, in milliseconds. */
  private static final long MIN_FETCH_MILLIS = 100;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ReplicaClock clock;
  private final Map<String, Versions> models = new HashMap<>();

  /** The last proof that has not been converted to the replicas' clock, or null. */
  private Moment unconverted;

  /** The last moment at which all requested versions were known, on the replicas' clock. */
  private long provenMillis = NEVER;

  /**
   * A requested version. Immutable and thread-safe.
   *
   * @param notBeforeMillis a moment at which it had not been requested, on the replicas' clock
   * @param seenMillis the monotonic time at which it was first seen, in milliseconds
   */
  private record Requested(long notBeforeMillis, long seenMillis) {}

  /** The requested versions of a model. */
  private static final class Versions {
    private final NavigableMap<Integer, Requested> requested = new TreeMap<>();

    /** The oldest version whose parts are kept. */
    private int oldestKept;
  }

  private PartTerms(ReplicaClock clock) {
    this.clock = clock;
  }

  /**
   * Creates terms without any proof, under which nothing is fetched.
   *
   * @param clock the clock that replicas and stores share
   * @return the terms
   */
  public static PartTerms of(ReplicaClock clock) {
    return new PartTerms(clock);
  }

  /**
   * Records that a version is known to be requested. Must come before the confirmation of the state
   * that contains it.
   *
   * @param model the name of the model
   * @param version the version
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void requested(String model, int version, long nowMillis) {
    Versions versions = models.computeIfAbsent(model, name -> new Versions());
    if (versions.requested.isEmpty() || version > versions.requested.lastKey()) {
      versions.requested.put(version, new Requested(provenMillis, nowMillis));
    }
  }

  /**
   * Records that all requested versions are known.
   *
   * @param proven a moment at which no other version had been requested
   * @param now the current moment
   */
  public void confirmed(Moment proven, Moment now) {
    unconverted = proven;
    convert(now);
  }

  /**
   * Converts the last proof if the replicas' clock was not known when it was recorded.
   *
   * @param now the current moment
   */
  public void convert(Moment now) {
    if (unconverted == null) {
      return;
    }
    long localMillis = now.monotonicMillis() - unconverted.ageMillis(now);
    OptionalLong converted = clock.at(localMillis, now.monotonicMillis());
    if (converted.isPresent()) {
      provenMillis = Math.max(provenMillis, converted.getAsLong());
      unconverted = null;
    }
  }

  /**
   * Returns when a fetch of parts of a version must have ended.
   *
   * @param model the name of the model
   * @param version the version of the weights that the parts were computed with
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the time on the replicas' clock, or empty if no fetch may begin
   */
  public OptionalLong fetchUntil(String model, int version, long nowMillis) {
    long notBefore = provenMillis;
    Versions versions = models.get(model);
    if (versions != null) {
      if (version < versions.oldestKept) {
        return OptionalLong.empty();
      }
      Map.Entry<Integer, Requested> newer = versions.requested.higherEntry(version);
      notBefore = newer == null ? provenMillis : newer.getValue().notBeforeMillis();
    }
    long until = notBefore + TERM_MILLIS;
    OptionalLong clockNow = clock.at(nowMillis, nowMillis);
    return clockNow.isPresent() && clockNow.getAsLong() + MIN_FETCH_MILLIS <= until
        ? OptionalLong.of(until)
        : OptionalLong.empty();
  }

  @Override
  public boolean mayFetch(String model, int version, long nowMillis) {
    return fetchUntil(model, version, nowMillis).isPresent();
  }

  /**
   * Returns the oldest version of a model whose parts must be kept.
   *
   * @param model the name of the model
   * @param delayMillis the time for which parts are kept in addition, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the version; parts of older ones may be freed
   */
  public int oldestKept(String model, long delayMillis, long nowMillis) {
    Versions versions = models.get(model);
    if (versions == null) {
      return 0;
    }
    long latestSeen = nowMillis - TERM_MILLIS - MARGIN_MILLIS - delayMillis;
    int oldest = versions.oldestKept;
    for (Map.Entry<Integer, Requested> entry : versions.requested.entrySet()) {
      if (entry.getValue().seenMillis() <= latestSeen) {
        oldest = Math.max(oldest, entry.getKey());
      }
    }
    versions.oldestKept = oldest;
    versions.requested.headMap(oldest, false).clear();
    return oldest;
  }
}
