package org.bulrushpier.daemon;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.bulrushpier.Clock;
import org.bulrushpier.Upstream;
import org.bulrushpier.settings.EntrySettings;

/**
 * Assembles the status of this entry.
 *
 * <p>Thread-safe.
 */
final class StatusReporter {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EntrySettings entry;
  private final SettingsManager settingsManager;
  private final Peers peers;
  private final UpstreamTable upstreams;
  private final AdmissionController admission;
  private final PlatformClient platform;
  private final Clock clock;
  private final BooleanSupplier isLeaving;
  private final BooleanSupplier isPlatformReachable;
  private final long startMillis;

  StatusReporter(
      EntrySettings entry,
      SettingsManager settingsManager,
      Peers peers,
      UpstreamTable upstreams,
      AdmissionController admission,
      PlatformClient platform,
      Clock clock,
      BooleanSupplier isLeaving,
      BooleanSupplier isPlatformReachable) {
    this.entry = entry;
    this.settingsManager = settingsManager;
    this.peers = peers;
    this.upstreams = upstreams;
    this.admission = admission;
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
        settingsManager.tree().versions(),
        settingsManager.settings().findings(),
        admission.inFlight(),
        peerStatuses(),
        upstreamStatuses(),
        controlCost());
  }

  private List<Status.PeerStatus> peerStatuses() {
    long digest = settingsManager.tree().digest();
    return peers.table().peers().stream()
        .map(
            peer ->
                new Status.PeerStatus(
                    peer.name(), peer.domain(), peer.isLive(), peer.settingsDigest() == digest))
        .toList();
  }

  private List<Status.UpstreamStatus> upstreamStatuses() {
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

  private Status.ControlCost controlCost() {
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
