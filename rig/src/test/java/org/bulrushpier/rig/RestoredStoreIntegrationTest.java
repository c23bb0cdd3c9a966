package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bulrushpier.rig.GatewaySite.Instance;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against what instances miss when the metadata store comes back from a copy and gives
 * revisions out again.
 */
class RestoredStoreIntegrationTest {

  /** Longer than the longest watch of replicas and the pause after it. */
  private static final long WATCH_MILLIS = 3_500;

  private static final int LOST_WRITES = 20;

  private GatewaySite site;

  @BeforeEach
  void start() throws Exception {
    site = GatewaySite.start();
  }

  @AfterEach
  void stop() throws Exception {
    site.close();
  }

  private void writeOthers(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      site.metadataStore().put("others", "o" + i, "{}");
    }
  }

  @Test
  void replicaWhoseRemovalIsHiddenBehindRevisionsIsLeft() throws Exception {
    List<Instance> instances = site.startInstances(2);
    MetadataStoreFake store = site.metadataStore();
    ReplicaFake removed = site.engines().getFirst();
    generate(instances);
    assertThat(removed.executions()).isNotEmpty();
    store.copy();
    writeOthers(LOST_WRITES);
    Thread.sleep(WATCH_MILLIS);

    synchronized (store) {
      store.restore();
      store.remove("servers", removed.id());
      writeOthers(2 * LOST_WRITES);
    }
    Thread.sleep(2 * WATCH_MILLIS);

    int before = removed.executions().size();
    generate(instances);
    assertThat(removed.executions()).hasSize(before);
  }

  /** Sends generations whose prompts differ, so that they go to all engines. */
  private static void generate(List<Instance> instances) throws Exception {
    for (int i = 0; i < 60; i++) {
      String parts = "a%d:80,b%d:20".formatted(i, i);
      assertThat(instances.get(i % 2).generate(parts).get().statusCode()).isEqualTo(200);
    }
  }

  @Test
  void weightsAreRolledOutAlthoughTheLeaseWentBack() throws Exception {
    site.startInstances(2);
    MetadataStoreFake store = site.metadataStore();
    store.copy();
    site.requestVersion(2);
    GatewaySite.await(() -> site.engines().stream().allMatch(engine -> engine.version() == 2));
    writeOthers(LOST_WRITES);
    final long fenceBefore = lastFence();

    synchronized (store) {
      store.restore();
      for (ReplicaFake engine : site.engines()) {
        store.register(engine, "engines");
      }
      site.requestVersion(3);
    }

    GatewaySite.await(() -> site.engines().stream().allMatch(engine -> engine.version() == 3));
    assertThat(lastFence()).isGreaterThan(fenceBefore);
  }

  private long lastFence() {
    return site.engines().stream()
        .flatMap(engine -> engine.orders().stream())
        .mapToLong(RestoredStoreIntegrationTest::fence)
        .max()
        .orElseThrow();
  }

  private static long fence(String order) {
    return Long.parseLong(order.replaceFirst(".*\"fence\":(\\d+).*", "$1"));
  }
}
