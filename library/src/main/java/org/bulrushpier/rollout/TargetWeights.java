package org.bulrushpier.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushpier.Moment;

/**
 * The newest weight version of each model that operators have requested, and when each was
 * requested.
 *
 * <p>Invariants: the target version of a model never decreases, and what is known about the time of
 * a request only becomes more precise.
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
  private boolean isListed;

  /**
   * A requested version. Immutable and thread-safe.
   *
   * @param version the version
   * @param requested when it was requested
   * @param previous the version requested before it, if known
   */
  public record TargetVersion(
      int version, RequestInterval requested, Optional<TargetVersion> previous) {

    /**
     * Creates a version without a known predecessor.
     *
     * @param version the version
     * @param requested when it was requested
     */
    public TargetVersion(int version, RequestInterval requested) {
      this(version, requested, Optional.empty());
    }

    /**
     * Returns when a served version became outdated. Another version requested while an engine is
     * still outdated does not give the engine more time.
     *
     * @param served the version that an engine serves, older than this one
     * @return the request for the first known version that is newer than the served one
     */
    public RequestInterval outdatedBy(int served) {
      TargetVersion first = this;
      while (first.previous().isPresent() && first.previous().get().version() > served) {
        first = first.previous().get();
      }
      return first.requested();
    }

    /** Returns this version and the ones before it, the newest first. */
    public List<TargetVersion> withPrevious() {
      List<TargetVersion> versions = new ArrayList<>();
      for (Optional<TargetVersion> next = Optional.of(this);
          next.isPresent();
          next = next.get().previous()) {
        versions.add(next.get());
      }
      return versions;
    }
  }

  /**
   * Records a version that was found to be requested. It has no effect on a known version, whose
   * request the new observation cannot date.
   *
   * @param model the name of the model
   * @param version the version
   * @param requested when it was requested
   * @return true if the version is newer than the known one
   */
  public boolean update(String model, int version, RequestInterval requested) {
    TargetVersion known = targets.get(model);
    if (known != null && known.version() >= version) {
      return false;
    }
    put(model, new TargetVersion(version, requested, Optional.ofNullable(known)).withPrevious());
    return true;
  }

  /**
   * Combines what another instance knows about the request for a version with what is known. The
   * version may be one that was requested before the target version and is not known here.
   *
   * @param model the name of the model
   * @param version the version
   * @param requested when it was requested according to the other instance
   * @param now the current moment
   */
  public void refine(String model, int version, RequestInterval requested, Moment now) {
    List<TargetVersion> versions = new ArrayList<>();
    RequestInterval combined = requested;
    if (targets.containsKey(model)) {
      for (TargetVersion known : targets.get(model).withPrevious()) {
        if (known.version() == version) {
          combined = known.requested().intersect(requested, now);
        } else {
          versions.add(known);
        }
      }
    }
    versions.add(new TargetVersion(version, combined));
    put(model, versions);
  }

  /** Links the newest of the versions to those before it. */
  private void put(String model, List<TargetVersion> versions) {
    List<TargetVersion> newestFirst =
        versions.stream()
            .sorted(Comparator.comparingInt(TargetVersion::version).reversed())
            .limit(MAX_PREVIOUS_VERSIONS + 1)
            .toList();
    Optional<TargetVersion> linked = Optional.empty();
    for (TargetVersion next : newestFirst.reversed()) {
      linked = Optional.of(new TargetVersion(next.version(), next.requested(), linked));
    }
    targets.put(model, linked.orElseThrow());
  }

  /**
   * Returns the target version of a model.
   *
   * @param model the name of the model
   * @return the version, or version 0 if none was requested
   */
  public TargetVersion target(String model) {
    return targets.getOrDefault(
        model, new TargetVersion(0, RequestInterval.before(Moment.DISTANT_PAST)));
  }

  /** Returns the models for which a version was requested. */
  public Set<String> models() {
    return targets.keySet();
  }

  /** Records that the requested versions of all models have been read once. */
  public void markListed() {
    isListed = true;
  }

  /** Returns whether the requested versions of all models have been read since the start. */
  public boolean isListed() {
    return isListed;
  }
}
