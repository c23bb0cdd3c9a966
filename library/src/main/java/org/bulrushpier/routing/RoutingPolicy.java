package org.bulrushpier.routing;

import java.util.Locale;

/**
 * A policy for the selection of an engine. All policies except {@link LeastCost} serve as baselines
 * for measurements.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface RoutingPolicy {

  /**
   * Returns the policy with a given name.
   *
   * @param name one of least-cost, round-robin, least-load, consistent-hash, prefix-affinity
   * @return the policy
   * @throws IllegalArgumentException if there is no policy with this name
   */
  static RoutingPolicy of(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "least-cost" -> new LeastCost();
      case "round-robin" -> new RoundRobin();
      case "least-load" -> new LeastLoad();
      case "consistent-hash" -> new ConsistentHash();
      case "prefix-affinity" -> new PrefixAffinity();
      default -> throw new IllegalArgumentException("policy: '" + name + "' is unknown");
    };
  }

  /**
   * Checks whether the policy transfers blocks to and from cache stores.
   *
   * @return true if it does
   */
  default boolean usesCacheStores() {
    return this instanceof LeastCost;
  }

  /**
   * Selects the engine with the lowest sum of the estimated time to first token and the cost of the
   * work.
   */
  record LeastCost() implements RoutingPolicy {}

  /** Selects the engines in turn. */
  record RoundRobin() implements RoutingPolicy {}

  /**
   * Selects the engine with the lowest load, estimated from its backlog and its running streams.
   */
  record LeastLoad() implements RoutingPolicy {}

  /** Selects the engine to which the conversation hashes. */
  record ConsistentHash() implements RoutingPolicy {}

  /**
   * Selects the engine that last served the conversation, otherwise the one with the lowest load.
   */
  record PrefixAffinity() implements RoutingPolicy {}
}
