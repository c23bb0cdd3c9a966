package org.bulrushpier.rig.load;

import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.daemon.Status;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;

/**
 * Measures the cost of the control plane at an idle entry as a function of the number of peers,
 * replicas and customers.
 *
 * <p>Immutable and thread-safe.
 */
final class ControlPlaneBenchmark {

  private static final int DURATION_SECONDS = 20;
  private static final long SETTLE_MILLIS = 8_000;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final double PERCENT = 100.0;

  /**
   * The result of one configuration. Peer bytes are the sum of both directions; the heap is the
   * heap in use after the run, including garbage.
   */
  record Row(
      int entries,
      int engines,
      int customers,
      double peerBytesPerSecond,
      double peerFramesPerSecond,
      double platformReadsPerSecond,
      double platformWritesPerSecond,
      double corePercent,
      double heapMegabytes,
      double residentMegabytes) {}

  List<Row> run() {
    SitePlan base = SitePlan.small().withEntries(3).withUpstreams(1, 1, 1);
    List<Row> rows = new ArrayList<>();
    rows.add(measure(base));
    rows.add(measure(base.withEntries(6)));
    rows.add(measure(base.withEntries(12)));
    rows.add(measure(base.withEntries(24)));
    rows.add(measure(base.withUpstreams(6, 1, 1)));
    rows.add(measure(base.withUpstreams(18, 1, 1)));
    rows.add(measure(base.withCustomers(100, 100)));
    rows.add(measure(base.withCustomers(1_000, 100)));
    return rows;
  }

  private static Row measure(SitePlan plan) {
    try (Site site = Site.start(plan)) {
      Faults.sleep(SETTLE_MILLIS);
      Status.ControlCost before = controlCost(site);
      Faults.sleep((long) (DURATION_SECONDS * MILLIS_PER_SECOND));
      Status.ControlCost after = controlCost(site);
      double seconds = (after.upMillis() - before.upMillis()) / MILLIS_PER_SECOND;
      long bytes =
          after.peerBytesSent()
              - before.peerBytesSent()
              + after.peerBytesReceived()
              - before.peerBytesReceived();
      return new Row(
          plan.entries(),
          plan.engines(),
          plan.customers(),
          Rounded.of(bytes / seconds),
          Rounded.of((after.peerFramesSent() - before.peerFramesSent()) / seconds),
          Rounded.of((after.platformReads() - before.platformReads()) / seconds),
          Rounded.of((after.platformWrites() - before.platformWrites()) / seconds),
          Rounded.of(
              (after.cpuMillis() - before.cpuMillis()) / MILLIS_PER_SECOND / seconds * PERCENT),
          Rounded.of(after.heapBytes() / 1e6),
          Rounded.of(site.launcher().residentBytes("entry-1") / 1e6));
    }
  }

  private static Status.ControlCost controlCost(Site site) {
    return site.readAdmin("entry-1", "/admin/status", Status.class).control();
  }
}
