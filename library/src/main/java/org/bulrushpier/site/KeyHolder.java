package org.bulrushpier.site;

/**
 * The customer that holds an API key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param customer the name of the customer
 * @param priority the customer's priority, which overrides that of the route, or -1 if it has none
 * @param homes the regions in which the customer's requests may run
 */
public record KeyHolder(String customer, int priority, Homes homes) {

  /** The holder used for requests on public routes. */
  public static final KeyHolder ANONYMOUS = new KeyHolder("", -1, Homes.EVERYWHERE);

  /**
   * Returns the priority of a request.
   *
   * @param route the route of the request
   * @return the priority, 0 being the most urgent
   */
  public int effectivePriority(ConfiguredRoute route) {
    return priority >= 0 ? priority : route.priority();
  }
}
