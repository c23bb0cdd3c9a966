package org.bulrushpier;

/**
 * A back end to which entries send requests: a model engine, a plain service or a cache store.
 *
 * <p>The kinds can be distinguished with a pattern switch:
 *
 * <pre>{@code
 * switch (upstream) {
 *   case Upstream.Engine engine -> engine.model();
 *   case Upstream.Service service -> service.service();
 *   case Upstream.Store store -> store.linkBytesPerSecond();
 * }
 * }</pre>
 *
 * <p>All kinds are immutable and thread-safe. Names are unique in the site.
 */
public sealed interface Upstream {

  /**
   * Returns the name of the instance.
   *
   * @return the name, never null
   */
  String name();

  /**
   * Returns the address on which the instance listens.
   *
   * @return the address, never null
   */
  Address address();

  /**
   * Returns the failure domain of the instance.
   *
   * @return the name of the domain, never null
   */
  String domain();

  /**
   * A replica of a model engine.
   *
   * @param name the name of the instance
   * @param address the address on which it listens
   * @param domain the name of its failure domain
   * @param model the model it serves
   * @param checksFencing true if it rejects orders with an outdated fencing token
   * @param prefillTokensPerSecond the number of prompt tokens it processes per second when idle
   */
  record Engine(
      String name,
      Address address,
      String domain,
      String model,
      boolean checksFencing,
      long prefillTokensPerSecond)
      implements Upstream {}

  /**
   * A replica of a plain service.
   *
   * @param name the name of the instance
   * @param address the address on which it listens
   * @param domain the name of its failure domain
   * @param service the service it belongs to
   */
  record Service(String name, Address address, String domain, String service) implements Upstream {}

  /**
   * A cache store instance.
   *
   * @param name the name of the instance
   * @param address the address on which it listens
   * @param domain the name of its failure domain
   * @param linkBytesPerSecond the bandwidth budget of its link
   */
  record Store(String name, Address address, String domain, long linkBytesPerSecond)
      implements Upstream {}
}
