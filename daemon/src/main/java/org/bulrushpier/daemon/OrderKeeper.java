package org.bulrushpier.daemon;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import org.bulrushpier.Upstream;
import org.bulrushpier.daemon.http.CallFailed;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.order.OrderFence;
import org.bulrushpier.order.OrderPlan;
import org.bulrushpier.platform.ObjectApi;
import org.bulrushpier.platform.PlatformUnavailable;
import org.bulrushpier.settings.Settings;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders engines to load the weight versions that the settings want.
 *
 * <p>One live entry acts for each model, picked by rendezvous hashing; the hold at the platform
 * fences it. Loads are staggered. Safety never rests on orders: requests carry the wanted version
 * and check what answered. Thread-safe.
 */
final class OrderKeeper {

  private static final Logger log = LoggerFactory.getLogger("order");
  private static final long LOAD_MILLIS = 30_000;
  private static final int LOADS_AT_ONCE = 2;

  private final String self;
  private final HttpCaller caller;
  private final ObjectApi api;
  private final SettingsKeeper keeper;
  private final Peers peers;
  private final UpstreamTable upstreams;
  private final Timeline timeline;
  private final Map<String, OrderFence> holds = new ConcurrentHashMap<>();
  private final Map<String, String> loading = new ConcurrentHashMap<>();
  private final Semaphore loads = new Semaphore(LOADS_AT_ONCE);

  OrderKeeper(
      String self,
      HttpCaller caller,
      ObjectApi api,
      SettingsKeeper keeper,
      Peers peers,
      UpstreamTable upstreams,
      Timeline timeline) {
    this.self = self;
    this.caller = caller;
    this.api = api;
    this.keeper = keeper;
    this.peers = peers;
    this.upstreams = upstreams;
    this.timeline = timeline;
  }

  /** An order as engines take it. */
  record Order(long fence, String weightVersion) {}

  /** Compares what engines serve with what the settings want; called now and then. */
  void reconcile() {
    Settings settings = keeper.settings();
    for (String model : OrderPlan.models(settings)) {
      if (peers.owner("orders-" + model).equals(self)) {
        reconcile(OrderPlan.of(model, settings));
      }
    }
  }

  private void reconcile(OrderPlan plan) {
    List<OrderPlan.Assignment> behind = plan.assignments().stream().filter(this::isBehind).toList();
    if (behind.isEmpty()) {
      return;
    }
    try {
      OrderFence hold =
          holds.computeIfAbsent(plan.model(), model -> OrderFence.of(model, self, api));
      Optional<Long> fence = hold.acquire(plan);
      fence.ifPresent(number -> behind.forEach(line -> order(line, number)));
    } catch (PlatformUnavailable e) {
      log.warn("order: no new orders for {}: {}", plan.model(), e.getMessage());
    }
  }

  private boolean isBehind(OrderPlan.Assignment line) {
    return upstreams
        .state(line.engine().name())
        .map(state -> state.load().weightVersion())
        .filter(version -> !version.isEmpty())
        .map(version -> !version.equals(line.weightVersion()))
        .orElse(false);
  }

  private void order(OrderPlan.Assignment line, long fence) {
    String engine = line.engine().name();
    if (loads.tryAcquire()) {
      if (loading.putIfAbsent(engine, line.weightVersion()) != null) {
        loads.release();
        return;
      }
      Thread.ofVirtual().name("order-" + engine).start(() -> load(line, fence));
    }
  }

  private void load(OrderPlan.Assignment line, long fence) {
    Upstream.Engine engine = line.engine();
    timeline.add("order", engine.name(), "load " + line.weightVersion() + ", fence " + fence);
    try {
      OutCall call =
          OutCall.of("POST", engine.address(), "/orders")
              .withJson(new Order(fence, line.weightVersion()))
              .withTimeout(LOAD_MILLIS);
      Reply reply = caller.call(call);
      log.info(
          "order: {} load {} with fence {}: {}.",
          engine.name(),
          line.weightVersion(),
          fence,
          reply.isOk() ? "done" : "refused, " + reply.status());
    } catch (CallFailed e) {
      log.warn("order: {} failed: {}", engine.name(), e.getMessage());
    } finally {
      loading.remove(engine.name());
      loads.release();
    }
  }
}
