package org.bulrushpier.site;

import java.util.List;
import org.bulrushpier.Address;

/**
 * A service of the operators' configuration.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface Service {

  /** Returns the name of the service. */
  String name();

  /** Returns what its replicas bear after their start. */
  default ColdStart coldStart() {
    return ColdStart.NONE;
  }

  /**
   * What a replica bears while it is cold.
   *
   * @param perSecond the requests that it bears per second, or 0 if it is never cold
   * @param millis how long it is cold after its start, in milliseconds
   */
  record ColdStart(double perSecond, long millis) {

    /** A service without cold replicas. */
    public static final ColdStart NONE = new ColdStart(0, 0);
  }

  /**
   * A service without a model.
   *
   * @param name the name
   * @param maxConnections the number of connections that each upstream accepts from all callers
   * @param coldStart what its replicas bear after their start
   */
  record Plain(String name, int maxConnections, ColdStart coldStart) implements Service {}

  /**
   * A service of model engines.
   *
   * @param name the name
   * @param maxConnections the number of connections that each engine accepts from all callers
   * @param slots the number of requests that an engine runs concurrently
   * @param memoryTokens the capacity of an engine's cache memory, in tokens
   * @param bytesPerToken the cache memory used by a token, in bytes
   * @param linkMbps the rate of an engine's link for cache transfers, in Mbit/s
   * @param isManaged whether cache parts may be fetched and saved individually
   * @param hasCopies whether an engine sends a copy of a run to another one if a request says so
   * @param models the names of the models that its engines serve
   * @param coldStart what its engines bear after their start
   */
  record Engines(
      String name,
      int maxConnections,
      int slots,
      long memoryTokens,
      long bytesPerToken,
      double linkMbps,
      boolean isManaged,
      boolean hasCopies,
      List<String> models,
      ColdStart coldStart)
      implements Service {
    /** Copies the list. */
    public Engines {
      models = List.copyOf(models);
    }
  }

  /**
   * A store of cache parts.
   *
   * @param name the name
   * @param address its address
   * @param domain its failure domain
   * @param memoryTokens its capacity, in tokens
   * @param linkMbps the rate of its link, in Mbit/s
   * @param latencyMillis the fixed latency of each transfer, in milliseconds
   * @param isManaged whether it keeps every part until it is told to free it
   */
  record CacheStore(
      String name,
      Address address,
      String domain,
      long memoryTokens,
      double linkMbps,
      double latencyMillis,
      boolean isManaged)
      implements Service {}
}
