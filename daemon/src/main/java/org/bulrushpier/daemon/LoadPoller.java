package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushpier.Clock;
import org.bulrushpier.Upstream;
import org.bulrushpier.daemon.http.CallFailed;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.peer.PeerMessage;
import org.bulrushpier.peer.PeerTable;
import org.bulrushpier.routing.EngineLoad;
import org.bulrushpier.routing.Rendezvous;

/**
 * Reads engines' load reports: each engine is polled by one entry of its failure domain, which
 * hands the report to its peers. An engine without a recent report is polled here all the same.
 *
 * <p>Polls thus grow with replicas for each entry, not with replicas times entries. Thread-safe.
 */
final class LoadPoller {

  private static final long TIMEOUT_MILLIS = 400;
  private static final long STALE_MILLIS = 2_500;

  private final String self;
  private final HttpCaller caller;
  private final UpstreamTable upstreams;
  private final Peers peers;
  private final Clock clock;
  private final Map<String, EngineLoad> polled = new ConcurrentHashMap<>();

  LoadPoller(String self, HttpCaller caller, UpstreamTable upstreams, Peers peers, Clock clock) {
    this.self = self;
    this.caller = caller;
    this.upstreams = upstreams;
    this.peers = peers;
    this.clock = clock;
    peers.setLoadListener(this::reported);
  }

  /** Polls the engines that fall to this entry; called a few times a second. */
  void poll() {
    List<PeerTable.PeerSnapshot> live =
        peers.table().peers().stream().filter(PeerTable.PeerSnapshot::isLive).toList();
    for (UpstreamState state : upstreams.all()) {
      if (state.upstream() instanceof Upstream.Engine engine && isDue(state, engine, live)) {
        Thread.ofVirtual().start(() -> poll(state, engine));
      }
    }
  }

  private void poll(UpstreamState state, Upstream.Engine engine) {
    try {
      OutCall call = OutCall.get(engine.address(), "/load").withTimeout(TIMEOUT_MILLIS);
      Reply reply = caller.call(call);
      if (reply.isOk()) {
        EngineLoad load = reply.json(EngineLoad.class);
        reported(engine.name(), load);
        polled.put(engine.name(), load);
        state.breaker().succeeded();
      }
    } catch (CallFailed e) {
      state.breaker().failed(clock.millis());
    }
  }

  /** Hands what was polled since the last call to the peers. */
  void tell() {
    List<PeerMessage.LoadReport> lines = new ArrayList<>();
    polled.forEach((engine, load) -> lines.add(new PeerMessage.LoadReport(engine, load)));
    polled.clear();
    peers.tellLoads(lines);
  }

  private boolean isDue(
      UpstreamState state, Upstream.Engine engine, List<PeerTable.PeerSnapshot> live) {
    return state.loadAgeMillis(clock.millis()) > STALE_MILLIS
        || Rendezvous.first("load-" + engine.name(), candidates(engine, live)).equals(self);
  }

  /** The entries of the engine's failure domain, or all live ones if it has none. */
  private List<String> candidates(Upstream.Engine engine, List<PeerTable.PeerSnapshot> live) {
    List<String> near = new ArrayList<>();
    List<String> all = new ArrayList<>();
    all.add(self);
    if (engine.domain().equals(peers.domain())) {
      near.add(self);
    }
    for (PeerTable.PeerSnapshot peer : live) {
      all.add(peer.name());
      if (peer.domain().equals(engine.domain())) {
        near.add(peer.name());
      }
    }
    return near.isEmpty() ? all : near;
  }

  private void reported(String engine, EngineLoad load) {
    upstreams
        .state(engine)
        .ifPresent(
            state -> {
              state.setLoad(load, clock.millis());
              if (load.isLeaving() && upstreams.leaving(engine, "its load report")) {
                peers.tellUpstream(engine, true);
              }
            });
  }
}
