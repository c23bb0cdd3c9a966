package org.bulrushpier.site;

/**
 * The customer that holds a key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param customer the customer's name
 * @param priority its rank, which goes before the route's, or -1 if it has none
 * @param isIsolated whether its cached prompts may not be shared with other customers
 */
public record KeyHolder(String customer, int priority, boolean isIsolated) {

  /** The holder of calls on public routes. */
  public static final KeyHolder NOBODY = new KeyHolder("", -1, false);

  /**
   * Returns the rank of a call.
   *
   * @param route the call's route
   * @return the rank, 0 being the most urgent
   */
  public int rank(ConfiguredRoute route) {
    return priority >= 0 ? priority : route.priority();
  }
}
