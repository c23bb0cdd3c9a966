package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.daemon.Status;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;
import org.junit.jupiter.api.Test;

/**
 * Verifies proof 12: all guarantees hold under two concurrent faults, which are drawn from a seed.
 */
class TwoFaultsIntegrationTest {

  private static final long SEED = Long.getLong("bulrushpier.seed", 11);
  private static final int ROUNDS = 10;
  private static final String CUT = "cut=1&cut-back=1";
  private static final String[] REPLICAS = {"records-1", "records-2"};

  private record LoggedCall(String defect, ServiceClient.Result result) {}

  private final AtomicInteger nextEntry = new AtomicInteger();

  @Test
  void allGuaranteesHoldUnderTwoConcurrentFaults() throws InterruptedException {
    try (Site site =
        Site.start(SitePlan.small().withEntries(3).withUpstreams(3, 2, 1).withCacheBlocks(200))) {
      AtomicBoolean isStopped = new AtomicBoolean();
      Queue<LoggedCall> logged = new ConcurrentLinkedQueue<>();
      final BackgroundChats clients =
          BackgroundChats.start(
              site, 5, 300, 30, () -> "entry-" + (1 + nextEntry.getAndIncrement() % 3));
      List<Thread> loggers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        int number = i;
        loggers.add(
            Thread.ofVirtual().start(() -> logUntilStopped(site, number, isStopped, logged)));
      }
      Random random = new Random(SEED);
      for (int round = 0; round < ROUNDS; round++) {
        Runnable removeFirst = injectFault(site, random);
        Runnable removeSecond = injectFault(site, random);
        Faults.sleep(1_500);
        removeFirst.run();
        removeSecond.run();
        Faults.sleep(1_000);
      }
      isStopped.set(true);
      for (Thread logger : loggers) {
        logger.join();
      }
      verifyAnswers(clients.stop());
      verifyExecutions(site, logged);
      verifySettingsAgree(site);
    }
  }

  /** Draws and injects a fault; returns the action that removes it. */
  private static Runnable injectFault(Site site, Random random) {
    String entry = "entry-" + (1 + random.nextInt(3));
    String engine = "engine-" + (1 + random.nextInt(3));
    switch (random.nextInt(8)) {
      case 0 -> {
        site.signal(entry, "KILL");
        return () -> site.restart(entry);
      }
      case 1 -> {
        site.signal(entry, "STOP");
        return () -> site.signal(entry, "CONT");
      }
      case 2 -> {
        site.configureLink(engine, "refuse=1");
        return () -> site.configureLink(engine, "");
      }
      case 3 -> {
        site.setFault("platform", "outage", 1);
        return () -> site.setFault("platform", "outage", 0);
      }
      case 4 -> {
        site.partitionFromPeers(entry, CUT);
        return () -> site.partitionFromPeers(entry, "");
      }
      case 5 -> {
        site.setFault("store-1", "flip-bytes", 20);
        return () -> site.setFault("store-1", "flip-bytes", 0);
      }
      case 6 -> {
        site.setFault(engine, "break-streams", 3);
        return () -> site.setFault(engine, "break-streams", 0);
      }
      default -> {
        site.setFault("platform", "lose-answers", 3);
        return () -> site.setFault("platform", "lose-answers", 0);
      }
    }
  }

  private void logUntilStopped(
      Site site, int number, AtomicBoolean isStopped, Queue<LoggedCall> logged) {
    for (int n = 0; !isStopped.get(); n++) {
      String defect = "defect-" + number + "-" + n;
      for (int attempt = 0; attempt < 2; attempt++) {
        String entry = "entry-" + (1 + nextEntry.getAndIncrement() % 3);
        logged.add(new LoggedCall(defect, ServiceClient.logDefect(site, entry, defect, defect)));
      }
    }
  }

  /** Verifies that every answer is correct or was reported to its caller as incomplete. */
  private static void verifyAnswers(List<BackgroundChats.Exchange> history) {
    assertThat(history.size()).isGreaterThan(20);
    for (BackgroundChats.Exchange exchange : history) {
      if (exchange.result().isComplete()) {
        assertThat(exchange.isCorrect("7")).as(exchange.result().toString()).isTrue();
      } else {
        assertThat(exchange.result().error()).isNotEmpty();
      }
    }
    assertThat(history).anyMatch(exchange -> exchange.result().isComplete());
  }

  private static void verifyExecutions(Site site, Queue<LoggedCall> logged) {
    Map<String, Integer> executionCounts = ServiceClient.executionCounts(site, REPLICAS);
    assertThat(executionCounts.values()).allMatch(times -> times == 1);
    for (LoggedCall call : logged) {
      int times = executionCounts.getOrDefault(ServiceClient.nameHash(call.defect()), 0);
      boolean isOnlyRefused =
          logged.stream()
              .filter(other -> other.defect().equals(call.defect()))
              .allMatch(other -> other.result().isNotRun());
      if (call.result().isDone()) {
        assertThat(times).as(call.toString()).isEqualTo(1);
      }
      if (isOnlyRefused) {
        assertThat(times).as(call.toString()).isZero();
      }
    }
  }

  private static void verifySettingsAgree(Site site) {
    List<Map<String, Long>> versions =
        site.entries().stream()
            .map(entry -> site.readAdmin(entry, "/admin/status", Status.class).settings())
            .toList();
    assertThat(versions).allMatch(v -> v.equals(versions.get(0)));
  }
}
