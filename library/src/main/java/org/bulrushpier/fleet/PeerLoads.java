package org.bulrushpier.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The load that the other instances of the site put on upstreams, as they last reported it.
 *
 * <p>Designed for sites at which each instance sends only a small part of an upstream's requests:
 * without the load of the others, all instances send to the upstream that looked idle in an old
 * report.
 *
 * <p>Invariant: each instance is counted with its newest report only, and no longer than {@value
 * #VALIDITY_MILLIS} ms. Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class PeerLoads {

  /** How long a report is used, in milliseconds: a few times the interval between reports. */
  static final long VALIDITY_MILLIS = 1_500;

  /**
   * The load of all other instances on one upstream. Immutable and thread-safe.
   *
   * @param requests the number of requests in flight
   * @param memoryTokens the tokens that they occupy when they end
   * @param pendingTokens the prompt tokens that are prefilled before those of a new request
   * @param lessUrgentTokens the prompt tokens that are prefilled after those of a new request
   * @param copyTokens the tokens that the copies of runs occupy when the runs end
   */
  public record Total(
      int requests, long memoryTokens, long pendingTokens, long lessUrgentTokens, long copyTokens) {

    /** No load. */
    public static final Total NONE = new Total(0, 0, 0, 0, 0);
  }

  private record Report(FleetMessage.Load load, long receivedMillis) {}

  private final Map<String, Report> reports = new HashMap<>();
  private final Map<String, Map<String, UpstreamLoad>> loads = new HashMap<>();

  /**
   * Records a report unless it is older than the one already known.
   *
   * @param sender the address of the instance that sent it
   * @param load the report
   * @param nowMillis the current monotonic time, in milliseconds
   * @return false if the report contains implausible numbers and was ignored
   */
  public boolean record(String sender, FleetMessage.Load load, long nowMillis) {
    if (!load.upstreams().stream().allMatch(UpstreamLoad::isPlausible)) {
      return false;
    }
    Report known = reports.get(sender);
    if (known != null && isOlder(load, known.load)) {
      return true;
    }
    remove(sender);
    reports.put(sender, new Report(load, nowMillis));
    for (UpstreamLoad upstream : load.upstreams()) {
      loads.computeIfAbsent(upstream.upstream(), id -> new HashMap<>()).put(sender, upstream);
    }
    return true;
  }

  private static boolean isOlder(FleetMessage.Load load, FleetMessage.Load known) {
    return load.startMillis() == known.startMillis()
        ? load.sequence() <= known.sequence()
        : load.startMillis() < known.startMillis();
  }

  /**
   * Removes reports that are too old.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void expire(long nowMillis) {
    List<String> expired =
        reports.entrySet().stream()
            .filter(entry -> nowMillis - entry.getValue().receivedMillis > VALIDITY_MILLIS)
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::remove);
  }

  private void remove(String sender) {
    Report removed = reports.remove(sender);
    if (removed == null) {
      return;
    }
    for (UpstreamLoad upstream : removed.load.upstreams()) {
      loads.computeIfPresent(
          upstream.upstream(),
          (id, senders) -> {
            senders.remove(sender);
            return senders.isEmpty() ? null : senders;
          });
    }
  }

  /**
   * Returns the load of the other instances on an upstream.
   *
   * @param upstream the id of the upstream
   * @param priority the priority of a new request, 0 being the most urgent
   * @return the sum of their reports
   */
  public Total at(String upstream, int priority) {
    Map<String, UpstreamLoad> senders = loads.get(upstream);
    if (senders == null) {
      return Total.NONE;
    }
    int requests = 0;
    long memoryTokens = 0;
    long pendingTokens = 0;
    long allTokens = 0;
    long copyTokens = 0;
    for (UpstreamLoad load : senders.values()) {
      requests += load.requests();
      memoryTokens += load.memoryTokens();
      pendingTokens += load.pendingTokens(priority);
      allTokens += load.pendingTokens(Integer.MAX_VALUE);
      copyTokens += load.copyTokens();
    }
    return new Total(requests, memoryTokens, pendingTokens, allTokens - pendingTokens, copyTokens);
  }

  /** Returns the number of instances whose report is in use. */
  public int size() {
    return reports.size();
  }
}
