package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.bulrushpier.Address;
import org.bulrushpier.Moment;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.fleet.UpstreamLoad;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.RequestInterval;
import org.bulrushpier.rollout.TargetWeights;
import org.bulrushpier.rollout.WeightPreference;
import org.junit.jupiter.api.Test;

/** Tests which engines an instance in a group selects. */
class GroupedPlacementTest {

  private static final long NOW = 50_000;
  private static final int INSTANCES = 60;
  private static final int ENGINES = 40;

  /** About 50 ms of prefill. */
  private static final long BUSY_TOKENS = 2_000;

  private final Address self = new Address("10.0.0.0", 1);
  private final PeerLoads peers = new PeerLoads();
  private final LoadGroup group = new LoadGroup();
  private final EnginePlacement placement =
      EnginePlacement.of("norte", new PrefillRate(), peers, group, FetchBound.NONE, new Random(7));
  private final List<Replica> engines = new ArrayList<>();

  GroupedPlacementTest() {
    for (int i = 0; i < ENGINES; i++) {
      engines.add(Engines.engine("e" + i, i % 2 == 0 ? "norte" : "sur"));
    }
    List<Address> inDomain =
        IntStream.range(0, INSTANCES / 2).mapToObj(i -> new Address("10.0.0." + i, 1)).toList();
    group.update(self, INSTANCES, inDomain, Map.of("engines", ids("norte")));
  }

  private List<String> ids(String domain) {
    return engines.stream()
        .map(Replica::entry)
        .filter(entry -> entry.domain().equals(domain))
        .map(entry -> entry.id())
        .toList();
  }

  /** Records reports of some of the other instances, the first of which has sent all load. */
  private void report(int instances, long nearTokens, long farTokens) {
    List<UpstreamLoad> loads = new ArrayList<>();
    ids("norte").forEach(id -> loads.add(load(id, nearTokens)));
    ids("sur").forEach(id -> loads.add(load(id, farTokens)));
    for (int i = 1; i <= instances; i++) {
      peers.record(
          "10.0.0." + i + ":1",
          new FleetMessage.Load(1, 1, i == 1 ? loads : List.of(), "norte"),
          NOW);
    }
  }

  private static UpstreamLoad load(String id, long tokens) {
    return new UpstreamLoad(id, tokens == 0 ? 0 : 1, tokens, List.of(tokens), 0);
  }

  private Replica chosen() {
    PromptShape prompt = new PromptShape("m", 500, 20, 20, List.of(new PromptPart("own", 500)));
    Placement placed =
        placement.choose(
            prompt,
            version -> "s",
            Engines.SERVICE,
            engines,
            WeightPreference.of(
                new TargetWeights.TargetVersion(1, RequestInterval.at(new Moment(0, 0))),
                new Moment(0, 0),
                8_000),
            List.of(),
            Set.of(),
            0,
            600,
            5_000,
            NOW);
    return ((Placement.Send) placed).replica();
  }

  private double shareInGroup() {
    int calls = 400;
    long inGroup =
        IntStream.range(0, calls).filter(i -> group.hasEngine(chosen().entry().id())).count();
    return inGroup / (double) calls;
  }

  @Test
  void idleEnginesOfTheGroupArePreferred() {
    report(INSTANCES - 1, 0, 0);

    assertThat(shareInGroup()).isEqualTo(1);
  }

  /** Callers have moved into this domain, and the other one is idle. */
  @Test
  void idleDomainIsUsedWhileOwnOneIsBusy() {
    report(INSTANCES - 1, BUSY_TOKENS, 0);

    assertThat(shareInGroup()).isLessThan(0.05);
    assertThat(chosen().entry().domain()).isEqualTo("sur");
  }

  /** What looks idle at a busy domain has got requests since the last report. */
  @Test
  void groupIsKeptWhileAllDomainsAreBusy() {
    report(INSTANCES - 1, BUSY_TOKENS, BUSY_TOKENS);

    assertThat(shareInGroup()).isEqualTo(1);
  }

  @Test
  void groupIsKeptWhileReportsOfOthersAreMissing() {
    report(INSTANCES / 2, BUSY_TOKENS, 0);

    assertThat(shareInGroup()).isGreaterThan(0.9);
  }

  @Test
  void idleDomainIsUsedWhileFewReportsAreMissing() {
    report(INSTANCES * 9 / 10, BUSY_TOKENS, 0);

    assertThat(shareInGroup()).isLessThan(0.05);
  }
}
