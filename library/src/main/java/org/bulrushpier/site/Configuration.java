package org.bulrushpier.site;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' configuration.
 *
 * <pre>{@code
 * Optional<ConfiguredRoute> route = configuration.route("lima.example", "/notes/7");
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 */
public final class Configuration {

  private final long version;
  private final Map<String, List<ConfiguredRoute>> routesByHost = new HashMap<>();
  private final Map<String, Service> services;
  private final Map<String, KeyHolder> holders;
  private final CacheNamespaces cacheNamespaces;
  private final CallerLimits limits;

  private Configuration(
      long version,
      List<ConfiguredRoute> routes,
      Map<String, Service> services,
      Map<String, KeyHolder> holders,
      CacheNamespaces cacheNamespaces,
      CallerLimits limits) {
    this.version = version;
    this.services = Map.copyOf(services);
    this.holders = Map.copyOf(holders);
    this.cacheNamespaces = cacheNamespaces;
    this.limits = limits;
    for (ConfiguredRoute route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<ConfiguredRoute> longestFirst =
        Comparator.comparingInt(route -> -route.pathPrefix().length());
    routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
  }

  /**
   * Creates a configuration.
   *
   * @param version the version, which increases with each change
   * @param routes the routes
   * @param services the services by name
   * @param holders the holders of API keys by key
   * @param cacheNamespaces the namespaces of cached prompt parts
   * @param limits the limits on callers' requests
   * @return the configuration
   */
  public static Configuration of(
      long version,
      List<ConfiguredRoute> routes,
      Map<String, Service> services,
      Map<String, KeyHolder> holders,
      CacheNamespaces cacheNamespaces,
      CallerLimits limits) {
    return new Configuration(version, routes, services, holders, cacheNamespaces, limits);
  }

  /** Returns the version, which increases with each change. */
  public long version() {
    return version;
  }

  /**
   * Finds the route of a request: the one with the longest matching path prefix among the routes of
   * the host.
   *
   * @param host the host named by the caller
   * @param path the path without the query
   * @return the route, or empty if none matches
   */
  public Optional<ConfiguredRoute> route(String host, String path) {
    for (ConfiguredRoute route : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Finds a service by name.
   *
   * @param name the name of the service
   * @return the service, or empty if there is none
   */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services by name. */
  public Map<String, Service> services() {
    return services;
  }

  /**
   * Finds the customer that holds an API key.
   *
   * @param key the key
   * @return the holder, or empty if the key is unknown
   */
  public Optional<KeyHolder> holder(String key) {
    return Optional.ofNullable(holders.get(key));
  }

  /** Returns the namespaces within which customers share cached prompt parts. */
  public CacheNamespaces cacheNamespaces() {
    return cacheNamespaces;
  }

  /** Returns the limits on callers' requests. */
  public CallerLimits limits() {
    return limits;
  }
}
