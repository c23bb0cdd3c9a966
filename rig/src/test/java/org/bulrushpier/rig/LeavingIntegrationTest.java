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

/** Proofs 7 and 8: leaving upstreams get no new work, a graceful shutdown cuts off no request. */
class LeavingIntegrationTest {

  private static final long LEAVING_MILLIS = 3_000;
  private static final long LIST_LAG_MILLIS = 2_000;

  private Site site;
  private final AtomicInteger turn = new AtomicInteger();

  @BeforeEach
  void start() {
    site = Site.start(SitePlan.small().withEntries(3).withUpstreams(3, 2, 1));
  }

  @AfterEach
  void stop() {
    site.close();
  }

  private String anyEntry() {
    return "entry-" + (1 + turn.getAndIncrement() % 3);
  }

  /** The entries as a balancer would choose among them: those that say they are ready. */
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

  private List<EngineFake.Ran> ran(String engine) {
    return Arrays.asList(site.read(engine, "/record", EngineFake.Ran[].class));
  }

  @Test
  void engineThatRefusesAsLeavingGetsNoNewWork() throws InterruptedException {
    final Askers askers = Askers.start(site, 6, 40, 8, this::anyEntry);
    Faults.sleep(1_000);
    site.fault("engine-1", "leaving", 1);
    Faults.sleep(2_500);
    List<Askers.Asked> history = askers.stop();
    assertThat(history).allMatch(asked -> asked.isRight("7"), "is right and whole");
  }

  @Test
  void engineThatOnlyTheLateListNamesGetsNoNewWork() throws InterruptedException {
    final Askers askers = Askers.start(site, 6, 40, 8, this::anyEntry);
    Faults.sleep(1_000);
    site.list("engine-1", true);
    final long seen = System.currentTimeMillis() + LIST_LAG_MILLIS;
    Faults.sleep(8_000);
    List<Askers.Asked> history = askers.stop();
    assertThat(history).allMatch(asked -> asked.isRight("7"), "is right and whole");
    assertThat(ran("engine-1")).isNotEmpty();
    assertThat(ran("engine-1")).allMatch(r -> r.atMillis() < seen + LEAVING_MILLIS);
    assertThat(ran("engine-2")).anyMatch(r -> r.atMillis() > seen + LEAVING_MILLIS);
  }

  @Test
  void serviceThatRefusesAsLeavingCostsNoCall() {
    site.fault("records-1", "leaving", 1);
    for (int i = 0; i < 10; i++) {
      assertThat(Services.log(site, anyEntry(), "k" + i, "defect" + i).isDone()).isTrue();
      assertThat(Services.log(site, anyEntry(), "", "unkeyed" + i).isDone()).isTrue();
    }
    assertThat(Services.ran(site, "records-2")).hasSize(20);
  }

  @Test
  void shutdownOfEveryEntryInTurnCutsOffNoRequest() throws InterruptedException {
    final Askers askers = Askers.start(site, 6, 60, 60, this::readyEntry);
    Faults.sleep(500);
    for (String entry : site.entries()) {
      site.signal(entry, "TERM");
      while (site.launcher().isAlive(entry)) {
        Faults.sleep(20);
      }
      site.restart(entry);
    }
    List<Askers.Asked> history = askers.stop();
    assertThat(history.size()).isGreaterThan(10);
    for (Askers.Asked asked : history) {
      assertThat(asked.told().isWhole()).as(asked.told().problem()).isTrue();
      assertThat(asked.isRight("7")).isTrue();
    }
  }
}
