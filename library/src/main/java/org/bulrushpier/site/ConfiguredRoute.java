package org.bulrushpier.site;

import java.util.List;

/**
 * One route of the operators' configuration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the route's name
 * @param host the host that callers name
 * @param pathPrefix how paths begin, with a slash at both ends
 * @param kind what its calls promise
 * @param isResumable whether another upstream may continue a stream after a given event
 * @param timeoutMillis the longest time a caller is kept waiting
 * @param goalMillis the time to the answer, or to a stream's first event, that callers expect
 * @param gapMillis the longest pause between events that callers expect, or 0
 * @param priority the rank, 0 being the most urgent
 * @param backends the services that share its calls
 * @param maxSends how many upstreams one call may be sent to
 * @param isPublic whether callers need no key
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
    int maxSends,
    boolean isPublic) {

  /** Copies the list. */
  public ConfiguredRoute {
    backends = List.copyOf(backends);
  }

  /**
   * A service with its share of a route. Immutable and thread-safe.
   *
   * @param service the service's name
   * @param weight its weight relative to the other back ends
   */
  public record Backend(String service, double weight) {}

  /**
   * Tells whether a call may run more than once.
   *
   * @return true for idempotent calls and streams that may be resumed
   */
  public boolean isRepeatable() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable);
  }

  /**
   * Chooses a service by weight.
   *
   * @param fraction a random number from 0 to below 1
   * @return the service's name, or an empty text if the route has none
   */
  public String service(double fraction) {
    double total = backends.stream().mapToDouble(Backend::weight).sum();
    double left = fraction * total;
    String last = "";
    for (Backend backend : backends) {
      if (backend.weight() <= 0) {
        continue;
      }
      last = backend.service();
      left -= backend.weight();
      if (left < 0) {
        break;
      }
    }
    return last;
  }
}
