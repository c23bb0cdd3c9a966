package org.bulrushpier.rig.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.site.Site;

/**
 * Samples the utilization of the cache stores' links during a run.
 *
 * <p>Thread-safe.
 */
final class LinkMonitor {

  private static final long SAMPLE_MILLIS = 1_000;
  private static final int WINDOW_SAMPLES = 3;

  private final Site site;
  private final List<String> stores;
  private final AtomicBoolean isStopped = new AtomicBoolean();
  private final List<Thread> threads = new ArrayList<>();
  private long totalBytes;
  private double maxUtilization;

  private LinkMonitor(Site site, List<String> stores) {
    this.site = site;
    this.stores = stores;
  }

  static LinkMonitor start(Site site, int storeCount, long bytesPerSecond) {
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= storeCount; i++) {
      names.add("store-" + i);
    }
    LinkMonitor monitor = new LinkMonitor(site, names);
    for (String store : names) {
      monitor.threads.add(Thread.ofVirtual().start(() -> monitor.sample(store, bytesPerSecond)));
    }
    return monitor;
  }

  private record Counts(int blocks, long linkBytes) {}

  private void sample(String store, long bytesPerSecond) {
    List<Long> samples = new ArrayList<>();
    while (!isStopped.get()) {
      samples.add(readLinkBytes(store, samples.isEmpty() ? 0 : samples.get(samples.size() - 1)));
      int latest = samples.size() - 1;
      if (latest >= WINDOW_SAMPLES) {
        recordUtilization(
            (samples.get(latest) - samples.get(latest - WINDOW_SAMPLES))
                / (double) WINDOW_SAMPLES
                / bytesPerSecond);
      }
      Faults.sleep(SAMPLE_MILLIS);
    }
    addTransferred(samples.get(samples.size() - 1) - samples.get(0));
  }

  private long readLinkBytes(String store, long fallback) {
    try {
      Reply reply = site.caller().call(OutgoingCall.get(site.address(store), "/counts"));
      return reply.json(Counts.class).linkBytes();
    } catch (CallFailedException e) {
      return fallback;
    }
  }

  private synchronized void recordUtilization(double utilization) {
    maxUtilization = Math.max(maxUtilization, utilization);
  }

  private synchronized void addTransferred(long transferred) {
    totalBytes += transferred;
  }

  /** Stops sampling and returns the link usage of the run. */
  Usage stop() throws InterruptedException {
    isStopped.set(true);
    for (Thread thread : threads) {
      thread.join();
    }
    double imported = 0;
    double exported = 0;
    for (String entry : site.entries()) {
      imported += metric(entry, "bulrushpier_cache_imported_bytes_total");
      exported += metric(entry, "bulrushpier_cache_exported_bytes_total");
    }
    return new Usage(totalBytes, (long) imported, (long) exported, Rounded.of(maxUtilization));
  }

  private double metric(String entry, String name) {
    String text =
        new String(site.caller().call(OutgoingCall.get(site.address(entry), "/metrics")).body());
    return text.lines()
        .filter(line -> line.startsWith(name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
        .sum();
  }

  /**
   * The usage of the links during a run. Immutable and thread-safe.
   *
   * @param linkBytes bytes transferred over all links
   * @param importedBytes bytes that engines imported at the request of the entries
   * @param exportedBytes bytes that engines exported at the request of the entries
   * @param busiestShare the highest three-second average throughput of a single link, as a share of
   *     its bandwidth
   */
  record Usage(long linkBytes, long importedBytes, long exportedBytes, double busiestShare) {}
}
