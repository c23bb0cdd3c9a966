package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Clock;
import org.bulrushpier.Customer;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.limit.Admission;
import org.bulrushpier.limit.JointDemand;
import org.bulrushpier.limit.Permit;
import org.bulrushpier.limit.Shares;
import org.bulrushpier.peer.PeerMessage;
import org.bulrushpier.peer.PeerTable;
import org.bulrushpier.settings.Settings;

/**
 * Admits requests within the configured limits and adjusts this entry's shares of the limits to the
 * demand at its peers.
 *
 * <p>Thread-safe.
 */
final class AdmissionController {

  private static final double DEMAND_SMOOTHING = 0.4;

  /** The demand below which a customer is no longer tracked, in the unit of measureDemand. */
  private static final double MIN_DEMAND = 0.05;

  private final Clock clock;
  private final SettingsManager settingsManager;
  private final Admission admission;
  private final Map<String, Double> demand = new HashMap<>();
  private final JointDemand jointDemand = new JointDemand();

  AdmissionController(Clock clock, SettingsManager settingsManager) {
    this.clock = clock;
    this.settingsManager = settingsManager;
    this.admission = Admission.of(settingsManager.settings(), clock);
  }

  /** Waits for a permit until a deadline. */
  Permit acquire(Customer customer, long deadlineMillis) {
    CompletableFuture<Permit> permit = admission.request(customer, deadlineMillis);
    try {
      return permit.get(Math.max(1, deadlineMillis - clock.millis()), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return withdrawOrTake(customer, permit);
    } catch (ExecutionException e) {
      throw e.getCause() instanceof BulrushpierException refusal
          ? refusal
          : new IllegalStateException(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      admission.withdraw(permit);
      throw BulrushpierException.notRun(ErrorCode.LEAVING, "entry: shutting down");
    }
  }

  /** Withdraws a request at its deadline, unless its permit was granted in the meantime. */
  private Permit withdrawOrTake(Customer customer, CompletableFuture<Permit> permit) {
    if (!admission.withdraw(permit)) {
      return permit.join();
    }
    String message = customer.id() + ": no permit became free before the deadline";
    throw BulrushpierException.notRun(ErrorCode.DEADLINE, message);
  }

  void release(Permit permit) {
    admission.release(permit);
  }

  int inFlight() {
    return admission.inFlight();
  }

  /**
   * Measures this entry's demand and returns it for the heartbeat; called once per heartbeat. The
   * demand of a customer is the smoothed sum of the requests that arrived since the last heartbeat
   * and the requests in flight.
   */
  synchronized List<PeerMessage.Demand> measureDemand() {
    Map<String, Double> latest = new HashMap<>();
    for (Admission.Demand measured : admission.drainDemand()) {
      latest.put(measured.customer(), (double) measured.arrived() + measured.inFlight());
    }
    latest.keySet().forEach(id -> demand.putIfAbsent(id, 0.0));
    demand.replaceAll((id, old) -> old + DEMAND_SMOOTHING * (latest.getOrDefault(id, 0.0) - old));
    demand.values().removeIf(value -> value < MIN_DEMAND);
    return demand.entrySet().stream()
        .map(e -> new PeerMessage.Demand(hash(e.getKey()), toTenths(e.getValue()), 0))
        .toList();
  }

  /**
   * Applies the current settings and recomputes the shares. An unreachable peer may be partitioned
   * from this entry and still serve requests, so it keeps the share of its last reported demand
   * until the platform's instance list drops it.
   */
  synchronized void updateShares(List<PeerTable.PeerSnapshot> peers) {
    Settings settings = settingsManager.settings();
    Map<Integer, String> ids = new HashMap<>();
    settings.customers().values().forEach(c -> ids.put(hash(c.id()), c.id()));
    List<Map<String, Double>> live = new ArrayList<>();
    List<Map<String, Double>> unreachable = new ArrayList<>();
    for (PeerTable.PeerSnapshot peer : peers) {
      if (!peer.isLeaving()) {
        (peer.isLive() ? live : unreachable).add(demands(peer, ids));
      }
    }
    boolean isComplete =
        unreachable.isEmpty() && peers.stream().allMatch(PeerTable.PeerSnapshot::isOnTime);
    jointDemand.update(demand, live, isComplete);
    admission.update(settings, Shares.of(demand, live, unreachable, jointDemand.demand()));
  }

  private static Map<String, Double> demands(
      PeerTable.PeerSnapshot peer, Map<Integer, String> ids) {
    Map<String, Double> demands = new HashMap<>();
    for (PeerMessage.Demand reported : peer.demands()) {
      String id = ids.get(reported.customer());
      if (id != null) {
        demands.put(id, reported.requestsPerSecond() / 10.0);
      }
    }
    return demands;
  }

  private static int hash(String id) {
    return (int) org.bulrushpier.Hash.hash64(id);
  }

  /** Converts a demand to the unit of the heartbeat, tenths of a request. */
  private static int toTenths(double value) {
    return (int) Math.max(1, Math.round(value * 10));
  }
}
