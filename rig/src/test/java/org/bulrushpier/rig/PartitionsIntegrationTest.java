package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.daemon.Status;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies proof 11: a partitioned failure domain continues to serve what does not depend on the
 * other side, and rate limits hold across the partition.
 */
class PartitionsIntegrationTest {

  private static final String CUT = "cut=1&cut-back=1";
  private static final int CALLS_PER_SECOND_LIMIT = 20;
  private static final double BURST_SECONDS = 0.25;

  private Site site;

  @BeforeEach
  void start() {
    site =
        Site.start(
            SitePlan.small().withUpstreams(2, 1, 1).withCustomers(2, CALLS_PER_SECOND_LIMIT));
  }

  @AfterEach
  void stop() {
    site.close();
  }

  private void setPartition(String entry, boolean fromPeers, boolean fromPlatform, String query) {
    if (fromPeers) {
      site.partitionFromPeers(entry, query);
    }
    if (fromPlatform) {
      site.configureLink(entry + "-platform", query);
    }
  }

  @ParameterizedTest
  @CsvSource({"true,false", "false,true", "true,true"})
  void domainThatIsCutOffGoesOnServing(boolean fromPeers, boolean fromPlatform) {
    setPartition("entry-2", fromPeers, fromPlatform, CUT);
    Faults.sleep(4_000);
    for (String entry : site.entries()) {
      List<ChatMessage> messages = ChatClient.conversation("cut" + entry, 50);
      assertThat(ChatClient.send(site, entry, 2, messages, 5).text())
          .isEqualTo(ChatClient.expectedAnswer(2, "7", messages, 5));
      assertThat(ServiceClient.readFrame(site, entry, "17").isDone()).isTrue();
    }
    ServiceClient.Result keyed = ServiceClient.logDefect(site, "entry-2", "k", "defect");
    verifyKeyedCall(keyed, fromPeers, fromPlatform);
    ServiceClient.Result onTheOtherSide = ServiceClient.logDefect(site, "entry-1", "k1", "defect1");
    assertThat(onTheOtherSide.isDone()).as(onTheOtherSide.toString()).isTrue();
    setPartition("entry-2", fromPeers, fromPlatform, "");
    awaitPeersLive("entry-1");
    awaitPeersLive("entry-2");
    ServiceClient.Result healed = ServiceClient.logDefect(site, "entry-2", "k2", "defect2");
    assertThat(healed.isDone()).as(healed.toString()).isTrue();
  }

  /**
   * Verifies the outcome of a keyed call during the partition. An entry that is cut off only from
   * the platform may still reach the ledger through the shard's owner.
   */
  private void verifyKeyedCall(
      ServiceClient.Result keyed, boolean fromPeers, boolean fromPlatform) {
    if (!fromPlatform) {
      assertThat(keyed.isDone()).as(keyed.body()).isTrue();
    } else if (fromPeers) {
      assertThat(keyed.isNotRun()).as(keyed.body()).isTrue();
    } else {
      assertThat(keyed.isDone() || keyed.isNotRun()).as(keyed.body()).isTrue();
    }
    int times =
        ServiceClient.executionCounts(site, "records-1")
            .getOrDefault(ServiceClient.nameHash("defect"), 0);
    assertThat(times).isEqualTo(keyed.isDone() ? 1 : 0);
  }

  private void awaitPeersLive(String entry) {
    long deadline = System.currentTimeMillis() + 20_000;
    while (!areAllPeersLive(entry) && System.currentTimeMillis() < deadline) {
      Faults.sleep(50);
    }
    assertThat(areAllPeersLive(entry)).isTrue();
  }

  private boolean areAllPeersLive(String entry) {
    return site.readAdmin(entry, "/admin/status", Status.class).peers().stream()
        .allMatch(Status.PeerStatus::isLive);
  }

  @Test
  void limitOfOneCustomerHoldsOverBothSidesOfPartition() throws InterruptedException {
    AtomicInteger admitted = new AtomicInteger();
    AtomicBoolean isStopped = new AtomicBoolean();
    final Thread first = callUntilStopped("entry-1", admitted, isStopped);
    final Thread second = callUntilStopped("entry-2", admitted, isStopped);
    Faults.sleep(4_000);
    setPartition("entry-2", true, true, CUT);
    Faults.sleep(5_000);
    int admittedBefore = admitted.get();
    long startNanos = System.nanoTime();
    Faults.sleep(6_000);
    final int admittedDuringPartition = admitted.get() - admittedBefore;
    final double seconds = (System.nanoTime() - startNanos) / 1e9;
    isStopped.set(true);
    first.join();
    second.join();
    double bound =
        CALLS_PER_SECOND_LIMIT * (seconds + BURST_SECONDS) * 1.05 + site.entries().size();
    assertThat((double) admittedDuringPartition).isLessThanOrEqualTo(bound);
    assertThat(admittedDuringPartition).isPositive();
  }

  private Thread callUntilStopped(String entry, AtomicInteger admitted, AtomicBoolean isStopped) {
    return Thread.ofVirtual()
        .start(
            () -> {
              while (!isStopped.get()) {
                if (ServiceClient.readFrame(site, entry, "1").isDone()) {
                  admitted.incrementAndGet();
                }
                Faults.sleep(10);
              }
            });
  }
}
