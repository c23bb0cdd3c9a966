package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.bulrushpier.Address;
import org.bulrushpier.Clock;
import org.bulrushpier.ledger.LedgerAnswer;
import org.bulrushpier.ledger.LedgerRecord;
import org.bulrushpier.peer.PeerMessage;
import org.bulrushpier.peer.PeerTable;
import org.bulrushpier.routing.EngineLoad;
import org.bulrushpier.routing.Rendezvous;
import org.bulrushpier.settings.EntrySettings;
import org.bulrushpier.settings.Subtree;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges messages with the other entries: heartbeats, settings, load reports and ledger records.
 *
 * <p>Thread-safe. The lock of the peer table is never held together with another lock.
 */
final class Peers implements PeerLinks.Listener {

  private static final Logger log = LoggerFactory.getLogger("peer");
  private static final long MIN_REQUEST_INTERVAL_MILLIS = 300;

  private final EntrySettings entry;
  private final PeerTable table;
  private final PeerLinks links;
  private final SettingsManager settingsManager;
  private final Timeline timeline;
  private final Map<Long, CompletableFuture<List<LedgerAnswer>>> pendingLedgerCalls =
      new ConcurrentHashMap<>();
  private final Map<String, RequestedVersion> requestedVersions = new ConcurrentHashMap<>();
  private final Clock clock;
  private final BooleanSupplier isWriting;
  private final AtomicLong lastLedgerCallId = new AtomicLong();
  private volatile LedgerOwner ledgerOwner =
      (shard, records) -> CompletableFuture.failedFuture(new IllegalStateException("starting"));
  private volatile LoadListener loadListener = (engine, load) -> {};
  private volatile UpstreamListener upstreamListener = (upstream, isLeaving) -> {};

  Peers(
      EntrySettings entry,
      Clock clock,
      SettingsManager settingsManager,
      Timeline timeline,
      BooleanSupplier isWriting) {
    this.isWriting = isWriting;
    this.entry = entry;
    this.clock = clock;
    this.settingsManager = settingsManager;
    this.timeline = timeline;
    this.table = PeerTable.of(entry.name(), entry.domain(), clock);
    for (EntrySettings.Contact contact : entry.contacts()) {
      table.addContact(contact.name(), contact.address().toString(), contact.domain());
    }
    PeerMessage.Hello hello = new PeerMessage.Hello(entry.domain(), entry.peerAddress().toString());
    this.links = PeerLinks.start(entry.name(), entry.peerAddress(), hello, timeline.clock(), this);
    settingsManager.onChange(this::announceSettings);
  }

  /** Commits records on behalf of a peer. */
  interface LedgerOwner {
    CompletableFuture<List<LedgerAnswer>> commit(int shard, List<LedgerRecord> records);
  }

  /** Notified when a peer reports whether an upstream is leaving. */
  interface UpstreamListener {
    void reported(String upstream, boolean isLeaving);
  }

  /** Notified of the load reports of engines that a peer polled. */
  interface LoadListener {
    void reported(String engine, EngineLoad load);
  }

  String domain() {
    return entry.domain();
  }

  PeerTable table() {
    return table;
  }

  PeerLinks links() {
    return links;
  }

  void setLedgerOwner(LedgerOwner owner) {
    ledgerOwner = owner;
  }

  void setUpstreamListener(UpstreamListener listener) {
    upstreamListener = listener;
  }

  void setLoadListener(LoadListener listener) {
    loadListener = listener;
  }

  void announceLoads(List<PeerMessage.LoadReport> reports) {
    if (!reports.isEmpty()) {
      sendToAll(new PeerMessage.LoadReports(reports));
    }
  }

  /**
   * Announces new subtrees to the peers that their source has not informed. Changes from the
   * platform or an operator go to all peers; changes from a peer in another failure domain go to
   * the peers in this entry's domain.
   */
  private void announceSettings(List<Subtree> newer, String source) {
    List<PeerMessage.SubtreeVersion> versions =
        newer.stream().map(s -> new PeerMessage.SubtreeVersion(s.path(), s.version())).toList();
    PeerMessage announcement = new PeerMessage.SettingsAnnouncement(versions);
    boolean isFromPeer = table.peers().stream().anyMatch(peer -> peer.name().equals(source));
    if (!isFromPeer) {
      sendToAll(announcement);
    } else if (!table.isInOwnDomain(source)) {
      table.heartbeatTargets().stream()
          .filter(peer -> table.isInOwnDomain(peer.name()))
          .forEach(peer -> sendTo(peer, announcement));
    }
  }

  /** Requests the subtrees that are newer at a peer, unless they were requested a moment ago. */
  private void requestNewer(String from, PeerMessage.SettingsAnnouncement announcement) {
    List<PeerMessage.SubtreeVersion> outdated = new ArrayList<>();
    for (PeerMessage.SubtreeVersion announced : announcement.versions()) {
      long own = settingsManager.tree().subtree(announced.path()).map(Subtree::version).orElse(0L);
      if (own < announced.version() && isNewRequest(announced)) {
        outdated.add(new PeerMessage.SubtreeVersion(announced.path(), own));
      }
    }
    if (!outdated.isEmpty()) {
      sendTo(from, new PeerMessage.SettingsRequest(outdated));
    }
  }

  private boolean isNewRequest(PeerMessage.SubtreeVersion announced) {
    long now = clock.millis();
    RequestedVersion requested = requestedVersions.get(announced.path());
    if (requested != null
        && requested.version() >= announced.version()
        && now - requested.millis() < MIN_REQUEST_INTERVAL_MILLIS) {
      return false;
    }
    requestedVersions.put(announced.path(), new RequestedVersion(announced.version(), now));
    return true;
  }

  private record RequestedVersion(long version, long millis) {}

  void heartbeat(boolean isLeaving, List<PeerMessage.Demand> demands) {
    sendToAll(
        new PeerMessage.Heartbeat(
            entry.name(),
            entry.domain(),
            isLeaving,
            isWriting.getAsBoolean(),
            settingsManager.tree().digest(),
            demands));
  }

  /** Returns the entry responsible for a task of the whole site, such as a ledger shard. */
  String owner(String task) {
    return Rendezvous.first(task, table.writers(isWriting.getAsBoolean()));
  }

  void announceUpstream(String upstream, boolean isLeaving) {
    sendToAll(new PeerMessage.UpstreamReport(upstream, isLeaving));
  }

  /** Asks a peer to commit records; the result may never complete. */
  CompletableFuture<List<LedgerAnswer>> forwardToLedgerOwner(
      String owner, int shard, List<LedgerRecord> records) {
    long id = lastLedgerCallId.incrementAndGet();
    CompletableFuture<List<LedgerAnswer>> answer = new CompletableFuture<>();
    pendingLedgerCalls.put(id, answer);
    answer.whenComplete((a, e) -> pendingLedgerCalls.remove(id));
    if (!sendTo(owner, new PeerMessage.LedgerRequest(id, shard, records))) {
      answer.completeExceptionally(new IllegalStateException("no connection to " + owner));
    }
    return answer;
  }

  @Override
  public void received(String from, PeerMessage message) {
    switch (message) {
      case PeerMessage.Hello hello -> table.recordHello(from, hello);
      case PeerMessage.Heartbeat heartbeat -> heartbeatReceived(from, heartbeat);
      case PeerMessage.SettingsAnnouncement announcement -> requestNewer(from, announcement);
      case PeerMessage.LoadReports reports ->
          reports.lines().forEach(report -> loadListener.reported(report.engine(), report.load()));
      case PeerMessage.SettingsRequest request -> sendNewerSettings(from, request);
      case PeerMessage.SettingsResponse response ->
          settingsManager.accept(response.subtrees(), from);
      case PeerMessage.LedgerRequest request ->
          ledgerOwner
              .commit(request.shard(), request.records())
              .thenAccept(
                  answers -> sendTo(from, new PeerMessage.LedgerResponse(request.id(), answers)));
      case PeerMessage.LedgerResponse response -> {
        CompletableFuture<List<LedgerAnswer>> waiting = pendingLedgerCalls.get(response.id());
        if (waiting != null) {
          waiting.complete(response.answers());
        }
      }
      case PeerMessage.UpstreamReport report ->
          upstreamListener.reported(report.upstream(), report.isLeaving());
    }
  }

  @Override
  public void failed(String peer) {
    table.recordConnectionFailure(peer);
  }

  private void heartbeatReceived(String from, PeerMessage.Heartbeat heartbeat) {
    boolean wasLive = table.live().contains(from);
    table.recordHeartbeat(heartbeat);
    if (!wasLive && !heartbeat.isLeaving()) {
      log.info("peer: {} in {} is live", from, heartbeat.domain());
      timeline.add("peer", from, "is live");
    }
    if (heartbeat.settingsDigest() != settingsManager.tree().digest()) {
      sendTo(from, new PeerMessage.SettingsAnnouncement(ownVersions()));
      sendTo(from, new PeerMessage.SettingsRequest(ownVersions()));
    }
  }

  private List<PeerMessage.SubtreeVersion> ownVersions() {
    List<PeerMessage.SubtreeVersion> versions = new ArrayList<>();
    settingsManager
        .tree()
        .versions()
        .forEach((path, version) -> versions.add(new PeerMessage.SubtreeVersion(path, version)));
    return versions;
  }

  private void sendNewerSettings(String from, PeerMessage.SettingsRequest request) {
    Map<String, Long> peerVersions = new HashMap<>();
    request.versions().forEach(v -> peerVersions.put(v.path(), v.version()));
    List<Subtree> newer =
        settingsManager.tree().subtrees().stream()
            .filter(s -> peerVersions.getOrDefault(s.path(), 0L) < s.version())
            .toList();
    if (!newer.isEmpty()) {
      sendTo(from, new PeerMessage.SettingsResponse(newer));
    }
  }

  private void sendToAll(PeerMessage message) {
    for (PeerTable.PeerSnapshot peer : table.heartbeatTargets()) {
      sendTo(peer, message);
    }
  }

  private boolean sendTo(String name, PeerMessage message) {
    return table.peers().stream()
        .filter(peer -> peer.name().equals(name))
        .findFirst()
        .map(peer -> sendTo(peer, message))
        .orElse(false);
  }

  private boolean sendTo(PeerTable.PeerSnapshot peer, PeerMessage message) {
    if (peer.address().isEmpty()) {
      return false;
    }
    return links.send(peer.name(), Address.parse(peer.address()), message);
  }
}
