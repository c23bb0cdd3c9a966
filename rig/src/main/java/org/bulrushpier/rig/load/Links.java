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
 * Watches the stores' links during a run.
 *
 * <p>Thread-safe.
 */
final class Links {

  private static final long SAMPLE_MILLIS = 1_000;
  private static final int SMOOTHED_SAMPLES = 3;

  private final Site site;
  private final List<String> stores;
  private final AtomicBoolean isOver = new AtomicBoolean();
  private final List<Thread> threads = new ArrayList<>();
  private long bytes;
  private double busiest;

  private Links(Site site, List<String> stores) {
    this.site = site;
    this.stores = stores;
  }

  static Links watch(Site site, int storeCount, long budget) {
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= storeCount; i++) {
      names.add("store-" + i);
    }
    Links links = new Links(site, names);
    for (String store : names) {
      links.threads.add(Thread.ofVirtual().start(() -> links.sample(store, budget)));
    }
    return links;
  }

  private record Counts(int blocks, long linkBytes) {}

  private void sample(String store, long budget) {
    List<Long> totals = new ArrayList<>();
    while (!isOver.get()) {
      totals.add(read(store, totals.isEmpty() ? 0 : totals.get(totals.size() - 1)));
      int last = totals.size() - 1;
      if (last >= SMOOTHED_SAMPLES) {
        note(
            (totals.get(last) - totals.get(last - SMOOTHED_SAMPLES))
                / (double) SMOOTHED_SAMPLES
                / budget);
      }
      Faults.sleep(SAMPLE_MILLIS);
    }
    add(totals.get(totals.size() - 1) - totals.get(0));
  }

  private long read(String store, long otherwise) {
    try {
      Reply reply = site.caller().call(OutgoingCall.get(site.address(store), "/counts"));
      return reply.json(Counts.class).linkBytes();
    } catch (CallFailedException e) {
      return otherwise;
    }
  }

  private synchronized void note(double use) {
    busiest = Math.max(busiest, use);
  }

  private synchronized void add(long moved) {
    bytes += moved;
  }

  /** Ends the watch. */
  Use end() throws InterruptedException {
    isOver.set(true);
    for (Thread thread : threads) {
      thread.join();
    }
    double imported = 0;
    double exported = 0;
    for (String entry : site.entries()) {
      imported += metric(entry, "bulrushpier_cache_imported_bytes_total");
      exported += metric(entry, "bulrushpier_cache_exported_bytes_total");
    }
    return new Use(bytes, (long) imported, (long) exported, Rounded.of(busiest));
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
   * How the links were used. Immutable and thread-safe.
   *
   * @param linkBytes bytes over all links
   * @param importedBytes bytes that entries had engines import
   * @param exportedBytes bytes that entries had engines export
   * @param busiestShare the largest use of a link over three seconds, as a share of its budget
   */
  record Use(long linkBytes, long importedBytes, long exportedBytes, double busiestShare) {}
}
