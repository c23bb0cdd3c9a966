package org.bulrushpier.daemon;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import org.bulrushpier.Upstream;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.order.OrderFence;
import org.bulrushpier.order.OrderPlan;
import org.bulrushpier.platform.ObjectApi;
import org.bulrushpier.platform.PlatformUnavailableException;
import org.bulrushpier.settings.Settings;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders engines to load the weight versions that the settings require.
 *
 * <p>For each model, one live entry, chosen by rendezvous hashing, sends the orders. Orders carry a
 * fencing token from the platform, so that engines can reject those of a former sender. Loads are
 * staggered. Correctness does not depend on orders, since every request names the required version
 * and the version of the response is checked. Thread-safe.
 */
final class WeightOrderReconciler {

  private static final Logger log = LoggerFactory.getLogger("order");
  private static final long LOAD_TIMEOUT_MILLIS = 30_000;
  private static final int MAX_CONCURRENT_LOADS = 2;

  private final String self;
  private final HttpCaller caller;
  private final ObjectApi api;
  private final SettingsManager settingsManager;
  private final Peers peers;
  private final UpstreamTable upstreams;
  private final Timeline timeline;
  private final Map<String, OrderFence> orderFences = new ConcurrentHashMap<>();
  private final Map<String, String> loadsInProgress = new ConcurrentHashMap<>();
  private final Semaphore loadPermits = new Semaphore(MAX_CONCURRENT_LOADS);

  WeightOrderReconciler(
      String self,
      HttpCaller caller,
      ObjectApi api,
      SettingsManager settingsManager,
      Peers peers,
      UpstreamTable upstreams,
      Timeline timeline) {
    this.self = self;
    this.caller = caller;
    this.api = api;
    this.settingsManager = settingsManager;
    this.peers = peers;
    this.upstreams = upstreams;
    this.timeline = timeline;
  }

  /** An order in the form that engines accept. */
  record Order(long fence, String weightVersion) {}

  /**
   * Orders loads on the engines that do not serve the version in the settings; called periodically.
   */
  void reconcile() {
    Settings settings = settingsManager.settings();
    for (String model : OrderPlan.models(settings)) {
      if (peers.owner("orders-" + model).equals(self)) {
        reconcile(OrderPlan.of(model, settings));
      }
    }
  }

  private void reconcile(OrderPlan plan) {
    List<OrderPlan.Assignment> outdated =
        plan.assignments().stream().filter(this::isOutdated).toList();
    if (outdated.isEmpty()) {
      return;
    }
    try {
      OrderFence orderFence =
          orderFences.computeIfAbsent(plan.model(), model -> OrderFence.of(model, self, api));
      Optional<Long> fence = orderFence.acquire(plan);
      fence.ifPresent(number -> outdated.forEach(assignment -> startLoad(assignment, number)));
    } catch (PlatformUnavailableException e) {
      log.warn("order: cannot issue orders for model {}: {}", plan.model(), e.getMessage());
    }
  }

  private boolean isOutdated(OrderPlan.Assignment assignment) {
    return upstreams
        .state(assignment.engine().name())
        .map(state -> state.load().weightVersion())
        .filter(version -> !version.isEmpty())
        .map(version -> !version.equals(assignment.weightVersion()))
        .orElse(false);
  }

  private void startLoad(OrderPlan.Assignment assignment, long fence) {
    String engine = assignment.engine().name();
    if (loadPermits.tryAcquire()) {
      if (loadsInProgress.putIfAbsent(engine, assignment.weightVersion()) != null) {
        loadPermits.release();
        return;
      }
      Thread.ofVirtual().name("order-" + engine).start(() -> load(assignment, fence));
    }
  }

  private void load(OrderPlan.Assignment assignment, long fence) {
    Upstream.Engine engine = assignment.engine();
    timeline.add("order", engine.name(), "load " + assignment.weightVersion() + ", fence " + fence);
    try {
      OutgoingCall call =
          OutgoingCall.of("POST", engine.address(), "/orders")
              .withJson(new Order(fence, assignment.weightVersion()))
              .withTimeout(LOAD_TIMEOUT_MILLIS);
      Reply reply = caller.call(call);
      log.info(
          "order: {} load {} with fence {}: {}",
          engine.name(),
          assignment.weightVersion(),
          fence,
          reply.isOk() ? "done" : "rejected with status " + reply.status());
    } catch (CallFailedException e) {
      log.warn("order: {} load failed: {}", engine.name(), e.getMessage());
    } finally {
      loadsInProgress.remove(engine.name());
      loadPermits.release();
    }
  }
}
