package org.bulrushpier;

/**
 * A customer of one team.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the customer's name, unique in its team
 * @param team the path of the team's subtree
 * @param keySha256 the SHA-256 of the API key that its callers present
 * @param limits the customer's limits
 * @param weight its relative weight in fair queueing, at least 1
 * @param priority its priority, 0 (lowest) to 9
 */
public record Customer(
    String name, String team, String keySha256, Limits limits, int weight, int priority) {

  /**
   * Returns the identifier of the customer, which is unique in the site.
   *
   * @return the team's path, a slash and the customer's name
   */
  public String id() {
    return team + "/" + name;
  }
}
