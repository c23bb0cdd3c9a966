package org.bulrushpier.site;

import java.util.List;
import org.bulrushpier.Address;

/**
 * A service of the operators' configuration.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface Service {

  /**
   * Returns the service's name.
   *
   * @return the name
   */
  String name();

  /**
   * A service without a model.
   *
   * @param name the name
   * @param maxConnections connections that each upstream accepts from all callers
   */
  record Plain(String name, int maxConnections) implements Service {}

  /**
   * A service of model engines.
   *
   * @param name the name
   * @param maxConnections connections that each engine accepts from all callers
   * @param slots requests that an engine runs at once
   * @param memoryTokens tokens that fit into an engine's cache memory
   * @param bytesPerToken the cache memory of a token
   * @param linkMbps an engine's link for cache parts, in Mbit/s
   * @param isManaged whether cache parts may be fetched and saved one by one
   * @param models the models that its engines serve
   */
  record Engines(
      String name,
      int maxConnections,
      int slots,
      long memoryTokens,
      long bytesPerToken,
      double linkMbps,
      boolean isManaged,
      List<String> models)
      implements Service {
    /** Copies the list. */
    public Engines {
      models = List.copyOf(models);
    }
  }

  /**
   * A store of cache parts.
   *
   * @param name the name
   * @param address its address
   * @param domain its failure domain
   * @param memoryTokens tokens that fit
   * @param linkMbps its link, in Mbit/s
   * @param firstMillis what each transfer waits besides, in milliseconds
   * @param isManaged whether it keeps every part until told to free it
   */
  record CacheStore(
      String name,
      Address address,
      String domain,
      long memoryTokens,
      double linkMbps,
      double firstMillis,
      boolean isManaged)
      implements Service {}
}
