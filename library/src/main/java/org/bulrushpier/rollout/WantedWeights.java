package org.bulrushpier.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushpier.Moment;

/**
 * The newest version of each model's weights that operators have named.
 *
 * <p>Invariant: a version never goes down. Not thread-safe.
 */
public final class WantedWeights {

  /** Versions remembered: more than are named within the time that a change may take. */
  private static final int HISTORY = 16;

  private final Map<String, Named> named = new HashMap<>();

  /**
   * A named version. Immutable and thread-safe.
   *
   * @param version the version
   * @param since a moment at which it was not yet known to be named
   * @param before the version that was named before it, if that was seen
   */
  public record Named(int version, Moment since, Optional<Named> before) {

    /**
     * Creates a version before which none was seen.
     *
     * @param version the version
     * @param since a moment at which it was not yet known to be named
     */
    public Named(int version, Moment since) {
      this(version, since, Optional.empty());
    }

    /**
     * Returns since when a served version has been out of date. A further version that is named
     * while an engine is behind gives it no more time.
     *
     * @param served the version that an engine serves, older than this one
     * @return the moment that belongs to the first version seen that is newer
     */
    public Moment outdatedSince(int served) {
      Named first = this;
      while (first.before().isPresent() && first.before().get().version() > served) {
        first = first.before().get();
      }
      return first.since();
    }

    private Named withBefore(Optional<Named> known, int length) {
      Optional<Named> kept =
          length == 0 ? Optional.empty() : known.map(k -> k.withBefore(k.before(), length - 1));
      return new Named(version, since, kept);
    }
  }

  /**
   * Takes note of a version.
   *
   * @param model the model
   * @param version the version
   * @param since a moment at which it was not yet known to be named
   * @return true if it is newer than the one known
   */
  public boolean name(String model, int version, Moment since) {
    Named known = named.get(model);
    if (known != null && known.version() >= version) {
      return false;
    }
    named.put(model, new Named(version, since).withBefore(Optional.ofNullable(known), HISTORY));
    return true;
  }

  /**
   * Returns the version wanted of a model.
   *
   * @param model the model
   * @return the version, 0 if none was named
   */
  public Named wanted(String model) {
    return named.getOrDefault(model, new Named(0, new Moment(0, 0)));
  }

  /**
   * Returns the models of which a version was named.
   *
   * @return the models
   */
  public Set<String> models() {
    return named.keySet();
  }
}
