package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.placing.PlacementRound.Restriction;
import org.bulrushpier.site.Homes;
import org.junit.jupiter.api.Test;

class PlacementRoundTest {

  private static final Homes LIMA = Homes.of(List.of("lima"));
  private static final Homes CUSCO = Homes.of(List.of("cusco"));
  private static final Map<Homes, Set<String>> REPLICAS =
      Map.of(
          LIMA,
          Set.of("l0", "l1"),
          CUSCO,
          Set.of("c0"),
          Homes.EVERYWHERE,
          Set.of("l0", "l1", "c0"));

  /** The replicas that can take a request now. */
  private final Set<String> free = new HashSet<>();

  private final List<Waiting> requests = new ArrayList<>();
  private int tries;

  private final class Waiting implements PlacementRound.Turn {
    private final Homes homes;
    private final Set<String> tried;
    private String replica = "";

    Waiting(Homes homes, Set<String> tried) {
      this.homes = homes;
      this.tried = tried;
    }

    @Override
    public Restriction restriction() {
      return new Restriction(homes, tried);
    }

    @Override
    public Set<String> replicas() {
      Set<String> left = new HashSet<>(REPLICAS.get(homes));
      left.removeAll(tried);
      return left;
    }

    @Override
    public boolean place(Set<String> reserved) {
      tries++;
      replicas().stream()
          .filter(id -> free.contains(id) && !reserved.contains(id))
          .findFirst()
          .ifPresent(id -> replica = id);
      free.remove(replica);
      return !replica.isEmpty();
    }
  }

  private Waiting add(Homes homes, String... tried) {
    Waiting waiting = new Waiting(homes, Set.of(tried));
    requests.add(waiting);
    return waiting;
  }

  private void run() {
    PlacementRound.run(requests);
  }

  @Test
  void requestsBehindOneWhoseHomesAreBusyUseTheOtherReplicas() {
    Waiting head = add(LIMA);
    final Waiting elsewhere = add(CUSCO);
    free.add("c0");
    run();

    assertThat(head.replica).isEmpty();
    assertThat(elsewhere.replica).isEqualTo("c0");
  }

  @Test
  void requestWithoutHomesUsesOnlyReplicasForWhichNoneBeforeItWaits() {
    Waiting head = add(LIMA, "l1");
    final Waiting anywhere = add(Homes.EVERYWHERE);
    free.add("l1");
    run();

    assertThat(head.replica).isEmpty();
    assertThat(anywhere.replica).isEqualTo("l1");
  }

  @Test
  void requestDoesNotOvertakeOneThatMayUseTheSameReplica() {
    final Waiting cusco = add(CUSCO);
    final Waiting head = add(LIMA);
    final Waiting anywhere = add(Homes.EVERYWHERE);
    run();
    free.addAll(Set.of("c0", "l0"));
    run();

    assertThat(cusco.replica).isEqualTo("c0");
    assertThat(head.replica).isEqualTo("l0");
    assertThat(anywhere.replica).isEmpty();
  }

  @Test
  void queueOfEqualRequestsIsTriedOnce() {
    for (int i = 0; i < 100; i++) {
      add(i % 2 == 0 ? LIMA : Homes.EVERYWHERE);
    }
    run();

    assertThat(tries).isLessThanOrEqualTo(2);
  }

  /** Nobody behind a request got a replica that it could have had. */
  @Property
  void noReplicaIsTakenFromRequestThatWaitsBefore(
      @ForAll @Size(max = 12) List<@IntRange(max = 5) Integer> kinds,
      @ForAll Set<@IntRange(max = 2) Integer> freeNumbers) {
    PlacementRoundTest test = new PlacementRoundTest();
    List<String> all = List.of("l0", "l1", "c0");
    freeNumbers.forEach(number -> test.free.add(all.get(number)));
    for (int kind : kinds) {
      Homes homes = List.of(LIMA, CUSCO, Homes.EVERYWHERE).get(kind % 3);
      test.add(homes, kind < 3 ? new String[0] : new String[] {"l1"});
    }
    test.run();

    Set<String> waitedFor = new HashSet<>();
    for (Waiting request : test.requests) {
      if (request.replica.isEmpty()) {
        assertThat(request.replicas()).as("left over").noneMatch(test.free::contains);
        waitedFor.addAll(request.replicas());
      } else {
        assertThat(waitedFor).doesNotContain(request.replica);
      }
    }
  }
}
