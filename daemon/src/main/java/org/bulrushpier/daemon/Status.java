package org.bulrushpier.daemon;

import java.util.List;
import java.util.Map;
import org.bulrushpier.Finding;

/**
 * The status of one entry as reported to operators. Immutable and thread-safe.
 *
 * @param name the entry
 * @param domain its failure domain
 * @param isLeaving true if it is shutting down
 * @param isPlatformReachable true if the last call to the platform was answered without a server
 *     error
 * @param settings the versions of the current settings by path
 * @param findings the faults found in the current settings
 * @param requestsInFlight requests that hold a permit
 * @param peers the other entries
 * @param upstreams the upstreams
 * @param control the cost of the control plane since the start
 */
public record Status(
    String name,
    String domain,
    boolean isLeaving,
    boolean isPlatformReachable,
    Map<String, Long> settings,
    List<Finding> findings,
    int requestsInFlight,
    List<PeerStatus> peers,
    List<UpstreamStatus> upstreams,
    ControlCost control) {

  /**
   * A peer.
   *
   * @param name its name
   * @param domain its failure domain
   * @param isLive true if it counts as live
   * @param isSettingsEqual true if its settings have the same versions
   */
  public record PeerStatus(String name, String domain, boolean isLive, boolean isSettingsEqual) {}

  /**
   * An upstream.
   *
   * @param name its name
   * @param kind engine, service or store
   * @param domain its failure domain
   * @param isUsable true if requests may be routed to it
   * @param isLeaving true if it takes no new work
   * @param inFlight calls from this entry in flight
   * @param weightVersion the version an engine reported, or empty
   */
  public record UpstreamStatus(
      String name,
      String kind,
      String domain,
      boolean isUsable,
      boolean isLeaving,
      int inFlight,
      String weightVersion) {}

  /**
   * The cost of the control plane: traffic with peers and the platform, processor time and heap.
   *
   * @param upMillis milliseconds since the start
   * @param peerBytesSent bytes sent to peers
   * @param peerBytesReceived bytes received from peers
   * @param peerFramesSent frames sent to peers
   * @param platformReads read calls to the platform
   * @param platformWrites write calls to the platform
   * @param cpuMillis processor time of the whole process, in milliseconds
   * @param heapBytes bytes of heap in use
   */
  public record ControlCost(
      long upMillis,
      long peerBytesSent,
      long peerBytesReceived,
      long peerFramesSent,
      long platformReads,
      long platformWrites,
      long cpuMillis,
      long heapBytes) {}
}
