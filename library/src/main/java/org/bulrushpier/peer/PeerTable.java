package org.bulrushpier.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bulrushpier.Clock;
import org.bulrushpier.platform.ListedInstance;
import org.bulrushpier.routing.Rendezvous;

/**
 * The membership table of an entry, which combines the platform's lagging instance list with the
 * heartbeats received from peers.
 *
 * <pre>{@code
 * PeerTable peers = PeerTable.of("entry-1", "lima-norte", clock);
 * peers.recordHeartbeat(heartbeat);
 * List<String> live = peers.live();
 * }</pre>
 *
 * <p>A peer is live while its heartbeats arrive. A peer from which no heartbeat was ever received
 * counts as live only for {@link #HEARTBEAT_TIMEOUT_MILLIS} after it became known. A peer to which
 * a connection has failed is not live until it connects again or sends its next heartbeat, and one
 * that is shutting down or was removed is never live. Thread-safe; no other lock is acquired while
 * this table's lock is held.
 */
public final class PeerTable {

  /** The heartbeat interval, in milliseconds. */
  public static final long HEARTBEAT_MILLIS = 1_000;

  /** The time without a heartbeat after which a peer is considered dead, in milliseconds. */
  public static final long HEARTBEAT_TIMEOUT_MILLIS = 3 * HEARTBEAT_MILLIS;

  /** The time after which the next heartbeat of a peer is overdue, in milliseconds. */
  private static final long HEARTBEAT_LATE_MILLIS = HEARTBEAT_MILLIS + HEARTBEAT_MILLIS / 4;

  private static final int TARGETS_PER_REMOTE_DOMAIN = 2;

  private final String self;
  private final String domain;
  private final Clock clock;
  private final Map<String, Peer> peers = new HashMap<>();

  private PeerTable(String self, String domain, Clock clock) {
    this.self = self;
    this.domain = domain;
    this.clock = clock;
  }

  /**
   * Creates a table without peers.
   *
   * @param self the name of this entry
   * @param domain the failure domain of this entry
   * @param clock the clock
   * @return the table
   */
  public static PeerTable of(String self, String domain, Clock clock) {
    return new PeerTable(self, domain, clock);
  }

  /**
   * Updates the table from the platform's instance list.
   *
   * @param instances the complete list
   */
  public synchronized void updateFromList(Collection<ListedInstance> instances) {
    for (ListedInstance instance : instances) {
      if (instance.kind().equals("entry") && !instance.name().equals(self)) {
        Peer peer = peers.computeIfAbsent(instance.name(), this::newPeer);
        peer.updateLocation(instance.peerAddress(), instance.domain());
        peer.isLeaving |= instance.isLeaving();
      }
    }
    peers.values().forEach(peer -> peer.isRemoved = isRemoved(peer, instances));
    peers.values().removeIf(peer -> peer.isRemoved && !peer.isContact);
  }

  private boolean isRemoved(Peer peer, Collection<ListedInstance> instances) {
    boolean isListed = instances.stream().anyMatch(i -> i.name().equals(peer.name));
    return !isListed && clock.millis() - peer.lastHeartbeatMillis > HEARTBEAT_TIMEOUT_MILLIS;
  }

  /**
   * Adds a bootstrap contact from the settings of the process.
   *
   * @param name the name of the peer
   * @param address its peer address
   * @param peerDomain its failure domain
   */
  public synchronized void addContact(String name, String address, String peerDomain) {
    Peer peer = peers.computeIfAbsent(name, this::newPeer);
    peer.address = address;
    peer.domain = peerDomain;
    peer.isContact = true;
  }

  /**
   * Records the address at which a connecting peer accepts connections.
   *
   * @param name the name of the peer
   * @param hello the first message of the peer
   */
  public synchronized void recordHello(String name, PeerMessage.Hello hello) {
    if (!name.equals(self)) {
      Peer peer = peers.computeIfAbsent(name, this::newPeer);
      peer.updateLocation(hello.address(), hello.domain());
      peer.connectionFailedMillis = 0;
    }
  }

  /**
   * Records a heartbeat.
   *
   * @param heartbeat the heartbeat
   */
  public synchronized void recordHeartbeat(PeerMessage.Heartbeat heartbeat) {
    Peer peer = peers.computeIfAbsent(heartbeat.name(), this::newPeer);
    peer.lastHeartbeatMillis = clock.millis();
    peer.connectionFailedMillis = 0;
    peer.isRemoved = false;
    peer.domain = heartbeat.domain();
    peer.isLeaving = heartbeat.isLeaving();
    peer.isWriting = heartbeat.isWriting();
    peer.demands = heartbeat.demands();
    peer.digest = heartbeat.settingsDigest();
  }

  /**
   * Records that a connection to a peer failed.
   *
   * @param name the name of the peer
   */
  public synchronized void recordConnectionFailure(String name) {
    Peer peer = peers.get(name);
    if (peer != null) {
      peer.connectionFailedMillis = clock.millis();
    }
  }

  /**
   * Returns the live entries, including this one.
   *
   * @return the names, sorted
   */
  public synchronized List<String> live() {
    TreeSet<String> live = new TreeSet<>();
    live.add(self);
    peers.values().stream().filter(this::isLive).forEach(peer -> live.add(peer.name));
    return List.copyOf(live);
  }

  /**
   * Returns the entries among which the ownership of ledger shards and orders is divided: the live
   * entries that can reach the platform.
   *
   * @param isSelfWriting true if this entry can reach the platform
   * @return the names, sorted; only this entry if no entry can reach the platform
   */
  public synchronized List<String> writers(boolean isSelfWriting) {
    TreeSet<String> writers = new TreeSet<>();
    if (isSelfWriting) {
      writers.add(self);
    }
    peers.values().stream()
        .filter(peer -> isLive(peer) && peer.isWriting)
        .forEach(peer -> writers.add(peer.name));
    return writers.isEmpty() ? List.of(self) : List.copyOf(writers);
  }

  /**
   * Returns the live entries in the failure domain of this entry, including this one.
   *
   * @return the names, sorted
   */
  public synchronized List<String> liveInDomain() {
    TreeSet<String> live = new TreeSet<>();
    live.add(self);
    peers.values().stream()
        .filter(peer -> domain.equals(peer.domain) && isLive(peer))
        .forEach(peer -> live.add(peer.name));
    return List.copyOf(live);
  }

  /**
   * Returns the state of all known peers.
   *
   * @return the peers, sorted by name
   */
  public synchronized List<PeerSnapshot> peers() {
    return peers.values().stream()
        .map(
            peer ->
                new PeerSnapshot(
                    peer.name,
                    peer.domain,
                    peer.address,
                    isLive(peer),
                    isOnTime(peer),
                    peer.isLeaving || peer.isRemoved,
                    peer.digest,
                    peer.demands))
        .sorted((a, b) -> a.name().compareTo(b.name()))
        .toList();
  }

  /**
   * Returns the peers to which this entry sends heartbeats: all peers in its own failure domain and
   * a few in each other domain, so that their number grows with the size of a domain and not with
   * that of the site. Each entry selects different peers in another domain, so that no peer
   * receives the heartbeats of a whole domain.
   *
   * @return the selected peers, all with a known address
   */
  public synchronized List<PeerSnapshot> heartbeatTargets() {
    Map<String, PeerSnapshot> ownDomain = new TreeMap<>();
    Map<String, Map<String, PeerSnapshot>> remoteDomains = new TreeMap<>();
    for (PeerSnapshot peer : peers()) {
      if (!peer.address().isEmpty()) {
        boolean isInOwnDomain = peer.domain().equals(domain);
        Map<String, PeerSnapshot> group =
            isInOwnDomain
                ? ownDomain
                : remoteDomains.computeIfAbsent(peer.domain(), d -> new TreeMap<>());
        group.put(peer.name(), peer);
      }
    }
    List<PeerSnapshot> targets = new ArrayList<>(ownDomain.values());
    for (Map<String, PeerSnapshot> group : remoteDomains.values()) {
      List<String> order = Rendezvous.order(self, group.keySet());
      order.stream().limit(TARGETS_PER_REMOTE_DOMAIN).forEach(name -> targets.add(group.get(name)));
    }
    return targets;
  }

  /**
   * Returns whether a peer is in the failure domain of this entry.
   *
   * @param name the name of the peer
   * @return true if the peer is known and in this domain
   */
  public synchronized boolean isInOwnDomain(String name) {
    Peer peer = peers.get(name);
    return peer != null && domain.equals(peer.domain);
  }

  private boolean isOnTime(Peer peer) {
    return peer.lastHeartbeatMillis == 0
        || peer.isLeaving
        || peer.isRemoved
        || clock.millis() - peer.lastHeartbeatMillis <= HEARTBEAT_LATE_MILLIS;
  }

  private Peer newPeer(String name) {
    return new Peer(name, clock.millis());
  }

  private boolean isLive(Peer peer) {
    if (peer.isLeaving || peer.isRemoved) {
      return false;
    }
    if (peer.lastHeartbeatMillis > 0) {
      return peer.connectionFailedMillis == 0
          && clock.millis() - peer.lastHeartbeatMillis <= HEARTBEAT_TIMEOUT_MILLIS;
    }
    boolean isRecentlyAdded = clock.millis() - peer.addedMillis <= HEARTBEAT_TIMEOUT_MILLIS;
    return isRecentlyAdded && !peer.address.isEmpty() && peer.connectionFailedMillis == 0;
  }

  /**
   * A snapshot of the state of a peer. Immutable and thread-safe.
   *
   * @param name the name of the peer
   * @param domain the name of its failure domain
   * @param address its peer address, or empty if unknown
   * @param isLive true if it is considered live
   * @param isOnTime false if a heartbeat of it is overdue
   * @param isLeaving true if it is shutting down or was removed from the platform's list
   * @param settingsDigest the digest of its settings, or 0 if it never sent a heartbeat
   * @param demands the demand of its customers
   */
  public record PeerSnapshot(
      String name,
      String domain,
      String address,
      boolean isLive,
      boolean isOnTime,
      boolean isLeaving,
      long settingsDigest,
      List<PeerMessage.Demand> demands) {}

  private static final class Peer {
    private final String name;
    private String domain = "";
    private String address = "";
    private boolean isContact;
    private boolean isLeaving;
    private boolean isRemoved;
    private boolean isWriting;
    private final long addedMillis;
    private long lastHeartbeatMillis;
    private long connectionFailedMillis;
    private long digest;
    private List<PeerMessage.Demand> demands = List.of();

    private Peer(String name, long addedMillis) {
      this.name = name;
      this.addedMillis = addedMillis;
    }

    /** Updates the location; the configured address of a contact takes precedence. */
    private void updateLocation(String newAddress, String newDomain) {
      address = isContact ? address : newAddress;
      domain = newDomain;
    }
  }
}
