package org.bulrushpier.daemon;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.bulrushpier.Clock;
import org.bulrushpier.Upstream;
import org.bulrushpier.settings.EntrySettings;

/**
 * Gathers the status of this entry.
 *
 * <p>Thread-safe.
 */
final class StatusReporter {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EntrySettings entry;
  private final SettingsKeeper keeper;
  private final Peers peers;
  private final UpstreamTable upstreams;
  private final Gate gate;
  private final PlatformClient platform;
  private final Clock clock;
  private final BooleanSupplier isLeaving;
  private final BooleanSupplier isPlatformReachable;
  private final long startMillis;

  StatusReporter(
      EntrySettings entry,
      SettingsKeeper keeper,
      Peers peers,
      UpstreamTable upstreams,
      Gate gate,
      PlatformClient platform,
      Clock clock,
      BooleanSupplier isLeaving,
      BooleanSupplier isPlatformReachable) {
    this.entry = entry;
    this.keeper = keeper;
    this.peers = peers;
    this.upstreams = upstreams;
    this.gate = gate;
    this.platform = platform;
    this.clock = clock;
    this.isLeaving = isLeaving;
    this.isPlatformReachable = isPlatformReachable;
    this.startMillis = clock.millis();
  }

  Status report() {
    return new Status(
        entry.name(),
        entry.domain(),
        isLeaving.getAsBoolean(),
        isPlatformReachable.getAsBoolean(),
        keeper.tree().versions(),
        keeper.settings().findings(),
        gate.inFlight(),
        peerLines(),
        upstreamLines(),
        control());
  }

  private List<Status.PeerStatus> peerLines() {
    long digest = keeper.tree().digest();
    return peers.table().peers().stream()
        .map(
            peer ->
                new Status.PeerStatus(
                    peer.name(), peer.domain(), peer.isLive(), peer.settingsDigest() == digest))
        .toList();
  }

  private List<Status.UpstreamStatus> upstreamLines() {
    long now = clock.millis();
    return upstreams.all().stream()
        .map(
            state ->
                new Status.UpstreamStatus(
                    state.upstream().name(),
                    kind(state.upstream()),
                    state.upstream().domain(),
                    !state.isLeaving(now) && state.breaker().isUsable(now),
                    state.isLeaving(now),
                    state.inFlight().get(),
                    state.load().weightVersion()))
        .sorted((a, b) -> a.name().compareTo(b.name()))
        .toList();
  }

  private static String kind(Upstream upstream) {
    return switch (upstream) {
      case Upstream.Engine engine -> "engine";
      case Upstream.Service service -> "service";
      case Upstream.Store store -> "store";
    };
  }

  private Status.ControlCost control() {
    Runtime runtime = Runtime.getRuntime();
    return new Status.ControlCost(
        clock.millis() - startMillis,
        peers.links().bytesSent(),
        peers.links().bytesReceived(),
        peers.links().framesSent(),
        platform.reads(),
        platform.writes(),
        cpuMillis(),
        runtime.totalMemory() - runtime.freeMemory());
  }

  private static long cpuMillis() {
    return ManagementFactory.getOperatingSystemMXBean()
            instanceof com.sun.management.OperatingSystemMXBean os
        ? os.getProcessCpuTime() / NANOS_PER_MILLI
        : 0;
  }
}
