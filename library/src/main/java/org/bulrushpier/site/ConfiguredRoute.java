package org.bulrushpier.site;

import java.util.List;

/**
 * A route of the operators' configuration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host named by callers
 * @param pathPrefix the prefix of its paths, with a leading and a trailing slash
 * @param kind the execution guarantee of its requests
 * @param isResumable whether another upstream may resume a stream after a given event
 * @param timeoutMillis the maximum time for which a caller is kept waiting, in milliseconds
 * @param goalMillis the time within which callers expect the response, or the first event of a
 *     stream, in milliseconds
 * @param gapMillis the longest pause between events that callers expect, in milliseconds, or 0
 * @param priority the priority, 0 being the most urgent
 * @param backends the services that share its requests
 * @param maxAttempts the maximum number of upstreams to which one request may be sent
 * @param isPublic whether callers need no API key
 * @param homes the regions in which its requests may run
 */
public record ConfiguredRoute(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    boolean isResumable,
    long timeoutMillis,
    long goalMillis,
    long gapMillis,
    int priority,
    List<Backend> backends,
    int maxAttempts,
    boolean isPublic,
    Homes homes) {

  /** Copies the list. */
  public ConfiguredRoute {
    backends = List.copyOf(backends);
  }

  /**
   * A service and its share of a route. Immutable and thread-safe.
   *
   * @param service the name of the service
   * @param weight its weight relative to the other backends
   */
  public record Backend(String service, double weight) {}

  /**
   * Checks whether a request may be executed more than once.
   *
   * @return true for idempotent requests and resumable streams
   */
  public boolean isRepeatable() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable);
  }

  /**
   * Selects a service by weight.
   *
   * @param fraction a random number from 0 (inclusive) to 1 (exclusive)
   * @return the name of the service, or an empty string if no backend has a positive weight
   */
  public String service(double fraction) {
    double total = backends.stream().mapToDouble(Backend::weight).sum();
    double remaining = fraction * total;
    String last = "";
    for (Backend backend : backends) {
      if (backend.weight() <= 0) {
        continue;
      }
      last = backend.service();
      remaining -= backend.weight();
      if (remaining < 0) {
        break;
      }
    }
    return last;
  }
}
