package org.bulrushpier.placing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * The requests of one service that wait at this instance because every suitable engine is
 * saturated.
 *
 * <p>Designed for bursts just above what the engines can take: a short queue here keeps them from
 * building up a queue in the engines, where waiting requests displace cached parts and each request
 * then needs more work than before. If the load does not fall, a queue only adds delay. Once the
 * queue has not been empty for {@value #STANDING_MILLIS} ms, the permitted wait therefore shrinks
 * (controlled delay), and requests that exceed it are refused. A new request whose turn, at the
 * rate of the last placements, comes after its permitted wait is not to be added. Less urgent
 * requests that wait do not count for a more urgent one.
 *
 * <p>Invariant: requests leave in order of priority; within a priority customers take turns
 * according to their usual demand, and the requests of a customer leave in order of arrival. Not
 * thread-safe; guarded by the lock of the gateway's event loop.
 *
 * @param <T> the type of the requests
 */
public final class PlacementQueue<T> {

  /** How long a queue must have existed to be considered standing, in milliseconds. */
  static final long STANDING_MILLIS = 1_000;

  /** How long a standing queue may be empty, in milliseconds, as placements come in groups. */
  private static final long EMPTY_MILLIS = 100;

  /** The longest wait in a short-lived queue, as a multiple of the request's latency objective. */
  private static final double BURST_WAIT_FACTOR = 1.0;

  /** The longest wait in a standing queue, as a multiple of the request's latency objective. */
  private static final double STANDING_WAIT_FACTOR = 0.25;

  /** The upper bound of the delay after which refused callers are asked to return, in ms. */
  private static final long MAX_RETRY_MILLIS = 5_000;

  private record Entry<T>(
      T request,
      String customer,
      double cost,
      int priority,
      double start,
      long sequence,
      long queuedMillis,
      long goalMillis) {}

  private final TreeSet<Entry<T>> entries =
      new TreeSet<>(
          Comparator.comparingInt((Entry<T> entry) -> entry.priority)
              .thenComparingDouble(entry -> entry.start)
              .thenComparingLong(entry -> entry.sequence));
  private final Map<Integer, CustomerShares> shares = new HashMap<>();
  private final Map<Integer, ArrayDeque<Long>> placedMillis = new HashMap<>();
  private final Map<Integer, Occupancy> occupancies = new TreeMap<>();
  private long nextSequence;

  /**
   * For how long requests of some priority, or more urgent ones, have been waiting. Less urgent
   * ones don't count, as they delay nobody.
   */
  private static final class Occupancy {
    private long sinceMillis;
    private long lastMillis = Long.MIN_VALUE / 2;

    Occupancy(long sinceMillis) {
      this.sinceMillis = sinceMillis;
    }

    boolean isStanding(boolean isOccupied, long nowMillis) {
      long untilMillis = isOccupied ? nowMillis : lastMillis;
      return nowMillis - untilMillis <= EMPTY_MILLIS && untilMillis - sinceMillis > STANDING_MILLIS;
    }
  }

  /**
   * Checks whether a new request has to wait behind others.
   *
   * @param priority the priority of the new request, 0 being the most urgent
   * @return true if a request that is at least as urgent is waiting
   */
  public boolean isAhead(int priority) {
    return !entries.isEmpty() && entries.first().priority <= priority;
  }

  /**
   * Records the arrival of a request, whether or not it has to wait.
   *
   * @param customer the name of its customer
   * @param tokens its size, in tokens
   * @param priority its priority, 0 being the most urgent
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void arrived(String customer, int tokens, int priority, long nowMillis) {
    sharesOf(priority).arrived(customer, tokens, nowMillis);
  }

  private CustomerShares sharesOf(int priority) {
    return shares.computeIfAbsent(priority, p -> new CustomerShares());
  }

  /**
   * Checks whether a new request would wait in vain, as too many others of its priority have their
   * turn before it in a standing queue. The effect of more urgent requests shows in the rate at
   * which those of its priority were placed.
   *
   * @param customer the name of its customer
   * @param priority the priority of the new request, 0 being the most urgent
   * @param goalMillis its latency objective, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if it is expected to exceed its permitted wait
   */
  public boolean isFull(String customer, int priority, long goalMillis, long nowMillis) {
    double start = sharesOf(priority).nextStart(customer);
    long ahead =
        entries.stream()
            .filter(entry -> entry.priority == priority && entry.start <= start)
            .count();
    if (ahead == 0 || !isStanding(priority, nowMillis)) {
      return false;
    }
    int placed = recentPlacements(priority, nowMillis).size();
    return ahead > placed * STANDING_WAIT_FACTOR * goalMillis / STANDING_MILLIS;
  }

  private ArrayDeque<Long> recentPlacements(int priority, long nowMillis) {
    ArrayDeque<Long> placed = placedMillis.computeIfAbsent(priority, p -> new ArrayDeque<>());
    while (!placed.isEmpty() && nowMillis - placed.peekFirst() > STANDING_MILLIS) {
      placed.removeFirst();
    }
    return placed;
  }

  /**
   * Adds a request.
   *
   * @param request the request
   * @param customer the name of its customer
   * @param tokens its size, in tokens
   * @param priority its priority, 0 being the most urgent
   * @param goalMillis its latency objective, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void add(
      T request, String customer, int tokens, int priority, long goalMillis, long nowMillis) {
    occupancies.computeIfAbsent(priority, p -> new Occupancy(nowMillis));
    occupancies.forEach(
        (waiting, occupancy) -> {
          if (waiting >= priority) {
            if (!isAhead(waiting) && !isStanding(waiting, nowMillis)) {
              occupancy.sinceMillis = nowMillis;
            }
            occupancy.lastMillis = nowMillis;
          }
        });
    CustomerShares order = sharesOf(priority);
    double cost = order.cost(customer, tokens, nowMillis);
    double start = order.charge(customer, cost);
    entries.add(
        new Entry<>(
            request, customer, cost, priority, start, nextSequence++, nowMillis, goalMillis));
  }

  /**
   * Removes a request that was placed.
   *
   * @param request the request
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void placed(T request, long nowMillis) {
    recordOccupancy(nowMillis);
    for (Iterator<Entry<T>> it = entries.iterator(); it.hasNext(); ) {
      Entry<T> entry = it.next();
      if (entry.request == request) {
        it.remove();
        recentPlacements(entry.priority, nowMillis).addLast(nowMillis);
        sharesOf(entry.priority).placed(entry.customer, entry.start);
        settleIfNoneWaits(entry.priority);
      }
    }
  }

  private void settleIfNoneWaits(int priority) {
    if (entries.stream().noneMatch(entry -> entry.priority == priority)) {
      sharesOf(priority).settle();
    }
  }

  private void recordOccupancy(long nowMillis) {
    occupancies.forEach(
        (priority, occupancy) -> {
          if (isAhead(priority)) {
            occupancy.lastMillis = nowMillis;
          }
        });
  }

  /**
   * Removes a request that has ended.
   *
   * @param request the request
   */
  public void remove(T request) {
    for (Iterator<Entry<T>> it = entries.iterator(); it.hasNext(); ) {
      Entry<T> entry = it.next();
      if (entry.request == request) {
        it.remove();
        unplaced(entry);
      }
    }
  }

  private void unplaced(Entry<T> entry) {
    sharesOf(entry.priority).refund(entry.customer, entry.start, entry.cost);
    settleIfNoneWaits(entry.priority);
  }

  /** Returns the waiting requests in the order in which they are to be placed. */
  public List<T> waiting() {
    return entries.stream().map(Entry::request).toList();
  }

  /** Returns the next request to place, or empty if none is waiting. */
  public Optional<T> head() {
    return entries.isEmpty() ? Optional.empty() : Optional.of(entries.first().request);
  }

  /**
   * Removes the requests that have waited too long.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the removed requests
   */
  public List<T> removeExpired(long nowMillis) {
    recordOccupancy(nowMillis);
    List<T> expired = new ArrayList<>();
    for (Iterator<Entry<T>> it = entries.iterator(); it.hasNext(); ) {
      Entry<T> entry = it.next();
      double factor =
          isStanding(entry.priority, nowMillis) ? STANDING_WAIT_FACTOR : BURST_WAIT_FACTOR;
      if (nowMillis - entry.queuedMillis > factor * entry.goalMillis) {
        it.remove();
        unplaced(entry);
        expired.add(entry.request);
      }
    }
    return expired;
  }

  /**
   * Checks whether the queue has not been empty for some time. A queue that is standing remains so
   * until it has been empty for more than a moment.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if the load exceeds the capacity and not only for a moment
   */
  public boolean isStanding(long nowMillis) {
    return occupancies.keySet().stream().anyMatch(priority -> isStanding(priority, nowMillis));
  }

  private boolean isStanding(int priority, long nowMillis) {
    Occupancy occupancy = occupancies.get(priority);
    return occupancy != null && occupancy.isStanding(isAhead(priority), nowMillis);
  }

  /**
   * Returns the delay after which a refused caller should return. An overload that has lasted for
   * some time is expected to last about as long again; the delay varies by half, so that callers
   * who are refused together do not return together.
   *
   * @param priority the priority of the request, 0 being the most urgent
   * @param goalMillis the latency objective of the request, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @param random the source of randomness
   * @return the delay in milliseconds
   */
  public long retryDelayMillis(
      int priority, long goalMillis, long nowMillis, RandomGenerator random) {
    boolean isEmptied = !isAhead(priority) && !isStanding(priority, nowMillis);
    Occupancy occupancy = occupancies.get(priority);
    long standing = isEmptied || occupancy == null ? 0 : nowMillis - occupancy.sinceMillis;
    long delay = Math.clamp(standing, Math.min(goalMillis, MAX_RETRY_MILLIS), MAX_RETRY_MILLIS);
    return delay / 2 + random.nextLong(delay + 1);
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return entries.size();
  }
}
