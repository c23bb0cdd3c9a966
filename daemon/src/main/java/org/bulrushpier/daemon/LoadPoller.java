package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushpier.Clock;
import org.bulrushpier.Upstream;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.peer.PeerMessage;
import org.bulrushpier.peer.PeerTable;
import org.bulrushpier.routing.EngineLoad;
import org.bulrushpier.routing.Rendezvous;

/**
 * Collects the load reports of engines. Each engine is polled by one entry of its failure domain,
 * which forwards the report to its peers. An engine without a recent report is also polled by this
 * entry.
 *
 * <p>The total number of polls thus grows with the number of replicas, not with replicas times
 * entries. Thread-safe.
 */
final class LoadPoller {

  private static final long TIMEOUT_MILLIS = 400;
  private static final long STALE_REPORT_MILLIS = 2_500;

  private final String self;
  private final HttpCaller caller;
  private final UpstreamTable upstreams;
  private final Peers peers;
  private final Clock clock;
  private final Map<String, EngineLoad> unpublished = new ConcurrentHashMap<>();

  LoadPoller(String self, HttpCaller caller, UpstreamTable upstreams, Peers peers, Clock clock) {
    this.self = self;
    this.caller = caller;
    this.upstreams = upstreams;
    this.peers = peers;
    this.clock = clock;
    peers.setLoadListener(this::applyReport);
  }

  /** Polls the engines assigned to this entry; called a few times per second. */
  void poll() {
    List<PeerTable.PeerSnapshot> live =
        peers.table().peers().stream().filter(PeerTable.PeerSnapshot::isLive).toList();
    for (UpstreamState state : upstreams.all()) {
      if (state.upstream() instanceof Upstream.Engine engine && shouldPoll(state, engine, live)) {
        Thread.ofVirtual().start(() -> poll(state, engine));
      }
    }
  }

  private void poll(UpstreamState state, Upstream.Engine engine) {
    try {
      OutgoingCall call = OutgoingCall.get(engine.address(), "/load").withTimeout(TIMEOUT_MILLIS);
      Reply reply = caller.call(call);
      if (reply.isOk()) {
        EngineLoad load = reply.json(EngineLoad.class);
        applyReport(engine.name(), load);
        unpublished.put(engine.name(), load);
        state.breaker().succeeded();
      }
    } catch (CallFailedException e) {
      state.breaker().failed(clock.millis());
    }
  }

  /** Sends the reports polled since the last call to the peers. */
  void publish() {
    List<PeerMessage.LoadReport> reports = new ArrayList<>();
    unpublished.forEach((engine, load) -> reports.add(new PeerMessage.LoadReport(engine, load)));
    unpublished.clear();
    peers.announceLoads(reports);
  }

  private boolean shouldPoll(
      UpstreamState state, Upstream.Engine engine, List<PeerTable.PeerSnapshot> live) {
    return state.loadAgeMillis(clock.millis()) > STALE_REPORT_MILLIS
        || Rendezvous.first("load-" + engine.name(), candidates(engine, live)).equals(self);
  }

  /**
   * Returns the live entries of the engine's failure domain, or all live entries if it has none.
   */
  private List<String> candidates(Upstream.Engine engine, List<PeerTable.PeerSnapshot> live) {
    List<String> sameDomain = new ArrayList<>();
    List<String> all = new ArrayList<>();
    all.add(self);
    if (engine.domain().equals(peers.domain())) {
      sameDomain.add(self);
    }
    for (PeerTable.PeerSnapshot peer : live) {
      all.add(peer.name());
      if (peer.domain().equals(engine.domain())) {
        sameDomain.add(peer.name());
      }
    }
    return sameDomain.isEmpty() ? all : sameDomain;
  }

  private void applyReport(String engine, EngineLoad load) {
    upstreams
        .state(engine)
        .ifPresent(
            state -> {
              state.setLoad(load, clock.millis());
              if (load.isLeaving() && upstreams.markLeaving(engine, "its load report")) {
                peers.announceUpstream(engine, true);
              }
            });
  }
}
