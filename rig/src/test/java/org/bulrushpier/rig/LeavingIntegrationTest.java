package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.rig.engine.EngineFake;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies proofs 7 and 8: leaving upstreams receive no new requests, and a graceful shutdown
 * interrupts no request.
 */
class LeavingIntegrationTest {

  private static final long LEAVING_GRACE_MILLIS = 3_000;
  private static final long LIST_LAG_MILLIS = 2_000;

  private Site site;
  private final AtomicInteger nextEntry = new AtomicInteger();

  @BeforeEach
  void start() {
    site = Site.start(SitePlan.small().withEntries(3).withUpstreams(3, 2, 1));
  }

  @AfterEach
  void stop() {
    site.close();
  }

  private String anyEntry() {
    return "entry-" + (1 + nextEntry.getAndIncrement() % 3);
  }

  /** Returns the next entry that reports itself ready, as a load balancer would select it. */
  private String readyEntry() {
    while (true) {
      String entry = anyEntry();
      try {
        OutgoingCall call = OutgoingCall.get(site.address(entry), "/readyz").withTimeout(500);
        if (site.caller().call(call).isOk()) {
          return entry;
        }
      } catch (CallFailedException e) {
        Faults.sleep(5);
      }
    }
  }

  private List<EngineFake.Execution> executions(String engine) {
    return Arrays.asList(site.read(engine, "/record", EngineFake.Execution[].class));
  }

  @Test
  void requestsSucceedWhileEngineRefusesAsLeaving() throws InterruptedException {
    final BackgroundChats clients = BackgroundChats.start(site, 6, 40, 8, this::anyEntry);
    Faults.sleep(1_000);
    site.setFault("engine-1", "leaving", 1);
    Faults.sleep(2_500);
    List<BackgroundChats.Exchange> history = clients.stop();
    assertThat(history).allMatch(exchange -> exchange.isCorrect("7"), "is correct and complete");
  }

  @Test
  void engineListedAsLeavingReceivesNoNewRequests() throws InterruptedException {
    final BackgroundChats clients = BackgroundChats.start(site, 6, 40, 8, this::anyEntry);
    Faults.sleep(1_000);
    site.publishInstance("engine-1", true);
    final long listedMillis = System.currentTimeMillis() + LIST_LAG_MILLIS;
    Faults.sleep(8_000);
    List<BackgroundChats.Exchange> history = clients.stop();
    assertThat(history).allMatch(exchange -> exchange.isCorrect("7"), "is correct and complete");
    assertThat(executions("engine-1")).isNotEmpty();
    assertThat(executions("engine-1"))
        .allMatch(execution -> execution.atMillis() < listedMillis + LEAVING_GRACE_MILLIS);
    assertThat(executions("engine-2"))
        .anyMatch(execution -> execution.atMillis() > listedMillis + LEAVING_GRACE_MILLIS);
  }

  @Test
  void callsSucceedWhileServiceRefusesAsLeaving() {
    site.setFault("records-1", "leaving", 1);
    for (int i = 0; i < 10; i++) {
      assertThat(ServiceClient.logDefect(site, anyEntry(), "k" + i, "defect" + i).isDone())
          .isTrue();
      assertThat(ServiceClient.logDefect(site, anyEntry(), "", "unkeyed" + i).isDone()).isTrue();
    }
    assertThat(ServiceClient.executionCounts(site, "records-2")).hasSize(20);
  }

  @Test
  void rollingRestartOfEntriesInterruptsNoRequest() throws InterruptedException {
    final BackgroundChats clients = BackgroundChats.start(site, 6, 60, 60, this::readyEntry);
    Faults.sleep(500);
    for (String entry : site.entries()) {
      site.signal(entry, "TERM");
      while (site.launcher().isAlive(entry)) {
        Faults.sleep(20);
      }
      site.restart(entry);
    }
    List<BackgroundChats.Exchange> history = clients.stop();
    assertThat(history.size()).isGreaterThan(10);
    for (BackgroundChats.Exchange exchange : history) {
      assertThat(exchange.result().isComplete()).as(exchange.result().error()).isTrue();
      assertThat(exchange.isCorrect("7")).isTrue();
    }
  }
}
