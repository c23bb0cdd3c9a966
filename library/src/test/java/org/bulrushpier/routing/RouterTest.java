package org.bulrushpier.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.Address;
import org.bulrushpier.Deployment;
import org.bulrushpier.Upstream;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.cache.PrefixChain;
import org.bulrushpier.cache.Prompt;
import org.bulrushpier.cache.StoreLookup;
import org.bulrushpier.cache.StoredBlock;
import org.junit.jupiter.api.Test;

class RouterTest {

  private static final long FAST_LINK = 100_000_000;
  private static final PrefixChain CHAIN =
      PrefixChain.of("c", "7", Prompt.of(List.of(new ChatMessage("user", "word ".repeat(3_200)))));
  private static final Deployment DEPLOYMENT =
      new Deployment("d", "site", "m", "7", new Deployment.Prices(0.02, 0.1), 1_000);

  private final Router router = Router.of(new RoutingPolicy.LeastCost());

  private static EngineState engine(String name, boolean isUsable, long backlog, int running) {
    Upstream.Engine engine =
        new Upstream.Engine(name, new Address("10.0.0.1", 1), "zone", "m", true, 8_000);
    return new EngineState(engine, isUsable, true, backlog, running, false, 10_000);
  }

  private static RoutingRequest request(String last, long since, StoreLookup stored, long link) {
    return new RoutingRequest(DEPLOYMENT, CHAIN, 0, last, CHAIN.keys().size(), since, stored, link);
  }

  private static StoreLookup stored(String engine, long age) {
    List<StoredBlock> blocks = new ArrayList<>();
    CHAIN.keys().forEach(key -> blocks.add(new StoredBlock(key, 1, "", 16_384)));
    return new StoreLookup("store", blocks, engine, age);
  }

  private Route choose(RoutingRequest request, EngineState... engines) {
    return router.choose(request, List.of(engines)).orElseThrow();
  }

  @Test
  void unusableEnginesAreNeverChosen() {
    RoutingRequest request = request("", 0, StoreLookup.NONE, FAST_LINK);
    assertThat(router.choose(request, List.of(engine("a", false, 0, 0)))).isEmpty();
    assertThat(
            choose(request, engine("a", false, 0, 0), engine("b", true, 9_000, 9)).engine().name())
        .isEqualTo("b");
  }

  @Test
  void recentConversationStaysAtTheEngineThatHoldsItsBlocks() {
    RoutingRequest request = request("a", 1_000, StoreLookup.NONE, FAST_LINK);
    Route route = choose(request, engine("a", true, 500, 2), engine("b", true, 0, 0));
    assertThat(route.engine().name()).isEqualTo("a");
    assertThat(route.source()).isEqualTo(Route.Source.ENGINE);
  }

  @Test
  void longQueueOutweighsResidentBlocks() {
    RoutingRequest request = request("a", 1_000, StoreLookup.NONE, FAST_LINK);
    Route route = choose(request, engine("a", true, 40_000, 2), engine("b", true, 0, 0));
    assertThat(route.engine().name()).isEqualTo("b");
  }

  @Test
  void idleConversationIsFetchedFromTheStoreOverFastLink() {
    RoutingRequest request = request("", 0, stored("a", 60_000), FAST_LINK);
    assertThat(choose(request, engine("a", true, 0, 0)).source()).isEqualTo(Route.Source.STORE);
  }

  @Test
  void recomputingIsCheaperThanSlowLink() {
    RoutingRequest request = request("", 0, stored("a", 60_000), 200_000);
    assertThat(choose(request, engine("a", true, 0, 0)).source()).isNotEqualTo(Route.Source.STORE);
  }

  @Test
  void engineWithLargeBatchIsAvoided() {
    RoutingRequest request = request("", 0, StoreLookup.NONE, FAST_LINK);
    Route route = choose(request, engine("a", true, 0, 60), engine("b", true, 0, 3));
    assertThat(route.engine().name()).isEqualTo("b");
  }

  @Test
  void longPromptGoesToAnEngineWithoutStreams() {
    RoutingRequest request = request("", 0, StoreLookup.NONE, FAST_LINK);
    Route route = choose(request, engine("a", true, 0, 1), engine("b", true, 600, 0));
    assertThat(route.engine().name()).isEqualTo("b");
  }

  @Test
  void removingOneMemberMovesOnlyItsKeys() {
    List<String> members = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      members.add("m" + i);
    }
    Map<String, String> before = new HashMap<>();
    for (int i = 0; i < 2_000; i++) {
      before.put("key" + i, Rendezvous.first("key" + i, members));
    }
    members.remove("m7");
    before.forEach(
        (key, member) -> {
          if (!member.equals("m7")) {
            assertThat(Rendezvous.first(key, members)).isEqualTo(member);
          }
        });
    long share = before.values().stream().filter("m7"::equals).count();
    assertThat(share).isBetween(60L, 140L);
  }
}
