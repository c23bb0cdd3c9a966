package org.bulrushpier.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushpier.Moment;

/**
 * The newest weight version of each model that operators have requested.
 *
 * <p>Invariant: the target version of a model never decreases.
 *
 * <p>Not thread-safe.
 */
public final class WantedWeights {

  /**
   * The number of previous versions kept: more than operators request within the time allowed for a
   * change.
   */
  private static final int MAX_PREVIOUS_VERSIONS = 16;

  private final Map<String, Named> targets = new HashMap<>();

  /**
   * A requested version. Immutable and thread-safe.
   *
   * @param version the version
   * @param since a moment at which the request for the version was not yet known
   * @param before the version requested before it, if known
   */
  public record Named(int version, Moment since, Optional<Named> before) {

    /**
     * Creates a version without a known predecessor.
     *
     * @param version the version
     * @param since a moment at which the request for the version was not yet known
     */
    public Named(int version, Moment since) {
      this(version, since, Optional.empty());
    }

    /**
     * Returns the moment from which a served version counts as outdated. Another version requested
     * while an engine is still outdated does not give the engine more time.
     *
     * @param served the version that an engine serves, older than this one
     * @return the moment of the first known version that is newer than the served one
     */
    public Moment outdatedSince(int served) {
      Named first = this;
      while (first.before().isPresent() && first.before().get().version() > served) {
        first = first.before().get();
      }
      return first.since();
    }

    private Named withPrevious(Optional<Named> known, int length) {
      Optional<Named> limited =
          length == 0 ? Optional.empty() : known.map(k -> k.withPrevious(k.before(), length - 1));
      return new Named(version, since, limited);
    }
  }

  /**
   * Records a requested version.
   *
   * @param model the name of the model
   * @param version the version
   * @param since a moment at which the request for the version was not yet known
   * @return true if the version is newer than the known one
   */
  public boolean name(String model, int version, Moment since) {
    Named known = targets.get(model);
    if (known != null && known.version() >= version) {
      return false;
    }
    targets.put(
        model,
        new Named(version, since).withPrevious(Optional.ofNullable(known), MAX_PREVIOUS_VERSIONS));
    return true;
  }

  /**
   * Returns the target version of a model.
   *
   * @param model the name of the model
   * @return the version, or version 0 if none was requested
   */
  public Named wanted(String model) {
    return targets.getOrDefault(model, new Named(0, new Moment(0, 0)));
  }

  /** Returns the models for which a version was requested. */
  public Set<String> models() {
    return targets.keySet();
  }
}
