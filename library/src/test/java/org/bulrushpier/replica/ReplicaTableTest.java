package org.bulrushpier.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushpier.Address;
import org.bulrushpier.replica.ReplicaTable.Change;
import org.junit.jupiter.api.Test;

class ReplicaTableTest {

  private static final long NOW = 100_000;

  private final ReplicaTable table = new ReplicaTable();

  private static ReplicaEntry entry(String id, long startMillis, boolean isDraining) {
    return new ReplicaEntry(
        id,
        "records",
        Address.parse("10.0.0.1:8080"),
        "norte",
        6,
        isDraining,
        startMillis,
        Map.of("m", 1),
        0);
  }

  @Test
  void drainingIsFinalWithinIncarnation() {
    table.put(entry("a", 7, false));
    assertThat(table.put(entry("a", 7, true))).isEqualTo(Change.DRAINING);

    table.put(entry("a", 7, false));

    assertThat(table.find("a").isUsable(NOW)).isFalse();
  }

  @Test
  void restartedReplicaStartsWithNewState() {
    table.put(entry("a", 7, true));
    Replica first = table.find("a");

    assertThat(table.put(entry("a", 8, false))).isEqualTo(Change.RESTARTED);

    assertThat(table.find("a")).isNotSameAs(first);
    assertThat(table.find("a").isUsable(NOW)).isTrue();
  }

  @Test
  void entryOfEarlierIncarnationIsStale() {
    table.put(entry("a", 8, false));

    assertThat(table.put(entry("a", 7, true))).isEqualTo(Change.STALE);

    assertThat(table.find("a").isLeaving()).isFalse();
  }

  private List<String> ids() {
    return table.replicasOf("records").stream().map(replica -> replica.entry().id()).toList();
  }

  @Test
  void entryWithoutStartTimeIsForeignWhereOthersHaveOne() {
    table.put(entry("a", 7, false));
    table.put(entry("b", 7, false));
    table.put(entry("foreign", 0, false));

    assertThat(ids()).containsExactly("a", "b");
    assertThat(table.put(entry("a", 0, false))).isEqualTo(Change.FOREIGN);
  }

  @Test
  void entryWithoutStartTimeIsNotUsedBecauseItWasReadFirst() {
    table.put(entry("a-foreign", 0, false));
    table.put(entry("b", 7, false));

    assertThat(ids()).containsExactly("b");
  }

  @Test
  void singleEntryWithStartTimeHidesNoOthers() {
    table.put(entry("a-foreign", 7, false));
    table.put(entry("b", 0, false));
    table.put(entry("c", 0, false));

    assertThat(ids()).contains("b", "c");
    assertThat(table.put(entry("b", 0, true))).isEqualTo(Change.DRAINING);
  }

  @Test
  void removedEntryMeansLeavingWhileTheStoreIsAvailable() {
    table.put(entry("a", 7, false));
    Replica replica = table.find("a");

    assertThat(table.remove("a", NOW)).isEqualTo(Change.REMOVED);

    assertThat(replica.isLeaving()).isTrue();
    assertThat(table.find("a")).isNull();
  }

  @Test
  void entryThatLapsedDuringStoreOutageHasGracePeriod() {
    table.put(entry("a", 7, false));
    table.put(entry("b", 7, false));
    table.markStoreUnavailable();
    assertThat(table.markStoreAvailable(NOW)).isTrue();

    assertThat(table.retain(Set.of(), NOW)).containsEntry("a", Change.MISSING);
    assertThat(table.find("a").isUsable(NOW)).isTrue();
    table.put(entry("b", 7, false));

    assertThat(table.expire(NOW + ReplicaTable.RENEWAL_GRACE_MILLIS - 1)).isEmpty();
    assertThat(table.expire(NOW + ReplicaTable.RENEWAL_GRACE_MILLIS)).containsExactly("a");
    assertThat(table.find("b").isUsable(NOW)).isTrue();
  }

  @Test
  void lapsedEntryOfDrainingReplicaHasNoGracePeriod() {
    table.put(entry("a", 7, true));
    table.markStoreUnavailable();
    table.markStoreAvailable(NOW);

    assertThat(table.remove("a", NOW)).isEqualTo(Change.REMOVED);
  }

  @Test
  void versionSeenInResponseSurvivesUnchangedEntry() {
    table.put(entry("a", 7, false));
    Replica replica = table.find("a");
    replica.recordVersion("m", 2);

    table.put(entry("a", 7, false));

    assertThat(replica.version("m")).isEqualTo(2);
  }

  @Test
  void failureShareDecaysWithTime() {
    table.put(entry("a", 7, false));
    Replica replica = table.find("a");
    for (int i = 0; i < 30; i++) {
      replica.recordOutcome(true, NOW);
    }

    assertThat(replica.failureShare(NOW)).isGreaterThan(0.9);
    assertThat(replica.failureShare(NOW + 9_000)).isLessThan(0.15);
  }
}
