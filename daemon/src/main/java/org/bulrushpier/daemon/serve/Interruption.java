package org.bulrushpier.daemon.serve;

import org.bulrushpier.call.CallerRequest;
import org.bulrushpier.placing.CallerPatience;
import org.bulrushpier.site.ConfiguredRoute;

/**
 * Whether a request whose run may go on waits for a replica, which it does for as long as its
 * caller waits for the next event. It waits outside the queue, as it may depend on other replicas
 * than the requests there.
 *
 * <p>Guarded by the loop's lock.
 */
final class Interruption {

  private final GatewayContext context;
  private final CallerRequest request;
  private final CallerPatience patience;
  private boolean isUnderWay;

  Interruption(GatewayContext context, CallerRequest request, ConfiguredRoute route) {
    this.context = context;
    this.request = request;
    patience = CallerPatience.of(route.goalMillis(), route.gapMillis());
  }

  boolean isUnderWay() {
    return isUnderWay;
  }

  /** Records that the request has been sent to a replica. */
  void end() {
    isUnderWay = false;
  }

  /**
   * Begins or prolongs the wait.
   *
   * @return whether the caller still waits
   */
  boolean prolong(String reason, long lastEvent, long lastProgressMillis, long nowMillis) {
    if (patience.isExhausted(lastProgressMillis, nowMillis)) {
      return false;
    }
    if (!isUnderWay) {
      isUnderWay = true;
      context
          .log()
          .event(
              "interrupted",
              "request",
              request.id(),
              "lastEvent",
              lastEvent,
              "silentForMs",
              nowMillis - lastProgressMillis,
              "reason",
              reason);
    }
    return true;
  }
}
