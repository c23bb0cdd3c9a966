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
 * This entry among its peers: sends heartbeats, hands on settings, asks ledger owners.
 *
 * <p>Thread-safe. Lock order: the table's lock is taken alone.
 */
final class Peers implements PeerLinks.Receiver {

  private static final Logger log = LoggerFactory.getLogger("peer");
  private static final long ASK_AGAIN_MILLIS = 300;

  private final EntrySettings entry;
  private final PeerTable table;
  private final PeerLinks links;
  private final SettingsKeeper keeper;
  private final Timeline timeline;
  private final Map<Long, CompletableFuture<List<LedgerAnswer>>> asked = new ConcurrentHashMap<>();
  private final Map<String, AskedFor> askedFor = new ConcurrentHashMap<>();
  private final Clock clock;
  private final BooleanSupplier isWriting;
  private final AtomicLong askId = new AtomicLong();
  private volatile LedgerOwner ledgerOwner =
      (shard, records) -> CompletableFuture.failedFuture(new IllegalStateException("starting"));
  private volatile LoadListener loadListener = (engine, load) -> {};
  private volatile UpstreamListener upstreamListener = (upstream, isLeaving) -> {};

  Peers(
      EntrySettings entry,
      Clock clock,
      SettingsKeeper keeper,
      Timeline timeline,
      BooleanSupplier isWriting) {
    this.isWriting = isWriting;
    this.entry = entry;
    this.clock = clock;
    this.keeper = keeper;
    this.timeline = timeline;
    this.table = PeerTable.of(entry.name(), entry.domain(), clock);
    for (EntrySettings.Contact contact : entry.contacts()) {
      table.addContact(contact.name(), contact.address().toString(), contact.domain());
    }
    PeerMessage.Hello hello = new PeerMessage.Hello(entry.domain(), entry.peerAddress().toString());
    this.links = PeerLinks.start(entry.name(), entry.peerAddress(), hello, timeline.clock(), this);
    keeper.onChange(this::tellNews);
  }

  /** Commits records on behalf of a peer. */
  interface LedgerOwner {
    CompletableFuture<List<LedgerAnswer>> commit(int shard, List<LedgerRecord> records);
  }

  /** Hears what a peer saw of an upstream. */
  interface UpstreamListener {
    void seen(String upstream, boolean isLeaving);
  }

  /** Hears loads that a peer polled. */
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

  void tellLoads(List<PeerMessage.LoadReport> lines) {
    if (!lines.isEmpty()) {
      sendToAll(new PeerMessage.LoadReports(lines));
    }
  }

  /**
   * Passes news on where its source has not: changes from the platform or an operator to all peers,
   * changes from another failure domain to the own one.
   */
  private void tellNews(List<Subtree> newer, String source) {
    List<PeerMessage.SubtreeVersion> versions =
        newer.stream().map(s -> new PeerMessage.SubtreeVersion(s.path(), s.version())).toList();
    PeerMessage news = new PeerMessage.SettingsAnnouncement(versions);
    boolean isFromPeer = table.peers().stream().anyMatch(peer -> peer.name().equals(source));
    if (!isFromPeer) {
      sendToAll(news);
    } else if (!table.isInOwnDomain(source)) {
      table.heartbeatTargets().stream()
          .filter(peer -> table.isInOwnDomain(peer.name()))
          .forEach(peer -> sendTo(peer, news));
    }
  }

  /** Asks for what is newer there, unless it was asked for a moment ago. */
  private void askFor(String from, PeerMessage.SettingsAnnouncement news) {
    List<PeerMessage.SubtreeVersion> behind = new ArrayList<>();
    for (PeerMessage.SubtreeVersion line : news.versions()) {
      long own = keeper.tree().subtree(line.path()).map(Subtree::version).orElse(0L);
      if (own < line.version() && isFirstAsk(line)) {
        behind.add(new PeerMessage.SubtreeVersion(line.path(), own));
      }
    }
    if (!behind.isEmpty()) {
      sendTo(from, new PeerMessage.SettingsRequest(behind));
    }
  }

  private boolean isFirstAsk(PeerMessage.SubtreeVersion line) {
    long now = clock.millis();
    AskedFor asked = askedFor.get(line.path());
    if (asked != null
        && asked.version() >= line.version()
        && now - asked.millis() < ASK_AGAIN_MILLIS) {
      return false;
    }
    askedFor.put(line.path(), new AskedFor(line.version(), now));
    return true;
  }

  private record AskedFor(long version, long millis) {}

  void heartbeat(boolean isLeaving, List<PeerMessage.Demand> demands) {
    sendToAll(
        new PeerMessage.Heartbeat(
            entry.name(),
            entry.domain(),
            isLeaving,
            isWriting.getAsBoolean(),
            keeper.tree().digest(),
            demands));
  }

  /** The entry that carries a duty of the whole site, such as a ledger shard. */
  String owner(String duty) {
    return Rendezvous.first(duty, table.writers(isWriting.getAsBoolean()));
  }

  void tellUpstream(String upstream, boolean isLeaving) {
    sendToAll(new PeerMessage.UpstreamReport(upstream, isLeaving));
  }

  /** Asks a peer to commit records; the answer may never come. */
  CompletableFuture<List<LedgerAnswer>> askLedger(
      String owner, int shard, List<LedgerRecord> records) {
    long id = askId.incrementAndGet();
    CompletableFuture<List<LedgerAnswer>> answer = new CompletableFuture<>();
    asked.put(id, answer);
    answer.whenComplete((a, e) -> asked.remove(id));
    if (!sendTo(owner, new PeerMessage.LedgerRequest(id, shard, records))) {
      answer.completeExceptionally(new IllegalStateException("no link to " + owner));
    }
    return answer;
  }

  @Override
  public void received(String from, PeerMessage message) {
    switch (message) {
      case PeerMessage.Hello hello -> table.recordHello(from, hello);
      case PeerMessage.Heartbeat heartbeat -> heard(from, heartbeat);
      case PeerMessage.SettingsAnnouncement news -> askFor(from, news);
      case PeerMessage.LoadReports loads ->
          loads.lines().forEach(line -> loadListener.reported(line.engine(), line.load()));
      case PeerMessage.SettingsRequest ask -> answerSettings(from, ask);
      case PeerMessage.SettingsResponse offer -> keeper.accept(offer.subtrees(), from);
      case PeerMessage.LedgerRequest ask ->
          ledgerOwner
              .commit(ask.shard(), ask.records())
              .thenAccept(
                  answers -> sendTo(from, new PeerMessage.LedgerResponse(ask.id(), answers)));
      case PeerMessage.LedgerResponse reply -> {
        CompletableFuture<List<LedgerAnswer>> waiting = asked.get(reply.id());
        if (waiting != null) {
          waiting.complete(reply.answers());
        }
      }
      case PeerMessage.UpstreamReport seen ->
          upstreamListener.seen(seen.upstream(), seen.isLeaving());
    }
  }

  @Override
  public void failed(String peer) {
    table.recordConnectionFailure(peer);
  }

  private void heard(String from, PeerMessage.Heartbeat heartbeat) {
    boolean wasLive = table.live().contains(from);
    table.recordHeartbeat(heartbeat);
    if (!wasLive && !heartbeat.isLeaving()) {
      log.info("peer: {} in {} is live.", from, heartbeat.domain());
      timeline.add("peer", from, "is live");
    }
    if (heartbeat.settingsDigest() != keeper.tree().digest()) {
      sendTo(from, new PeerMessage.SettingsAnnouncement(ownVersions()));
      sendTo(from, new PeerMessage.SettingsRequest(ownVersions()));
    }
  }

  private List<PeerMessage.SubtreeVersion> ownVersions() {
    List<PeerMessage.SubtreeVersion> versions = new ArrayList<>();
    keeper
        .tree()
        .versions()
        .forEach((path, version) -> versions.add(new PeerMessage.SubtreeVersion(path, version)));
    return versions;
  }

  private void answerSettings(String from, PeerMessage.SettingsRequest ask) {
    Map<String, Long> theirs = new HashMap<>();
    ask.versions().forEach(v -> theirs.put(v.path(), v.version()));
    List<Subtree> newer =
        keeper.tree().subtrees().stream()
            .filter(s -> theirs.getOrDefault(s.path(), 0L) < s.version())
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
