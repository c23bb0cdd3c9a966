package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.daemon.Status;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Verifies proof 9: an accepted configuration is applied by every entry and is never reverted. */
class SettingsIntegrationTest {

  private static final long PROPAGATION_TIMEOUT_MILLIS = 30_000;

  private Site site;

  @BeforeEach
  void start() {
    site = Site.start(SitePlan.small().withEntries(3).withUpstreams(1, 1, 1));
  }

  @AfterEach
  void stop() {
    site.close();
  }

  private long version(String entry) {
    return site.readAdmin(entry, "/admin/status", Status.class)
        .settings()
        .getOrDefault(Site.TEAM, 0L);
  }

  private void awaitVersion(String entry, long expected) {
    long deadline = System.currentTimeMillis() + PROPAGATION_TIMEOUT_MILLIS;
    while (version(entry) < expected && System.currentTimeMillis() < deadline) {
      Faults.sleep(20);
    }
    assertThat(version(entry)).as(entry).isGreaterThanOrEqualTo(expected);
  }

  private Reply change(String entry, int rate, Long expected) {
    String text = site.teamSettings("7").replace("rate-limit = 1000", "rate-limit = " + rate);
    return site.tryChangeSettings(entry, Site.TEAM, Site.TEAM_KEY, text, expected);
  }

  @Test
  void onlyOneOfConcurrentChangesIsAcceptedAndOthersConflict() throws InterruptedException {
    long before = version("entry-1");
    Map<String, Reply> replies = new ConcurrentHashMap<>();
    List<Thread> operators = new ArrayList<>();
    for (String entry : site.entries()) {
      operators.add(Thread.ofVirtual().start(() -> replies.put(entry, change(entry, 500, before))));
    }
    for (Thread operator : operators) {
      operator.join();
    }
    assertThat(replies.values().stream().filter(Reply::isOk)).hasSize(1);
    assertThat(replies.values().stream().filter(r -> r.status() == 409)).hasSize(2);
    assertThat(replies.values().stream().filter(r -> r.status() == 409))
        .allMatch(r -> new String(r.body()).contains("version " + before + " was expected"));
  }

  @Test
  void onlyOperatorsOfSubtreeOrItsParentMayChangeIt() {
    Reply byTeam =
        site.tryChangeSettings("entry-1", "site", Site.TEAM_KEY, site.rootSettings(), null);
    assertThat(byTeam.status()).isEqualTo(403);
    Reply byStranger = site.tryChangeSettings("entry-1", Site.TEAM, "stranger", "", null);
    assertThat(byStranger.status()).isEqualTo(401);
    Reply byRoot =
        site.tryChangeSettings("entry-1", Site.TEAM, Site.ROOT_KEY, site.teamSettings("7"), null);
    assertThat(byRoot.isOk()).isTrue();
  }

  @Test
  void invalidTextIsRejectedWithAllFindings() {
    Reply reply =
        site.tryChangeSettings(
            "entry-1", Site.TEAM, Site.TEAM_KEY, "[customer x]\nrate-limit = y\n[z]\n", null);
    assertThat(reply.status()).isEqualTo(422);
    assertThat(new String(reply.body()))
        .contains("key-sha256", "is missing", "'y' is not a whole number", "not a known kind");
  }

  @Test
  void changeIsAcceptedWhenTheWriteResponseIsLost() {
    site.setFault("platform", "lose-answers", 1);
    assertThat(change("entry-2", 400, null).isOk()).isTrue();
    awaitVersion("entry-1", version("entry-2"));
    awaitVersion("entry-3", version("entry-2"));
  }

  @Test
  void entryThatStartsWithoutThePlatformReceivesSettingsFromPeers() {
    final long version = version("entry-1");
    site.configureLink("entry-2-platform", "refuse=1");
    site.signal("entry-2", "KILL");
    Faults.sleep(200);
    site.restart("entry-2");
    awaitVersion("entry-2", version);
  }

  @Test
  void entryPartitionedFromThePlatformReceivesChangesFromPeers() {
    site.configureLink("entry-3-platform", "cut=1&cut-back=1");
    assertThat(change("entry-1", 300, null).isOk()).isTrue();
    awaitVersion("entry-3", version("entry-1"));
  }

  @Test
  void isolatedEntryCatchesUpWhenThePartitionHeals() {
    setPartition("entry-3", "cut=1&cut-back=1");
    assertThat(change("entry-1", 300, null).isOk()).isTrue();
    Faults.sleep(1_000);
    assertThat(version("entry-3")).isLessThan(version("entry-1"));
    setPartition("entry-3", "");
    awaitVersion("entry-3", version("entry-1"));
  }

  private void setPartition(String entry, String query) {
    site.configureLink(entry + "-platform", query);
    site.partitionFromPeers(entry, query);
  }

  /**
   * Operators change the settings concurrently through two entries while the third is killed and
   * the platform loses a response and has outages.
   */
  @Test
  void noEntryRevertsAndEveryAcceptedChangePropagates() throws InterruptedException {
    AtomicBoolean isStopped = new AtomicBoolean();
    AtomicInteger accepted = new AtomicInteger();
    Map<String, String> reversions = new ConcurrentHashMap<>();
    List<Thread> threads = new ArrayList<>();
    for (String entry : List.of("entry-1", "entry-2")) {
      threads.add(Thread.ofVirtual().start(() -> changeUntilStopped(isStopped, entry, accepted)));
      threads.add(Thread.ofVirtual().start(() -> watchUntilStopped(isStopped, entry, reversions)));
    }
    for (int i = 0; i < 4; i++) {
      site.signal("entry-3", "KILL");
      site.setFault("platform", "lose-answers", 1);
      Faults.sleep(300);
      site.restart("entry-3");
      site.setFault("platform", "outage", 1);
      Faults.sleep(700);
      site.setFault("platform", "outage", 0);
      Faults.sleep(300);
    }
    isStopped.set(true);
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(reversions).isEmpty();
    assertThat(accepted.get()).isGreaterThan(10);
    long newest = Math.max(version("entry-1"), version("entry-2"));
    site.entries().forEach(entry -> awaitVersion(entry, newest));
  }

  private void changeUntilStopped(AtomicBoolean isStopped, String entry, AtomicInteger accepted) {
    for (int rate = 100; !isStopped.get(); rate++) {
      if (change(entry, rate, null).isOk()) {
        accepted.incrementAndGet();
      }
      Faults.sleep(20);
    }
  }

  private void watchUntilStopped(
      AtomicBoolean isStopped, String entry, Map<String, String> reversions) {
    long last = 0;
    while (!isStopped.get()) {
      long version = version(entry);
      if (version < last) {
        reversions.put(entry, last + " then " + version);
      }
      last = version;
      Faults.sleep(10);
    }
  }
}
