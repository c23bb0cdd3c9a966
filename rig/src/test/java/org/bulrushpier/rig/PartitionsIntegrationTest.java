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

/** Proof 11: each failure domain, cut off, goes on serving what it can, and limits hold. */
class PartitionsIntegrationTest {

  private static final String CUT = "cut=1&cut-back=1";
  private static final int LIMIT = 20;
  private static final double BURST_SECONDS = 0.25;

  private Site site;

  @BeforeEach
  void start() {
    site = Site.start(SitePlan.small().withUpstreams(2, 1, 1).withCustomers(2, LIMIT));
  }

  @AfterEach
  void stop() {
    site.close();
  }

  private void cut(String entry, boolean fromPeers, boolean fromPlatform, String query) {
    if (fromPeers) {
      site.cutFromPeers(entry, query);
    }
    if (fromPlatform) {
      site.shape(entry + "-platform", query);
    }
  }

  @ParameterizedTest
  @CsvSource({"true,false", "false,true", "true,true"})
  void domainThatIsCutOffGoesOnServing(boolean fromPeers, boolean fromPlatform) {
    cut("entry-2", fromPeers, fromPlatform, CUT);
    Faults.sleep(4_000);
    for (String entry : site.entries()) {
      List<ChatMessage> messages = Chats.conversation("cut" + entry, 50);
      assertThat(Chats.ask(site, entry, 2, messages, 5).text())
          .isEqualTo(Chats.expected(2, "7", messages, 5));
      assertThat(Services.look(site, entry, "17").isDone()).isTrue();
    }
    Services.Told keyed = Services.log(site, "entry-2", "k", "defect");
    checkKeyed(keyed, fromPeers, fromPlatform);
    Services.Told onTheOtherSide = Services.log(site, "entry-1", "k1", "defect1");
    assertThat(onTheOtherSide.isDone()).as(onTheOtherSide.toString()).isTrue();
    cut("entry-2", fromPeers, fromPlatform, "");
    awaitLive("entry-1");
    awaitLive("entry-2");
    Services.Told healed = Services.log(site, "entry-2", "k2", "defect2");
    assertThat(healed.isDone()).as(healed.toString()).isTrue();
  }

  /** An entry cut off from the platform alone may reach the ledger through the shard's owner. */
  private void checkKeyed(Services.Told keyed, boolean fromPeers, boolean fromPlatform) {
    if (!fromPlatform) {
      assertThat(keyed.isDone()).as(keyed.body()).isTrue();
    } else if (fromPeers) {
      assertThat(keyed.isNotRun()).as(keyed.body()).isTrue();
    } else {
      assertThat(keyed.isDone() || keyed.isNotRun()).as(keyed.body()).isTrue();
    }
    int times = Services.ran(site, "records-1").getOrDefault(Services.nameHash("defect"), 0);
    assertThat(times).isEqualTo(keyed.isDone() ? 1 : 0);
  }

  private void awaitLive(String entry) {
    long until = System.currentTimeMillis() + 20_000;
    while (!isPeerLive(entry) && System.currentTimeMillis() < until) {
      Faults.sleep(50);
    }
    assertThat(isPeerLive(entry)).isTrue();
  }

  private boolean isPeerLive(String entry) {
    return site.admin(entry, "/admin/status", Status.class).peers().stream()
        .allMatch(Status.PeerStatus::isLive);
  }

  @Test
  void limitOfOneCustomerHoldsOverBothSidesOfPartition() throws InterruptedException {
    AtomicInteger admitted = new AtomicInteger();
    AtomicBoolean isOver = new AtomicBoolean();
    final Thread first = flood("entry-1", admitted, isOver);
    final Thread second = flood("entry-2", admitted, isOver);
    Faults.sleep(4_000);
    cut("entry-2", true, true, CUT);
    Faults.sleep(5_000);
    int before = admitted.get();
    long begun = System.nanoTime();
    Faults.sleep(6_000);
    final int during = admitted.get() - before;
    final double seconds = (System.nanoTime() - begun) / 1e9;
    isOver.set(true);
    first.join();
    second.join();
    double bound = LIMIT * (seconds + BURST_SECONDS) * 1.05 + site.entries().size();
    assertThat((double) during).isLessThanOrEqualTo(bound);
    assertThat(during).isPositive();
  }

  private Thread flood(String entry, AtomicInteger admitted, AtomicBoolean isOver) {
    return Thread.ofVirtual()
        .start(
            () -> {
              while (!isOver.get()) {
                if (Services.look(site, entry, "1").isDone()) {
                  admitted.incrementAndGet();
                }
                Faults.sleep(10);
              }
            });
  }
}
