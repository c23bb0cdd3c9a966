package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Verifies that an object of other software does not hide the other objects of its kind. */
class UnreadableObjectsIntegrationTest {

  private static final String DEEP = "[".repeat(3_000) + "]".repeat(3_000);

  private static final int CALLS = 12;

  /** The time within which a replica that is about to leave must get no more requests. */
  private static final long LEAVING_MILLIS = 2_000;

  private GatewaySite site;
  private MetadataStoreFake store;

  @BeforeEach
  void start() throws IOException {
    site = GatewaySite.start();
    store = site.metadataStore();
  }

  @AfterEach
  void stop() throws IOException {
    site.close();
  }

  static List<String> unreadableEntries() {
    return List.of(
        DEEP,
        "{\"slots\":" + "9".repeat(3_000) + "}",
        "{\"slots\":" + "9".repeat(40) + "}",
        "{\"slots\":1e999999999}",
        "{\"state\":\"\u0001\"}",
        "{\"state\":}");
  }

  @ParameterizedTest
  @MethodSource("unreadableEntries")
  void unreadableEntryDoesNotHideThatReplicasLeave(String entry) throws Exception {
    GatewaySite.Instance instance = site.startInstances(1).getFirst();
    assertThat(instance.generate()).isEqualTo(200);
    store.putRaw("servers", "a-odd", entry);
    try (ReplicaFake successor = ReplicaFake.start("successor")) {
      store.put("servers", "successor", successor.entry("engines", "ready"));
      for (ReplicaFake engine : site.engines()) {
        store.put("servers", engine.id(), engine.entry("engines", "draining"));
      }
      Thread.sleep(LEAVING_MILLIS);
      final int executed = site.executed();

      for (int i = 0; i < CALLS; i++) {
        assertThat(instance.generate()).isEqualTo(200);
      }

      assertThat(successor.executions()).hasSizeGreaterThanOrEqualTo(CALLS);
      assertThat(site.executed()).isEqualTo(executed);
    }
  }

  @ParameterizedTest
  @MethodSource("unreadableEntries")
  void unreadableEntryAtTheStartDoesNotHideReplicas(String entry) throws Exception {
    store.putRaw("servers", "a-odd", entry);
    GatewaySite.Instance instance = site.startInstances(1).getFirst();

    for (int i = 0; i < CALLS; i++) {
      assertThat(instance.generate()).isEqualTo(200);
    }
  }

  @ParameterizedTest
  @MethodSource("unreadableEntries")
  void replicaWhoseEntryBecameUnreadableIsNotUsedUntilItIsRenewed(String entry) throws Exception {
    final GatewaySite.Instance instance = site.startInstances(1).getFirst();
    ReplicaFake engine = site.engines().getFirst();
    GatewaySite.await(() -> isUsed(instance, engine));
    store.putRaw("servers", engine.id(), entry);
    Thread.sleep(LEAVING_MILLIS);
    final int executed = engine.executions().size();

    for (int i = 0; i < 5 * CALLS; i++) {
      assertThat(instance.generate()).isEqualTo(200);
    }
    assertThat(engine.executions()).hasSize(executed);

    store.put("servers", engine.id(), engine.entry("engines", "ready"));
    GatewaySite.await(() -> isUsed(instance, engine));
  }

  private static boolean isUsed(GatewaySite.Instance instance, ReplicaFake engine) {
    int before = engine.executions().size();
    instance.generate();
    return engine.executions().size() > before;
  }

  @Test
  void unreadableObjectsOfAllKindsDoNotStopChanges() throws Exception {
    final GatewaySite.Instance instance = site.startInstances(1).getFirst();
    for (String kind : List.of("config", "servers", "versions", "order-leases")) {
      store.putRaw(kind, "a-odd", DEEP);
    }
    String configuration = store.content("config", "main").toString();

    store.put(
        "config",
        "main",
        configuration
            .replace("\"version\":1", "\"version\":2")
            .replace("\"path_prefix\":\"/stream/\"", "\"path_prefix\":\"/other/\""));
    site.requestVersion(2);

    GatewaySite.await(() -> instance.generate() == 404);
    GatewaySite.await(() -> site.engines().stream().allMatch(engine -> engine.version() == 2));
  }
}
