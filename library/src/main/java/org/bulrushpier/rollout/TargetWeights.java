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
public final class TargetWeights {

  /**
   * The number of previous versions kept: more than operators request within the time allowed for a
   * change.
   */
  private static final int MAX_PREVIOUS_VERSIONS = 16;

  private final Map<String, TargetVersion> targets = new HashMap<>();

  /**
   * A requested version. Immutable and thread-safe.
   *
   * @param version the version
   * @param since a moment at which the request for the version was not yet known
   * @param previous the version requested before it, if known
   */
  public record TargetVersion(int version, Moment since, Optional<TargetVersion> previous) {

    /**
     * Creates a version without a known predecessor.
     *
     * @param version the version
     * @param since a moment at which the request for the version was not yet known
     */
    public TargetVersion(int version, Moment since) {
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
      TargetVersion first = this;
      while (first.previous().isPresent() && first.previous().get().version() > served) {
        first = first.previous().get();
      }
      return first.since();
    }

    private TargetVersion withPrevious(Optional<TargetVersion> known, int length) {
      Optional<TargetVersion> limited =
          length == 0 ? Optional.empty() : known.map(k -> k.withPrevious(k.previous(), length - 1));
      return new TargetVersion(version, since, limited);
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
  public boolean update(String model, int version, Moment since) {
    TargetVersion known = targets.get(model);
    if (known != null && known.version() >= version) {
      return false;
    }
    targets.put(
        model,
        new TargetVersion(version, since)
            .withPrevious(Optional.ofNullable(known), MAX_PREVIOUS_VERSIONS));
    return true;
  }

  /**
   * Returns the target version of a model.
   *
   * @param model the name of the model
   * @return the version, or version 0 if none was requested
   */
  public TargetVersion target(String model) {
    return targets.getOrDefault(model, new TargetVersion(0, new Moment(0, 0)));
  }

  /** Returns the models for which a version was requested. */
  public Set<String> models() {
    return targets.keySet();
  }
}
