package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.Address;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaEntry;
import org.bulrushpier.replica.ReplicaTable;
import org.junit.jupiter.api.Test;

class CandidatesTest {

  private static final long NOW = 1_000_000;

  private final ReplicaTable table = new ReplicaTable();
  private final Map<Replica, Exclusion> exclusions = new HashMap<>();

  private Candidates candidates() {
    return Candidates.of(
        List.copyOf(table.all()), replica -> Optional.ofNullable(exclusions.get(replica)));
  }

  private Replica replica(int number) {
    String id = "e" + number;
    table.put(
        new ReplicaEntry(
            id, "records", Address.parse("10.0.0.1:8080"), "norte", 6, false, 7, Map.of(), 0));
    return table.find(id);
  }

  @Test
  void otherReplicasTakeTheRequestsOfAnEvacuatedDomain() {
    exclusions.put(replica(0), Exclusion.EVACUATED);
    Replica other = replica(1);

    assertThat(candidates().usable()).containsExactly(other);
    assertThat(candidates().refusal()).isEmpty();
    assertThat(candidates().isAnyEvacuated()).isTrue();
  }

  @Test
  void requestIsRefusedWithTheReasonsIfAllDomainsAreEvacuated() {
    exclusions.put(replica(0), Exclusion.EVACUATED);
    exclusions.put(replica(1), Exclusion.LEAVING);
    exclusions.put(replica(2), Exclusion.EVACUATED);

    assertThat(candidates().refusal())
        .contains(
            new Placement.Refuse(
                "no replica may take it: 1 leaving, 2 in an evacuated failure domain",
                Candidates.BARRED_RETRY_MILLIS));
  }

  @Test
  void requestIsRefusedIfItsOnlyHomeIsEvacuated() {
    exclusions.put(replica(0), Exclusion.OUTSIDE_HOMES);
    exclusions.put(replica(1), Exclusion.EVACUATED);

    assertThat(candidates().refusal().orElseThrow().reason())
        .isEqualTo(
            "no replica may take it: "
                + "1 outside the allowed regions, 1 in an evacuated failure domain");
  }

  @Test
  void requestIsRefusedIfNoReplicaIsInItsHomes() {
    exclusions.put(replica(0), Exclusion.OUTSIDE_HOMES);

    assertThat(candidates().refusal()).isPresent();
    assertThat(candidates().isAnyEvacuated()).isFalse();
  }

  @Test
  void requestMayWaitForReplicasThatAreExcludedBriefly() {
    exclusions.put(replica(0), Exclusion.EVACUATED);
    exclusions.put(replica(1), Exclusion.PAUSED);

    assertThat(candidates().refusal()).isEmpty();
  }

  @Test
  void serviceWithoutEvacuationsIsLeftToThePlacement() {
    assertThat(candidates().refusal()).isEmpty();

    exclusions.put(replica(0), Exclusion.LEAVING);

    assertThat(candidates().refusal()).isEmpty();
  }

  @Property
  void everyReplicaIsUsableOrCountedUnderItsReason(
      @ForAll @Size(max = 20) List<Optional<Exclusion>> reasons) {
    CandidatesTest test = new CandidatesTest();
    for (int i = 0; i < reasons.size(); i++) {
      Replica replica = test.replica(i);
      reasons.get(i).ifPresent(reason -> test.exclusions.put(replica, reason));
    }

    Candidates candidates = test.candidates();

    int excluded = candidates.excluded().values().stream().mapToInt(Integer::intValue).sum();
    assertThat(candidates.usable().size() + excluded).isEqualTo(reasons.size());
    assertThat(candidates.usable()).noneMatch(test.exclusions::containsKey);
    Set<Exclusion> lasting =
        EnumSet.of(Exclusion.LEAVING, Exclusion.OUTSIDE_HOMES, Exclusion.EVACUATED);
    assertThat(candidates.refusal().isPresent())
        .isEqualTo(
            candidates.usable().isEmpty()
                && (reasons.contains(Optional.of(Exclusion.EVACUATED))
                    || reasons.contains(Optional.of(Exclusion.OUTSIDE_HOMES)))
                && lasting.containsAll(candidates.excluded().keySet()));
  }

  @Test
  void requestWaitsIfItWouldBeRefusedOnlyBecauseReplicasAreCold() {
    Placement refused = new Placement.Refuse("no engine can take it", 100);
    Replica cold = replica(0);
    exclusions.put(cold, Exclusion.COLD);
    assertThat(candidates().orWait(refused, Set.of())).isInstanceOf(Placement.Wait.class);

    replica(1);
    assertThat(candidates().orWait(refused, Set.of())).isEqualTo(refused);
    assertThat(candidates().orWait(refused, Set.of("e1"))).isInstanceOf(Placement.Wait.class);
  }

  @Test
  void requestDoesNotWaitForColdReplicaThatItHasTried() {
    Placement refused = new Placement.Refuse("no engine can take it", 100);
    exclusions.put(replica(0), Exclusion.COLD);
    assertThat(candidates().orWait(refused, Set.of("e0"))).isEqualTo(refused);

    exclusions.put(replica(1), Exclusion.COLD);
    assertThat(candidates().orWait(refused, Set.of("e0"))).isInstanceOf(Placement.Wait.class);
  }

  @Test
  void replicaThatHasJustStartedIsKeptForRequestsThatNoOtherCanTake() {
    Replica starting = replica(0);
    exclusions.put(starting, Exclusion.STARTING);
    Replica other = replica(1);

    assertThat(candidates().usable()).containsExactly(other);
    assertThat(candidates().usableOrStarting()).containsExactlyInAnyOrder(other, starting);
  }

  @Test
  void onlyReplicasThatMayTakeTheRequestOtherwiseTellWhenToSendItAgain() {
    Replica evacuated = replica(0);
    evacuated.defer(NOW + 300);
    exclusions.put(evacuated, Exclusion.EVACUATED);
    Replica elsewhere = replica(1);
    elsewhere.defer(NOW + 400);
    exclusions.put(elsewhere, Exclusion.OUTSIDE_HOMES);
    exclusions.put(replica(2), Exclusion.PAUSED);
    assertThat(candidates().deferralMillis(NOW)).isEmpty();

    for (int i = 3; i < 5; i++) {
      Replica deferred = replica(i);
      deferred.defer(NOW + 1_000 * i);
      exclusions.put(deferred, Exclusion.DEFERRED);
    }
    assertThat(candidates().deferralMillis(NOW)).hasValue(3_000);
  }
}
