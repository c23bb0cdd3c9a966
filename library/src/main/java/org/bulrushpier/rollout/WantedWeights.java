package org.bulrushpier.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.bulrushpier.Moment;

/**
 * The newest version of each model's weights that operators have named.
 *
 * <p>Invariant: a version never goes down. Not thread-safe.
 */
public final class WantedWeights {

  private final Map<String, Named> named = new HashMap<>();

  /**
   * A named version. Immutable and thread-safe.
   *
   * @param version the version
   * @param since a moment at which it was not yet known to be named
   */
  public record Named(int version, Moment since) {}

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
    named.put(model, new Named(version, since));
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
