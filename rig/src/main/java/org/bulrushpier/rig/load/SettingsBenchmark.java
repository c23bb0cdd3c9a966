package org.bulrushpier.rig.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.bulrushpier.Codec;
import org.bulrushpier.daemon.Status;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;

/**
 * Measures the propagation time of settings: from the acceptance of a change until the last entry
 * has applied it.
 *
 * <p>Immutable and thread-safe.
 */
final class SettingsBenchmark {

  private static final int CHANGES = 200;
  private static final long MAX_LATENCY_MILLIS = 60_000;

  private final SitePlan plan;
  private final long seed;

  SettingsBenchmark(SitePlan plan, long seed) {
    this.plan = plan;
    this.seed = seed;
  }

  /** The results, with propagation times in milliseconds. */
  record Report(int changes, int notAccepted, long p50, long p95, long p100) {}

  Report run() {
    Random random = new Random(seed);
    Histogram latency = new Histogram(MAX_LATENCY_MILLIS, 3);
    int notAccepted = 0;
    try (Site site = Site.start(plan)) {
      for (int i = 0; i < CHANGES; i++) {
        String text =
            site.teamSettings("7").replace("rate-limit = 1000", "rate-limit = " + (500 + i));
        String entry = site.entries().get(random.nextInt(site.entries().size()));
        Reply reply = site.tryChangeSettings(entry, Site.TEAM, Site.TEAM_KEY, text, null);
        if (!reply.isOk()) {
          notAccepted++;
          continue;
        }
        JsonNode verdict = Codec.json().readTree(reply.body());
        latency.recordValue(awaitApplied(site, verdict.path("version").asLong()));
        Faults.sleep(random.nextInt(100));
      }
    }
    return new Report(
        CHANGES,
        notAccepted,
        latency.getValueAtPercentile(50),
        latency.getValueAtPercentile(95),
        latency.getMaxValue());
  }

  private static long awaitApplied(Site site, long version) {
    long startNanos = System.nanoTime();
    List<String> behind = new ArrayList<>(site.entries());
    while (!behind.isEmpty() && millisSince(startNanos) < MAX_LATENCY_MILLIS) {
      behind.removeIf(
          entry ->
              site.readAdmin(entry, "/admin/status", Status.class)
                      .settings()
                      .getOrDefault(Site.TEAM, 0L)
                  >= version);
    }
    return Math.min(MAX_LATENCY_MILLIS, millisSince(startNanos));
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }
}
