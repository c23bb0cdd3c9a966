package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bulrushpier.Address;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.replica.Replica;
import org.junit.jupiter.api.Test;

class PlainPlacementTest {

  private static final long NOW = 50_000;

  private final Replica near = Engines.engine("near", "norte");
  private final Replica far = Engines.engine("far", "sur");
  private final PlainPlacement placement = PlainPlacement.of("norte", new PeerLoads());

  private String chosen() {
    Placement placed = placement.choose(List.of(far, near), Set.of(), NOW);
    return ((Placement.Send) placed).replica().entry().id();
  }

  @Test
  void replicaInOwnDomainIsPreferred() {
    assertThat(chosen()).isEqualTo("near");
  }

  @Test
  void callsOfOtherInstancesCount() {
    near.recordLoad(new ReportedLoad(5, 2, 6), NOW);

    assertThat(chosen()).isEqualTo("far");
  }

  @Test
  void replicaWhereWorkTakesLongerIsAvoidedForAsLongAsThatIsBelieved() {
    near.recordLoad(new ReportedLoad(0, 0, 6, 250), NOW - 3_000);
    assertThat(chosen()).isEqualTo("near");

    near.recordLoad(new ReportedLoad(0, 0, 6, 250), NOW);
    assertThat(chosen()).isEqualTo("far");
  }

  @Test
  void replicaWithOverdueCallIsAvoidedBeforeItsBreakerOpens() {
    near.begin("late", new Replica.InFlightRequest(0, 0, 0, 0, NOW - 400, NOW - 100));
    for (int i = 0; i < 4; i++) {
      far.begin("r" + i, new Replica.InFlightRequest(0, 0, 0, 0, NOW, NOW + 200));
    }

    assertThat(chosen()).isEqualTo("far");
  }

  @Test
  void replicaThatFailsPartOfItsCallsIsAvoided() {
    for (int i = 0; i < 20; i++) {
      near.recordOutcome(i % 2 == 0, NOW);
    }

    assertThat(chosen()).isEqualTo("far");
  }

  /** At a large site the choice is the more random the heavier the load. */
  @Test
  void replicaThatFailsItsCallsIsAvoidedUnderHeavyLoadAtLargeSite() {
    near.recordLoad(new ReportedLoad(6, 20, 6), NOW);
    far.recordLoad(new ReportedLoad(6, 20, 6), NOW);
    for (int i = 0; i < 20; i++) {
      near.recordOutcome(true, NOW);
    }
    LoadGroup group = new LoadGroup();
    Address self = new Address("10.0.0.1", 1);
    group.update(self, 84, List.of(self), Map.of());
    PlainPlacement large = PlainPlacement.of("norte", new PeerLoads(), group, new Random(3));
    int calls = 2_000;
    int toFailing = 0;
    for (int i = 0; i < calls; i++) {
      Placement placed = large.choose(List.of(far, near), Set.of(), NOW);
      toFailing += ((Placement.Send) placed).replica() == near ? 1 : 0;
    }

    assertThat(toFailing).isLessThan(calls / 10);
  }

  @Test
  void callIsRefusedIfAllReplicasAreExcluded() {
    assertThat(placement.choose(List.of(near), Set.of("near"), NOW))
        .isInstanceOf(Placement.Refuse.class);
  }
}
