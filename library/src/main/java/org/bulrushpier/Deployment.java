package org.bulrushpier;

/**
 * A model that is offered to the customers of a team in a given weight version.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name that callers specify as the model
 * @param team the path of the team's subtree
 * @param model the model that engines must serve
 * @param weightVersion the version of the weights that new requests must use
 * @param prices the cost factors with which routing weighs delay against recomputation and link use
 * @param deadlineMillis the time allowed from arrival to the first token
 */
public record Deployment(
    String name,
    String team,
    String model,
    String weightVersion,
    Prices prices,
    long deadlineMillis) {

  /**
   * The cost factors that convert recomputed tokens and bytes transferred over links to
   * milliseconds of delay.
   *
   * @param millisPerRecomputedToken milliseconds per recomputed prompt token
   * @param millisPerLinkMegabyte milliseconds per million bytes transferred over a store's link
   */
  public record Prices(double millisPerRecomputedToken, double millisPerLinkMegabyte) {}
}
