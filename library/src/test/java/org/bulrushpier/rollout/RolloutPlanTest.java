package org.bulrushpier.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushpier.Address;
import org.bulrushpier.Moment;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaEntry;
import org.bulrushpier.replica.ReplicaTable;
import org.junit.jupiter.api.Test;

class RolloutPlanTest {

  private final List<Replica> engines = new ArrayList<>();

  RolloutPlanTest() {
    ReplicaTable table = new ReplicaTable();
    for (int i = 0; i < 13; i++) {
      String id = "e" + i;
      table.put(
          new ReplicaEntry(
              id, "s", new Address("10.0.0.1", 9_000 + i), "d", 48, false, 1, Map.of("m", 1), 0));
      engines.add(table.find(id));
    }
  }

  private List<Replica> next(Set<String> changing) {
    return RolloutPlan.next("m", 2, engines, changing, changing.size());
  }

  @Test
  void enginesWithUnansweredOrdersMakeRoomForOthers() {
    List<Replica> next = RolloutPlan.next("m", 2, engines, Set.of("e0", "e1", "e2", "e3"), 1);

    assertThat(next).hasSize(3).doesNotContainAnyElementsOf(engines.subList(0, 4));
  }

  @Test
  void limitedShareOfEnginesChangesAtTheSameTime() {
    List<Replica> first = next(Set.of());
    assertThat(first).hasSize(4);

    assertThat(next(Set.of("e0", "e1", "e2", "e3"))).isEmpty();
    assertThat(next(Set.of("e0", "e1", "e2"))).hasSize(1);
  }

  @Test
  void leastBusyEnginesChangeFirst() {
    engines.forEach(engine -> engine.recordLoad(new ReportedLoad(9, 0, 48), 0));
    engines.get(7).recordLoad(new ReportedLoad(0, 0, 48), 0);

    assertThat(next(Set.of()).get(0)).isSameAs(engines.get(7));
  }

  @Test
  void enginesThatServeTheVersionAreNotSelected() {
    engines.forEach(engine -> engine.recordVersion("m", 2));

    assertThat(next(Set.of())).isEmpty();
  }

  private static boolean update(TargetWeights weights, int version, long millis) {
    return weights.update("m", version, RequestInterval.at(new Moment(millis, millis)));
  }

  @Test
  void targetVersionNeverDecreases() {
    TargetWeights weights = new TargetWeights();
    assertThat(update(weights, 3, 5)).isTrue();
    assertThat(update(weights, 2, 6)).isFalse();
    assertThat(update(weights, 3, 7)).isFalse();

    assertThat(weights.target("m").version()).isEqualTo(3);
    assertThat(weights.target("m").requested().notBefore()).isEqualTo(new Moment(5, 5));
    assertThat(weights.target("n").version()).isZero();
  }

  @Test
  void idleEngineChangesAtOnce() {
    assertThat(RolloutPlan.isDrained(0, 0, 0)).isTrue();
  }

  /**
   * Eight calls are queued when the change is announced, and one of them starts every 90 ms. An
   * order before the queue is empty would reject the remaining calls.
   */
  @Test
  void queuedCallsStartBeforeTheEngineChanges() {
    int waiting = 8;
    long orderedMillis = -1;
    for (long since = 0; orderedMillis < 0; since += 90) {
      if (RolloutPlan.isDrained(since, 10, waiting)) {
        orderedMillis = since;
      } else {
        waiting = Math.max(0, waiting - 1);
      }
    }
    assertThat(waiting).isZero();
    assertThat(orderedMillis).isLessThan(1_000);
  }

  @Test
  void changeIsAnnouncedBeforeItIsOrderedAndDelayIsLimited() {
    assertThat(RolloutPlan.isDrained(500, 10, 0)).isFalse();
    assertThat(RolloutPlan.isDrained(700, 10, 0)).isTrue();
    assertThat(RolloutPlan.isDrained(1_500, 10, 40)).isTrue();
  }

  /** Versions 2 and 3 are requested 9 s apart, while some engines still serve version 1. */
  @Test
  void furtherVersionGivesOutdatedEnginesNoMoreTime() {
    TargetWeights weights = new TargetWeights();
    update(weights, 2, 20_000);
    update(weights, 3, 29_000);
    WeightPreference preference =
        WeightPreference.of(weights.target("m"), new Moment(29_200, 29_200), 8_000);

    assertThat(preference.allows(1, 50)).isFalse();
    assertThat(preference.allows(2, 50)).isTrue();
    assertThat(preference.allows(3, 50)).isTrue();
    assertThat(preference.penaltyMillis(1)).isGreaterThan(preference.penaltyMillis(2));
  }
}
