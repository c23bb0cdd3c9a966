package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies proofs 5 and 6: a call refused as not run was not executed, and a call that is not
 * idempotent is executed at most once.
 */
class OnceIntegrationTest {

  private static final String[] REPLICAS = {"records-1", "records-2"};

  private Site site;

  @BeforeEach
  void start() {
    site = Site.start(SitePlan.small().withUpstreams(1, 2, 1).withEntries(3));
  }

  @AfterEach
  void stop() {
    site.close();
  }

  /** A defect and the results of all attempts to log it. */
  private record LoggedDefect(String defect, List<ServiceClient.Result> results) {}

  @Test
  void repeatedCallReturnsTheFirstOutcomeAtAnyEntry() {
    ServiceClient.Result first = ServiceClient.logDefect(site, "entry-1", "k", "defect");
    for (String entry : site.entries()) {
      assertThat(ServiceClient.logDefect(site, entry, "k", "defect").body())
          .isEqualTo(first.body());
    }
    assertThat(ServiceClient.executionCounts(site, REPLICAS))
        .containsOnly(Map.entry(ServiceClient.nameHash("defect"), 1));
  }

  @Test
  void keyReusedForAnotherRequestIsRefusedAsNotRun() {
    ServiceClient.logDefect(site, "entry-1", "k", "defect");
    ServiceClient.Result other = ServiceClient.logDefect(site, "entry-2", "k", "another defect");
    assertThat(other.status()).isEqualTo(422);
    assertThat(other.isNotRun()).isTrue();
    assertThat(ServiceClient.executionCounts(site, REPLICAS))
        .doesNotContainKey(ServiceClient.nameHash("another defect"));
  }

  @Test
  void lostServiceResponseIsOutcomeUnknownAndNotRetried() {
    site.setFault("records-1", "lose-answers", 1);
    site.setFault("records-2", "lose-answers", 1);
    ServiceClient.Result first = ServiceClient.logDefect(site, "entry-1", "k", "defect");
    assertThat(first.execution()).isEqualTo("outcome-unknown");
    ServiceClient.Result second = ServiceClient.logDefect(site, "entry-2", "k", "defect");
    assertThat(second.execution()).isEqualTo("outcome-unknown");
    assertThat(ServiceClient.executionCounts(site, REPLICAS))
        .containsOnly(Map.entry(ServiceClient.nameHash("defect"), 1));
  }

  @Test
  void unkeyedCallIsSentOnceWhenItsResponseIsLost() {
    site.setFault("records-1", "lose-answers", 1);
    site.setFault("records-2", "lose-answers", 1);
    ServiceClient.Result result = ServiceClient.logDefect(site, "entry-1", "", "defect");
    assertThat(result.execution()).isEqualTo("outcome-unknown");
    assertThat(ServiceClient.executionCounts(site, REPLICAS))
        .containsOnly(Map.entry(ServiceClient.nameHash("defect"), 1));
  }

  @Test
  void lostPlatformResponsesCauseNoRepeatedExecution() {
    for (int i = 0; i < 5; i++) {
      site.setFault("platform", "lose-answers", 1);
      ServiceClient.Result result =
          ServiceClient.logDefect(site, "entry-" + (i % 3 + 1), "k" + i, "defect" + i);
      assertThat(result.isDone() || result.isNotRun()).isTrue();
    }
    assertThat(ServiceClient.executionCounts(site, REPLICAS).values())
        .allMatch(times -> times == 1);
  }

  @Test
  void platformOutageRefusesOnlyKeyedCalls() {
    site.setFault("platform", "outage", 1);
    ServiceClient.Result keyed = ServiceClient.logDefect(site, "entry-1", "k", "defect");
    assertThat(keyed.isNotRun()).isTrue();
    assertThat(ServiceClient.readFrame(site, "entry-1", "17").isDone()).isTrue();
    assertThat(ServiceClient.logDefect(site, "entry-1", "", "unkeyed").isDone()).isTrue();
    List<org.bulrushpier.cache.ChatMessage> messages = ChatClient.conversation("outage", 100);
    assertThat(ChatClient.send(site, "entry-2", 1, messages, 5).text())
        .isEqualTo(ChatClient.expectedAnswer(1, "7", messages, 5));
    assertThat(ServiceClient.executionCounts(site, REPLICAS))
        .doesNotContainKey(ServiceClient.nameHash("defect"));
    site.setFault("platform", "outage", 0);
    assertThat(ServiceClient.logDefect(site, "entry-2", "k", "defect").isDone()).isTrue();
    assertThat(ServiceClient.executionCounts(site, REPLICAS))
        .containsEntry(ServiceClient.nameHash("defect"), 1);
  }

  @Test
  void callIsExecutedOnceWhenShardOwnerIsFrozen() {
    ServiceClient.logDefect(site, "entry-1", "warm-up", "warm-up");
    site.signal("entry-1", "STOP");
    ServiceClient.Result second = ServiceClient.logDefect(site, "entry-2", "k", "defect");
    site.signal("entry-1", "CONT");
    ServiceClient.Result third = ServiceClient.logDefect(site, "entry-1", "k", "defect");
    assertThat(second.isDone()).isTrue();
    assertThat(third.body()).isEqualTo(second.body());
    assertThat(ServiceClient.executionCounts(site, REPLICAS))
        .containsEntry(ServiceClient.nameHash("defect"), 1);
  }

  /**
   * Entries are killed and frozen, and responses of the platform and of services are lost, while
   * callers retry through other entries. Afterwards no defect may have been executed twice, none
   * that was refused as not run may have been executed, and none that was reported as done may be
   * missing.
   */
  @Test
  void noDefectIsExecutedTwiceUnderKillsAndLostResponses() throws InterruptedException {
    Queue<LoggedDefect> history = new ConcurrentLinkedQueue<>();
    AtomicBoolean isStopped = new AtomicBoolean();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      int number = i;
      callers.add(Thread.ofVirtual().start(() -> logUntilStopped(isStopped, number, history)));
    }
    injectFaults(new Random(7), 20);
    isStopped.set(true);
    for (Thread caller : callers) {
      caller.join();
    }
    verify(history);
  }

  private void injectFaults(Random random, int steps) {
    for (int step = 0; step < steps; step++) {
      String entry = "entry-" + (random.nextInt(3) + 1);
      switch (random.nextInt(4)) {
        case 0 -> {
          site.signal(entry, "KILL");
          Faults.sleep(100);
          site.restart(entry);
        }
        case 1 -> {
          site.signal(entry, "STOP");
          Faults.sleep(1_500);
          site.signal(entry, "CONT");
        }
        case 2 -> site.setFault("platform", "lose-answers", 2);
        default -> site.setFault(REPLICAS[random.nextInt(2)], "lose-answers", 2);
      }
      Faults.sleep(150);
    }
  }

  private void logUntilStopped(AtomicBoolean isStopped, int caller, Queue<LoggedDefect> history) {
    Random random = new Random(caller);
    for (int sequence = 0; !isStopped.get(); sequence++) {
      String defect = "defect-" + caller + "-" + sequence;
      List<ServiceClient.Result> results = new ArrayList<>();
      for (int attempt = 0; attempt < 3; attempt++) {
        String entry = "entry-" + (random.nextInt(3) + 1);
        results.add(ServiceClient.logDefect(site, entry, defect, defect));
        if (results.get(attempt).isDone()) {
          break;
        }
      }
      history.add(new LoggedDefect(defect, results));
    }
  }

  private void verify(Queue<LoggedDefect> history) {
    Map<String, Integer> executionCounts = ServiceClient.executionCounts(site, REPLICAS);
    assertThat(history.size()).isGreaterThan(50);
    assertThat(executionCounts.values()).allMatch(times -> times == 1);
    for (LoggedDefect call : history) {
      int times = executionCounts.getOrDefault(ServiceClient.nameHash(call.defect()), 0);
      boolean isDone = call.results().stream().anyMatch(ServiceClient.Result::isDone);
      boolean isNeverRun = call.results().stream().allMatch(ServiceClient.Result::isNotRun);
      if (isDone) {
        assertThat(times).as(call.toString()).isEqualTo(1);
      }
      if (isNeverRun) {
        assertThat(times).as(call.toString()).isZero();
      }
    }
  }
}
