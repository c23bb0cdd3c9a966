package org.bulrushpier.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Clock;
import org.bulrushpier.Customer;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Limits;
import org.bulrushpier.Team;
import org.bulrushpier.settings.Settings;

/**
 * Admission control by the limits of the site, its teams and their customers.
 *
 * <pre>{@code
 * Permit permit = admission.request(customer, deadline).get();
 * try { ... } finally { admission.release(permit); }
 * }</pre>
 *
 * <p>A request that exceeds a rate limit is rejected immediately. A request that exceeds a
 * concurrency limit waits in its customer's queue. Queued requests are admitted by priority, then
 * by weighted fair queueing. A request that is not expected to be admitted before its deadline is
 * rejected immediately. Rate and concurrency limits are scaled by this entry's share, see {@link
 * Shares}.
 *
 * <p>Invariants: the requests in flight at a node never exceed its scaled limit, except that every
 * node may always run one request; a rejected request is never executed. Thread-safe: a single lock
 * guards all state, no other lock is acquired while it is held, and futures are completed outside
 * it.
 */
public final class Admission {

  private static final double SERVICE_TIME_SMOOTHING = 0.1;
  private static final double DEFAULT_SERVICE_MILLIS = 200;

  private final Clock clock;
  private final Map<String, Node> nodes = new HashMap<>();
  private final List<QueuedRequest> queue = new ArrayList<>();
  private Settings settings;
  private Shares shares = Shares.alone();
  private double virtualTime;
  private double meanServiceMillis = DEFAULT_SERVICE_MILLIS;

  private Admission(Settings settings, Clock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  /**
   * Creates an admission control without requests in flight.
   *
   * @param settings the settings in force
   * @param clock the clock
   * @return the admission control
   */
  public static Admission of(Settings settings, Clock clock) {
    return new Admission(settings, clock);
  }

  /**
   * Applies new settings and shares. Requests in flight keep their permits.
   *
   * @param newSettings the new settings
   * @param newShares the new shares of this entry
   */
  public void update(Settings newSettings, Shares newShares) {
    List<QueuedRequest> admitted;
    synchronized (this) {
      settings = newSettings;
      shares = newShares;
      long now = clock.millis();
      nodes.values().forEach(node -> node.scale(limitsOf(node), share(node), now));
      admitted = admitQueued();
    }
    complete(admitted);
  }

  /**
   * Requests a permit.
   *
   * @param customer the customer
   * @param deadlineMillis the time by which the request must be admitted
   * @return a future that completes with the permit, or exceptionally with a {@link
   *     BulrushpierException} that states that the request was not executed
   */
  public CompletableFuture<Permit> request(Customer customer, long deadlineMillis) {
    QueuedRequest request = new QueuedRequest(customer, deadlineMillis, new CompletableFuture<>());
    List<QueuedRequest> admitted;
    synchronized (this) {
      Node own = node(customer);
      own.arrived++;
      BulrushpierException rejection = rejection(request, own);
      if (rejection != null) {
        return CompletableFuture.failedFuture(rejection);
      }
      for (Node node = own; node != null; node = node.parent) {
        node.bucket.take();
      }
      own.queued++;
      request.virtualFinish =
          Math.max(virtualTime, own.lastVirtualFinish) + 1.0 / customer.weight();
      own.lastVirtualFinish = request.virtualFinish;
      queue.add(request);
      admitted = admitQueued();
    }
    complete(admitted);
    return request.future;
  }

  /**
   * Withdraws a queued request.
   *
   * @param future the future returned by {@link #request}
   * @return true if the request was still queued and has been removed
   */
  public synchronized boolean withdraw(CompletableFuture<Permit> future) {
    for (QueuedRequest request : queue) {
      if (request.future == future) {
        queue.remove(request);
        node(request.customer).queued--;
        return true;
      }
    }
    return false;
  }

  /**
   * Releases a permit.
   *
   * @param permit the permit
   */
  public void release(Permit permit) {
    List<QueuedRequest> admitted;
    synchronized (this) {
      long elapsed = Math.max(0, clock.millis() - permit.grantedAtMillis());
      meanServiceMillis += SERVICE_TIME_SMOOTHING * (elapsed - meanServiceMillis);
      for (Node node = node(permit.customer()); node != null; node = node.parent) {
        node.inFlight--;
      }
      admitted = admitQueued();
    }
    complete(admitted);
  }

  /**
   * Returns the demand of each customer since the last call and resets the arrival counts.
   *
   * @return one element for each customer with arrivals or requests in flight
   */
  public synchronized List<Demand> drainDemand() {
    List<Demand> demands = new ArrayList<>();
    for (Node node : nodes.values()) {
      if (node.customer != null && (node.arrived > 0 || node.inFlight > 0)) {
        demands.add(new Demand(node.customer.id(), node.arrived, node.inFlight));
      }
      node.arrived = 0;
    }
    return demands;
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return the number of permits that have not been released
   */
  public synchronized int inFlight() {
    return nodes.values().stream()
        .filter(node -> node.customer != null)
        .mapToInt(node -> node.inFlight)
        .sum();
  }

  private BulrushpierException rejection(QueuedRequest request, Node own) {
    long now = clock.millis();
    for (Node node = own; node != null; node = node.parent) {
      if (!node.bucket.hasToken(now)) {
        String message = node.path + ": request rate limit exceeded";
        return BulrushpierException.notRun(ErrorCode.LIMIT_REACHED, message)
            .withRetryAfter(node.bucket.waitMillis());
      }
    }
    if (own.queued >= own.limits.maxQueued() && !hasCapacity(own)) {
      String message = own.path + ": queue of " + own.limits.maxQueued() + " requests is full";
      return BulrushpierException.notRun(ErrorCode.LIMIT_REACHED, message)
          .withRetryAfter((long) meanServiceMillis);
    }
    double expectedMillis = own.queued * meanServiceMillis / Math.max(1, own.maxInFlight);
    if (!hasCapacity(own) && now + expectedMillis > request.deadlineMillis) {
      String message =
          own.path
              + ": expected queueing time of "
              + (long) expectedMillis
              + " ms exceeds the deadline";
      return BulrushpierException.notRun(ErrorCode.DEADLINE, message)
          .withRetryAfter((long) expectedMillis);
    }
    return null;
  }

  private List<QueuedRequest> admitQueued() {
    List<QueuedRequest> admitted = new ArrayList<>();
    for (QueuedRequest next = nextAdmissible(); next != null; next = nextAdmissible()) {
      queue.remove(next);
      Node own = node(next.customer);
      own.queued--;
      virtualTime = Math.max(virtualTime, next.virtualFinish);
      for (Node node = own; node != null; node = node.parent) {
        node.inFlight++;
      }
      admitted.add(next);
    }
    return admitted;
  }

  private QueuedRequest nextAdmissible() {
    QueuedRequest best = null;
    for (QueuedRequest request : queue) {
      if ((best == null || request.isBefore(best)) && hasCapacity(node(request.customer))) {
        best = request;
      }
    }
    return best;
  }

  private void complete(List<QueuedRequest> admitted) {
    long now = clock.millis();
    admitted.forEach(request -> request.future.complete(new Permit(request.customer, now)));
  }

  private static boolean hasCapacity(Node own) {
    for (Node node = own; node != null; node = node.parent) {
      if (node.inFlight >= node.maxInFlight) {
        return false;
      }
    }
    return true;
  }

  private Node node(Customer customer) {
    Node node = nodes.get(customer.id());
    if (node == null) {
      node = new Node(customer.id(), customer, team(customer.team()));
      node.scale(customer.limits(), share(node), clock.millis());
      nodes.put(customer.id(), node);
    } else if (!node.limits.equals(customer.limits())) {
      node.scale(customer.limits(), share(node), clock.millis());
    }
    return node;
  }

  private Node team(String path) {
    if (path.isEmpty()) {
      return null;
    }
    Node node = nodes.get(path);
    if (node == null) {
      int slash = path.lastIndexOf('/');
      node = new Node(path, null, team(slash < 0 ? "" : path.substring(0, slash)));
      node.scale(limitsOf(node), share(node), clock.millis());
      nodes.put(path, node);
    }
    return node;
  }

  private double share(Node node) {
    return shares.of(node.path);
  }

  /**
   * Returns the limits in force at a node. Those of a customer change only with its next request,
   * and a removed team keeps its last limits.
   */
  private Limits limitsOf(Node node) {
    Team team = settings.teams().get(node.path);
    return team == null ? node.limits : team.limits();
  }

  /**
   * The demand of a customer at this entry. Immutable and thread-safe.
   *
   * @param customer the id of the customer
   * @param arrived the number of requests that arrived since the last {@link #drainDemand}
   * @param inFlight the number of requests in flight
   */
  public record Demand(String customer, int arrived, int inFlight) {}

  private static final class Node {
    private final String path;
    private final Customer customer;
    private final Node parent;
    private Limits limits = new Limits(1_000_000, 1_000_000, 100);
    private TokenBucket bucket;
    private int maxInFlight;
    private int inFlight;
    private int queued;
    private int arrived;
    private double lastVirtualFinish;

    private Node(String path, Customer customer, Node parent) {
      this.path = path;
      this.customer = customer;
      this.parent = parent;
    }

    private void scale(Limits newLimits, double share, long now) {
      limits = newLimits;
      double rate = limits.requestsPerSecond() * share;
      maxInFlight = (int) Math.max(1, Math.floor(limits.maxInFlight() * share));
      if (bucket == null) {
        bucket = TokenBucket.of(rate, now);
      } else {
        bucket.setRate(rate, now);
      }
    }
  }

  private static final class QueuedRequest {
    private final Customer customer;
    private final long deadlineMillis;
    private final CompletableFuture<Permit> future;
    private double virtualFinish;

    private QueuedRequest(
        Customer customer, long deadlineMillis, CompletableFuture<Permit> future) {
      this.customer = customer;
      this.deadlineMillis = deadlineMillis;
      this.future = future;
    }

    private boolean isBefore(QueuedRequest other) {
      if (customer.priority() != other.customer.priority()) {
        return customer.priority() > other.customer.priority();
      }
      return virtualFinish < other.virtualFinish;
    }
  }
}
