package org.bulrushpier.survival;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.Address;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.fleet.UpstreamLoad;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaEntry;
import org.bulrushpier.replica.ReplicaTable;
import org.bulrushpier.site.ConfiguredRoute;
import org.bulrushpier.site.Homes;
import org.bulrushpier.site.RouteKind;
import org.bulrushpier.site.Service;
import org.bulrushpier.survival.CopyPlacement.Choice;
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
  private final LoadGroup group = new LoadGroup();
  private final CopyPlacement placement = CopyPlacement.of(peers, group, new Random(3));

  static Replica replica(String id, String domain, int version) {
    ReplicaTable table = new ReplicaTable();
    table.put(entry(id, domain, version, 1));
    return table.find(id);
  }

  private static ReplicaEntry entry(String id, String domain, int version, long incarnation) {
    return new ReplicaEntry(
        id,
        "engines",
        new Address("10.0.0.1", 9_000),
        domain,
        48,
        false,
        incarnation,
        Map.of("m", version),
        0);
  }

  private Optional<Replica> choose(Replica run, List<Replica> replicas, Set<String> excluded) {
    return choice(run, replicas, excluded) instanceof Choice.Holder holder
        ? Optional.of(holder.replica())
        : Optional.empty();
  }

  private Choice choice(Replica run, List<Replica> replicas, Set<String> excluded) {
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

  /**
   * While most replicas are full, an empty one is no place for copies, as it will get as many runs
   * as the others.
   */
  @Test
  void noCopyIsOrderedWhileMemoryIsScarceInTheService() {
    List<Replica> replicas = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Replica replica = replica("e" + i, "d" + i % 4, 1);
      if (i >= 4) {
        replica.begin("r", new Replica.InFlightRequest(0, 10, 8_500, 0, NOW, NOW + 1_000));
      }
      replicas.add(replica);
    }

    for (int i = 0; i < 20; i++) {
      assertThat(choice(replicas.get(4), replicas, Set.of()))
          .isEqualTo(new Choice.None(CopyPlacement.Reason.NO_MEMORY));
    }
  }

  private List<Replica> replicas(int count, IntUnaryOperator runTokens) {
    List<Replica> replicas = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Replica replica = replica("e" + i, "d" + i % 4, 1);
      int tokens = runTokens.applyAsInt(i);
      replica.begin("r", new Replica.InFlightRequest(0, 10, tokens, 0, NOW, NOW + 1_000));
      replicas.add(replica);
    }
    return replicas;
  }

  /** The other half takes copies, but keeps room for as many runs as there are on average. */
  @Test
  void copiesAreOrderedWhileHalfOfReplicasAreNearlyFull() {
    List<Replica> replicas = replicas(40, i -> i % 2 == 0 ? 9_000 : 1_000);

    for (int i = 0; i < 30; i++) {
      Optional<Replica> holder = choose(replicas.get(i), replicas, Set.of());
      assertThat(holder).as("copy %d", i).isPresent();
      holder.get().beginCopy("c" + i, PROMPT.totalTokens());
    }

    for (int i = 0; i < 1_000; i++) {
      choose(replicas.get(i % 40), replicas, Set.of())
          .ifPresent(holder -> holder.beginCopy("later", PROMPT.totalTokens()));
    }
    assertThat(replicas)
        .allSatisfy(
            r ->
                assertThat(r.copyTokens())
                    .isLessThanOrEqualTo(r.reservedTokens() > 8_000 ? 0 : 3_000));
  }

  /** Runs that fill half of the memory leave room for their copies. */
  @Test
  void copiesAreOrderedWhileReplicasAreHalfFull() {
    List<Replica> replicas = replicas(40, i -> 5_000);

    for (int i = 0; i < 40; i++) {
      Optional<Replica> holder = choose(replicas.get(i), replicas, Set.of());
      assertThat(holder).as("copy %d", i).isPresent();
      holder.get().beginCopy("c" + i, PROMPT.totalTokens());
    }
  }

  @Test
  void copiesToldByOtherInstancesCount() {
    List<Replica> replicas = replicas(3, i -> 1_000);
    Replica run = replicas.get(0);
    Replica holder = replicas.get(1);
    tell(1, List.of(new UpstreamLoad("e2", 0, 0, List.of(), 6_500)), peers);

    for (int i = 0; i < 5; i++) {
      assertThat(choose(run, replicas, Set.of())).contains(holder);
    }

    // What the holder's next incarnation holds is told anew.
    tell(2, List.of(), peers);
    assertThat(
            IntStream.range(0, 20)
                .mapToObj(i -> choose(run, replicas, Set.of()).get().entry().id()))
        .contains("e2");
  }

  private static void tell(long sequence, List<UpstreamLoad> loads, PeerLoads peers) {
    peers.record("10.0.0.9:1", new FleetMessage.Load(1, sequence, loads, ""), NOW);
  }

  /** Copies that were ordered at an incarnation are gone with it. */
  @Test
  void restartedReplicaHoldsNoneOfItsFormerCopies() {
    ReplicaTable table = new ReplicaTable();
    Replica run = replica("run", "a", 1);
    table.put(entry("e", "b", 1, 1));
    Replica former = table.find("e");
    RunCopy copy = RunCopy.of("r", new PromptShape("m", 7_000, 400, 400, List.of()));
    copy.ordered(former, 1);
    assertThat(choose(run, List.of(run, former), Set.of())).isEmpty();

    table.put(entry("e", "b", 1, 2));
    Replica restarted = table.find("e");

    assertThat(restarted).isNotSameAs(former);
    assertThat(restarted.ownLoad().copyTokens()).isZero();
    assertThat(choose(run, List.of(run, restarted), Set.of())).contains(restarted);
  }

  /** What a peer runs that is not heard from any more shows in what replicas report. */
  @Test
  void runsOfSilentPeerStillNeedTheirRoom() {
    Replica run = replica("run", "a", 1);
    Replica busy = replica("busy", "b", 1);
    tell(1, List.of(new UpstreamLoad("busy", 8, 7_500, List.of(), 0)), peers);
    busy.recordLoad(new ReportedLoad(8, 0, 48), NOW);
    assertThat(choose(run, List.of(run, busy), Set.of())).isEmpty();

    peers.expire(NOW + 10_000);

    assertThat(choose(run, List.of(run, busy), Set.of())).isEmpty();
  }

  /** All instances know the same old loads, and one replica is emptier than the others. */
  @Test
  void manyInstancesThatPlaceAtOnceDoNotOverfillTheEmptiestReplica() {
    final int instances = 83;
    Map<String, Long> copies = new HashMap<>();
    for (int instance = 0; instance < instances; instance++) {
      PeerLoads loads = new PeerLoads();
      List<Replica> replicas = new ArrayList<>();
      List<UpstreamLoad> told = new ArrayList<>();
      for (int i = 0; i < 98; i++) {
        replicas.add(replica("e" + i, "d" + i % 3, 1));
        told.add(new UpstreamLoad("e" + i, 4, i == 0 ? 0 : 2_500, List.of(), 0));
      }
      tell(1, told, loads);
      LoadGroup large = new LoadGroup();
      large.update(new Address("10.0.0.1", 1), instances, List.of(), Map.of());
      CopyPlacement own = CopyPlacement.of(loads, large, new Random(instance));
      for (int i = 0; i < 2; i++) {
        Replica run = replicas.get(1 + instance);
        Choice choice = own.choose(PROMPT, SERVICE, run, replicas, r -> true, NOW);
        Replica holder = ((Choice.Holder) choice).replica();
        holder.beginCopy("c" + i, PROMPT.totalTokens());
        copies.merge(holder.entry().id(), (long) PROMPT.totalTokens(), Long::sum);
      }
    }

    assertThat(copies.values()).allMatch(tokens -> tokens <= 10_000 - 2_500);
  }

  @Test
  void holderWithOverdueResponseIsLastChoice() {
    Replica run = replica("run", "a", 1);
    Replica doubtful = replica("doubtful", "b", 1);
    Replica sound = replica("sound", "a", 1);
    doubtful.begin("silent", new Replica.InFlightRequest(0, 10, 20, 0, 0, NOW - 1));
    sound.beginCopy("other", 5_000);

    assertThat(choice(run, List.of(run, doubtful, sound), Set.of()))
        .isEqualTo(new Choice.Holder(sound, false));
    assertThat(choice(run, List.of(run, doubtful), Set.of()))
        .isEqualTo(new Choice.Holder(doubtful, true));
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
        new FleetMessage.Load(1, 1, List.of(new UpstreamLoad("apart", 9, 7_500, List.of(), 0)), ""),
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
    Set<String> doubtful = new HashSet<>();
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
        case 7 -> {
          replica.begin("silent", new Replica.InFlightRequest(0, 10, 20, 0, 0, NOW - 1));
          doubtful.add(id);
        }
        default -> replica.beginCopy("other", 10 * i);
      }
      if (states.get(i) < 7) {
        unsuitable.add(id);
      }
      replicas.add(replica);
    }

    Choice choice = choice(run, replicas, excluded);

    if (choice instanceof Choice.Holder(Replica holder, boolean isDoubtful)) {
      assertThat(holder.entry().id()).isNotIn(unsuitable);
      assertThat(doubtful.contains(holder.entry().id())).isEqualTo(isDoubtful);
      // All replicas of a small service are looked at, and a sound one comes first.
      boolean isSoundLeft = states.stream().anyMatch(state -> state > 7);
      assertThat(isDoubtful && isSoundLeft && replicas.size() <= 8).isFalse();
    }
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
    other.begin("r", new Replica.InFlightRequest(0, 10, 7_100, 0, NOW, NOW + 1_000));

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
