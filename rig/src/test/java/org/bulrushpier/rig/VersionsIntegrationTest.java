package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.rig.engine.EngineFake;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;
import org.bulrushpier.routing.EngineLoad;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies proofs 3 and 10: an answer never mixes weight versions, and orders converge to the
 * configured version.
 */
class VersionsIntegrationTest {

  private static final int ENGINES = 4;
  private static final int MAX_CONCURRENT_LOADS = 2;
  private static final long CONVERGENCE_TIMEOUT_MILLIS = 30_000;
  private static final long PROPAGATION_MILLIS = 4_000;

  private Site site;
  private final AtomicInteger nextEntry = new AtomicInteger();

  @BeforeEach
  void start() {
    site = Site.start(SitePlan.small().withEntries(3).withUpstreams(ENGINES, 1, 1));
  }

  @AfterEach
  void stop() {
    site.close();
  }

  private String anyEntry() {
    return "entry-" + (1 + nextEntry.getAndIncrement() % 3);
  }

  private List<String> versions() {
    List<String> versions = new ArrayList<>();
    for (int i = 1; i <= ENGINES; i++) {
      versions.add(site.read("engine-" + i, "/load", EngineLoad.class).weightVersion());
    }
    return versions;
  }

  private void awaitVersions(String expected) {
    long deadline = System.currentTimeMillis() + CONVERGENCE_TIMEOUT_MILLIS;
    while (!versions().stream().allMatch(expected::equals)
        && System.currentTimeMillis() < deadline) {
      Faults.sleep(50);
    }
    assertThat(versions()).containsOnly(expected);
  }

  @Test
  void versionChangeUnderLoadNeverMixesVersions() throws InterruptedException {
    final BackgroundChats clients = BackgroundChats.start(site, 8, 100, 40, this::anyEntry);
    Faults.sleep(1_000);
    site.changeSettings(Site.TEAM, Site.TEAM_KEY, site.teamSettings("8"));
    long acceptedMillis = System.currentTimeMillis();
    awaitVersions("8");
    Faults.sleep(PROPAGATION_MILLIS + 500);
    List<BackgroundChats.Exchange> history = clients.stop();
    for (BackgroundChats.Exchange exchange : history) {
      boolean isNew = exchange.isCorrect("8");
      assertThat(isNew || exchange.isCorrect("7")).as(exchange.result().toString()).isTrue();
      if (exchange.atMillis() > acceptedMillis + PROPAGATION_MILLIS) {
        assertThat(isNew).isTrue();
      }
    }
    assertThat(history)
        .anyMatch(exchange -> exchange.atMillis() > acceptedMillis + PROPAGATION_MILLIS);
  }

  @Test
  void weightLoadsAreStaggered() {
    site.changeSettings(Site.TEAM, Site.TEAM_KEY, site.teamSettings("8"));
    awaitVersions("8");
    List<EngineFake.WeightLoad> loads = new ArrayList<>();
    for (int i = 1; i <= ENGINES; i++) {
      loads.addAll(
          Arrays.asList(site.read("engine-" + i, "/loads", EngineFake.WeightLoad[].class)));
    }
    for (EngineFake.WeightLoad load : loads) {
      long concurrent =
          loads.stream()
              .filter(
                  other ->
                      other.fromMillis() <= load.fromMillis()
                          && load.fromMillis() < other.toMillis())
              .count();
      assertThat(concurrent).isLessThanOrEqualTo(MAX_CONCURRENT_LOADS);
    }
  }

  @Test
  void resumedLeaseHolderDoesNotUndoLaterVersionChange() {
    for (String frozen : site.entries()) {
      site.changeSettings(Site.TEAM, Site.TEAM_KEY, site.teamSettings("8"));
      Faults.sleep(400);
      site.signal(frozen, "STOP");
      String other = frozen.equals("entry-1") ? "entry-2" : "entry-1";
      long deadline = System.currentTimeMillis() + CONVERGENCE_TIMEOUT_MILLIS;
      while (!site.tryChangeSettings(other, Site.TEAM, Site.TEAM_KEY, site.teamSettings("9"), null)
              .isOk()
          && System.currentTimeMillis() < deadline) {
        Faults.sleep(50);
      }
      awaitVersions("9");
      site.signal(frozen, "CONT");
      Faults.sleep(3_000);
      awaitVersions("9");
    }
  }
}
