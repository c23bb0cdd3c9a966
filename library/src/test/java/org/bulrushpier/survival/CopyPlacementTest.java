package org.bulrushpier.survival;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.Address;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.fleet.UpstreamLoad;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaEntry;
import org.bulrushpier.replica.ReplicaTable;
import org.bulrushpier.site.ConfiguredRoute;
import org.bulrushpier.site.Homes;
import org.bulrushpier.site.RouteKind;
import org.bulrushpier.site.Service;
import org.junit.jupiter.api.Test;

class CopyPlacementTest {

  private static final Service.Engines SERVICE =
      new Service.Engines(
          "engines",
          300,
          48,
          10_000,
          131_072,
          130_000,
          true,
          true,
          List.of("m"),
          Service.ColdStart.NONE);

  private static final PromptShape PROMPT =
      new PromptShape("m", 900, 100, 100, List.of(new PromptPart("a", 900)));

  private static final long NOW = 10_000;

  private final PeerLoads peers = new PeerLoads();
  private final CopyPlacement placement = CopyPlacement.of(peers, new Random(3));

  static Replica replica(String id, String domain, int version) {
    ReplicaTable table = new ReplicaTable();
    table.put(
        new ReplicaEntry(
            id,
            "engines",
            new Address("10.0.0.1", 9_000),
            domain,
            48,
            false,
            1,
            Map.of("m", version),
            0));
    return table.find(id);
  }

  private Optional<Replica> choose(Replica run, List<Replica> replicas, Set<String> excluded) {
    return placement.choose(
        PROMPT,
        SERVICE,
        run,
        replicas,
        r -> r.isUsable(NOW) && !excluded.contains(r.entry().id()),
        NOW);
  }

  private static ConfiguredRoute route(RouteKind kind, boolean isResumable) {
    return new ConfiguredRoute(
        "r", "h", "/", kind, isResumable, 1_000, 100, 100, 0, List.of(), 1, true, Homes.EVERYWHERE);
  }

  @Test
  void onlyStreamsThatMayNotBeResumedGetCopies() {
    assertThat(CopyPlacement.isWanted(route(RouteKind.STREAM, false), SERVICE, PROMPT)).isTrue();
    assertThat(CopyPlacement.isWanted(route(RouteKind.STREAM, true), SERVICE, PROMPT)).isFalse();
    assertThat(CopyPlacement.isWanted(route(RouteKind.ONCE, false), SERVICE, PROMPT)).isFalse();
    assertThat(CopyPlacement.isWanted(route(RouteKind.IDEMPOTENT, false), SERVICE, PROMPT))
        .isFalse();
    Service.Engines without =
        new Service.Engines(
            "e",
            300,
            48,
            10_000,
            131_072,
            130_000,
            true,
            false,
            List.of("m"),
            Service.ColdStart.NONE);
    assertThat(CopyPlacement.isWanted(route(RouteKind.STREAM, false), without, PROMPT)).isFalse();
  }

  @Test
  void longPromptsWithShortOutputGetNoCopies() {
    PromptShape brief = new PromptShape("m", 9_000, 8, 8, List.of());
    assertThat(CopyPlacement.isWanted(route(RouteKind.STREAM, false), SERVICE, brief)).isFalse();
    PromptShape wordy = new PromptShape("m", 9_000, 400, 200, List.of());
    assertThat(CopyPlacement.isWanted(route(RouteKind.STREAM, false), SERVICE, wordy)).isTrue();
  }

  @Test
  void replicaInAnotherDomainIsPreferredEvenIfItIsFuller() {
    Replica run = replica("run", "a", 1);
    Replica near = replica("near", "a", 1);
    Replica apart = replica("apart", "b", 1);
    apart.beginCopy("other", 2_500);

    assertThat(choose(run, List.of(run, near, apart), Set.of())).contains(apart);
  }

  /** While most replicas are full, an empty one is no place for copies. */
  @Test
  void noCopyIsOrderedWhileMemoryIsScarceInTheService() {
    List<Replica> replicas = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Replica replica = replica("e" + i, "d" + i % 4, 1);
      if (i >= 4) {
        replica.begin("r", new Replica.InFlightRequest(0, 10, 6_000, 0, NOW, NOW + 1_000));
      }
      replicas.add(replica);
    }

    for (int i = 0; i < 20; i++) {
      assertThat(choose(replicas.get(4), replicas, Set.of())).isEmpty();
    }
  }

  /** The only replica in another domain is preferred, unless others have filled it. */
  @Test
  void loadToldByOtherInstancesCounts() {
    List<Replica> replicas = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      replicas.add(replica("near" + i, "a", 1));
    }
    Replica apart = replica("apart", "b", 1);
    replicas.add(apart);
    Replica run = replicas.get(0);
    assertThat(IntStream.range(0, 50).mapToObj(i -> choose(run, replicas, Set.of()).get()))
        .contains(apart);

    peers.record(
        "10.0.0.9:1",
        new FleetMessage.Load(1, 1, List.of(new UpstreamLoad("apart", 9, 3_500, List.of())), ""),
        NOW);

    assertThat(IntStream.range(0, 50).mapToObj(i -> choose(run, replicas, Set.of()).get()))
        .doesNotContain(apart);
  }

  /** Draws replicas in all states that must not hold a copy, with a few that may. */
  @Property
  void holderCanAlwaysTakeOverTheRun(
      @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 9) Integer> states) {
    Replica run = replica("run", "a", 2);
    List<Replica> replicas = new ArrayList<>();
    replicas.add(run);
    Set<String> unsuitable = new HashSet<>(Set.of("run"));
    Set<String> excluded = new HashSet<>();
    for (int i = 0; i < states.size(); i++) {
      String id = "e" + i;
      Replica replica = replica(id, i % 2 == 0 ? "a" : "b", states.get(i) == 0 ? 1 : 2);
      switch (states.get(i)) {
        case 0 -> unsuitable.add(id);
        case 1 -> replica.markLeaving("test");
        case 2 -> replica.pause(NOW + 1);
        case 3 -> replica.defer(NOW + 1);
        case 4 -> replica.markUnreachable(NOW);
        case 5 -> replica.beginCopy("other", 9_900);
        case 6 -> excluded.add(id);
        case 7 -> replica.begin("silent", new Replica.InFlightRequest(0, 10, 20, 0, 0, NOW - 1));
        default -> replica.beginCopy("other", 10 * i);
      }
      if (states.get(i) < 8) {
        unsuitable.add(id);
      }
      replicas.add(replica);
    }

    Optional<Replica> holder = choose(run, replicas, excluded);

    assertThat(holder.map(h -> h.entry().id()))
        .isNotIn(unsuitable.stream().map(Optional::of).toList());
  }

  /** Two replicas whose weights are not known may have different ones. */
  @Test
  void weightsThatAreNotKnownAreNotTheSame() {
    Replica unknown = replica("unknown", "a", 0);
    Replica other = replica("other", "b", 0);
    Replica known = replica("known", "b", 1);

    assertThat(choose(unknown, List.of(unknown, other, known), Set.of())).isEmpty();
    assertThat(choose(known, List.of(unknown, other, known), Set.of())).isEmpty();
  }

  /** In a service of few replicas a draw must not miss the only one that can hold the copy. */
  @Test
  void onlySuitableReplicaOfSmallServiceIsAlwaysFound() {
    for (int size = 2; size <= 8; size++) {
      List<Replica> replicas = new ArrayList<>();
      Set<String> excluded = new HashSet<>();
      for (int i = 0; i < size; i++) {
        replicas.add(replica("e" + i, "a", 1));
        excluded.add("e" + i);
      }
      excluded.remove("e" + (size - 1));

      for (int i = 0; i < 200; i++) {
        assertThat(choose(replicas.get(0), replicas, excluded)).contains(replicas.get(size - 1));
      }
    }
  }

  /** Many runs at once do not heap their copies on few replicas. */
  @Test
  void copiesSpreadOverReplicas() {
    List<Replica> replicas = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      replicas.add(replica("e" + i, "d" + i % 4, 1));
    }
    for (int i = 0; i < 80; i++) {
      Replica run = replicas.get(i % 40);
      choose(run, replicas, Set.of()).orElseThrow().beginCopy("r" + i, PROMPT.totalTokens());
    }

    assertThat(replicas)
        .allSatisfy(replica -> assertThat(replica.copyTokens()).isBetween(1_000L, 4_000L));
  }

  @Test
  void noCopyIsOrderedWhereTheRunWouldNotFit() {
    Replica run = replica("run", "a", 1);
    Replica other = replica("other", "b", 1);
    other.begin("r", new Replica.InFlightRequest(0, 10, 3_100, 0, NOW, NOW + 1_000));

    assertThat(choose(run, List.of(run, other), Set.of())).isEmpty();
  }

  /** A copy must not make instances hold back or refuse requests. */
  @Test
  void copiesDoNotCountAsRequests() {
    Replica replica = replica("e", "a", 1);
    replica.beginCopy("r", 700);

    assertThat(replica.copyTokens()).isEqualTo(700);
    assertThat(replica.reservedTokens()).isZero();
    assertThat(replica.ownLoad().memoryTokens()).isZero();
    replica.endCopy("r");
    assertThat(replica.copyTokens()).isZero();
  }
}
