package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushpier.Moment;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.fleet.UpstreamLoad;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.RequestInterval;
import org.bulrushpier.rollout.TargetWeights;
import org.bulrushpier.rollout.WeightPreference;
import org.junit.jupiter.api.Test;

class EnginePlacementTest {

  private static final long NOW = 50_000;
  private static final WeightPreference ANY_VERSION = preference(0, 0);

  private static final long GOAL_MILLIS = 600;

  private final PeerLoads peers = new PeerLoads();
  private final EnginePlacement placement = EnginePlacement.of("norte", new PrefillRate(), peers);
  private final List<Replica> engines = new ArrayList<>();

  EnginePlacementTest() {
    for (int i = 0; i < 6; i++) {
      engines.add(Engines.engine("e" + i, i < 2 ? "norte" : i < 4 ? "centro" : "sur"));
    }
  }

  private static WeightPreference preference(int version, long ageMillis) {
    return WeightPreference.of(
        new TargetWeights.TargetVersion(version, RequestInterval.at(new Moment(0, 0))),
        new Moment(ageMillis, ageMillis),
        8_000);
  }

  private static PromptShape prompt(String session, int tokens) {
    return new PromptShape(
        "m",
        tokens,
        20,
        20,
        List.of(new PromptPart(session, tokens - 500), new PromptPart("own", 500)));
  }

  private Placement choose(
      PromptShape prompt, WeightPreference preference, Set<String> excluded, long left) {
    return choose(prompt, preference, excluded, 0, GOAL_MILLIS, left);
  }

  private Placement choose(
      PromptShape prompt,
      WeightPreference preference,
      Set<String> excluded,
      int priority,
      long goal,
      long left) {
    return placement.choose(
        prompt,
        version -> new CacheSalt("m", version, "").text(),
        Engines.SERVICE,
        engines,
        preference,
        List.of(),
        excluded,
        priority,
        goal,
        left,
        NOW);
  }

  private String chosen(PromptShape prompt, WeightPreference preference) {
    return ((Placement.Send) choose(prompt, preference, Set.of(), 5_000)).replica().entry().id();
  }

  @Test
  void sessionReturnsToTheEngineThatHoldsItsParts() {
    PromptShape prompt = prompt("s", 8_000);
    engines.get(4).parts().put(new CacheSalt("m", 1, "").text(), "s", 7_500);

    assertThat(chosen(prompt, ANY_VERSION)).isEqualTo("e4");
  }

  @Test
  void predictionScalesWithTheDurationOfWorkAtTheEngine() {
    Replica engine = engines.get(0);
    engines.subList(1, engines.size()).clear();
    long usual = expectedMillis();
    engine.recordLoad(new ReportedLoad(0, 0, 48, 250), NOW);

    assertThat(expectedMillis()).isBetween(2 * usual, 3 * usual);
  }

  private long expectedMillis() {
    Placement placed = choose(prompt("s", 2_000), ANY_VERSION, Set.of(), 5_000);
    return ((Placement.Send) placed).expectedMillis();
  }

  @Test
  void estimatesBeginWithTheEngineThatIsChosen() {
    PromptShape prompt = prompt("s", 8_000);
    engines.get(4).parts().put(new CacheSalt("m", 1, "").text(), "s", 7_500);

    List<EngineEstimate> estimates =
        placement.estimates(
            prompt,
            version -> new CacheSalt("m", version, "").text(),
            Engines.SERVICE,
            engines,
            ANY_VERSION,
            List.of(),
            0,
            NOW);

    assertThat(estimates).hasSameSizeAs(engines);
    assertThat(estimates.getFirst().engine().entry().id()).isEqualTo(chosen(prompt, ANY_VERSION));
    assertThat(estimates.getFirst().plan().residentTokens()).isEqualTo(7_500);
    assertThat(placement.decide(Optional.of(estimates.getFirst()), 1_000, 5_000))
        .isInstanceOf(Placement.Send.class);
  }

  @Test
  void engineWhereWorkTakesLongerIsAvoided() {
    PromptShape prompt = prompt("s", 700);
    String usual = chosen(prompt, ANY_VERSION);
    for (Replica engine : engines) {
      if (engine.entry().id().equals(usual)) {
        engine.recordLoad(new ReportedLoad(1, 0, 48, 250), NOW);
      }
    }

    assertThat(chosen(prompt, ANY_VERSION)).isNotEqualTo(usual);
  }

  @Test
  void requestIsNotRefusedBecauseTheOnlyEngineIsSilent() {
    engines.subList(1, engines.size()).clear();
    engines.get(0).markUnreachable(NOW);

    assertThat(choose(prompt("s", 1_000), ANY_VERSION, Set.of(), 1_500))
        .isInstanceOf(Placement.Send.class);
  }

  @Test
  void instancesAgreeOnTheHomeEngineOfNewSession() {
    String first = chosen(prompt("another", 8_000), ANY_VERSION);
    EnginePlacement elsewhere = EnginePlacement.of("sur", new PrefillRate(), new PeerLoads());

    Placement second =
        elsewhere.choose(
            prompt("another", 8_000),
            version -> new CacheSalt("m", version, "").text(),
            Engines.SERVICE,
            engines,
            ANY_VERSION,
            List.of(),
            Set.of(),
            0,
            GOAL_MILLIS,
            5_000,
            NOW);

    assertThat(((Placement.Send) second).replica().entry().id()).isEqualTo(first);
  }

  @Test
  void burstOfLongPromptsSpreadsOverAllEngines() {
    for (int i = 0; i < 18; i++) {
      PromptShape prompt = prompt("s" + i, 8_000);
      Placement.Send send =
          (Placement.Send) choose(prompt, ANY_VERSION, Set.of(), 0, 60_000, 60_000);
      send.replica()
          .begin("r" + i, new Replica.InFlightRequest(0, 8_000, 8_020, 0, NOW, NOW + 10_000));
    }

    assertThat(engines).allSatisfy(engine -> assertThat(engine.ownRequests()).isBetween(2, 4));
  }

  @Test
  void callThatCannotBeginInTimeIsRefusedWithRetryDelay() {
    for (Replica engine : engines) {
      for (int i = 0; i < 10; i++) {
        engine.begin("r" + i, new Replica.InFlightRequest(0, 8_000, 8_020, 0, NOW, NOW + 10_000));
      }
    }

    Placement refusal = choose(prompt("s", 8_000), ANY_VERSION, Set.of(), 1_000);

    assertThat(refusal).isInstanceOf(Placement.Refuse.class);
    assertThat(((Placement.Refuse) refusal).retryAfterMillis()).isGreaterThan(500);
  }

  @Test
  void enginesThatFailOrDoNotAnswerAreAvoided() {
    for (int i = 0; i < 30; i++) {
      engines.get(0).recordOutcome(true, NOW);
    }
    engines.get(1).markUnreachable(NOW - 500);
    engines.get(2).begin("late", new Replica.InFlightRequest(0, 0, 0, 0, NOW - 2_000, NOW - 1_000));

    for (int i = 0; i < 40; i++) {
      assertThat(chosen(prompt("s" + i, 2_000), ANY_VERSION)).isIn("e3", "e4", "e5");
    }
  }

  @Test
  void excludedEnginesAreNotChosen() {
    Placement none =
        choose(prompt("s", 800), ANY_VERSION, Set.of("e0", "e1", "e2", "e3", "e4", "e5"), 5_000);

    assertThat(none).isInstanceOf(Placement.Refuse.class);
  }

  @Test
  void outdatedWeightsAreUsedWhileEnginesWithNewOnesAreBusy() {
    engines.get(3).recordVersion("m", 2);
    assertThat(chosen(prompt("s", 800), preference(2, 3_000))).isEqualTo("e3");

    for (int i = 0; i < 4; i++) {
      engines
          .get(3)
          .begin("r" + i, new Replica.InFlightRequest(0, 8_000, 8_020, 0, NOW, NOW + 10_000));
    }

    assertThat(chosen(prompt("s", 800), preference(2, 3_000))).isNotEqualTo("e3");
  }

  @Test
  void outdatedWeightsAreNotUsedWhenTheCallMightBeginTooLate() {
    Placement refusal = choose(prompt("s", 800), preference(2, 7_400), Set.of(), 5_000);

    assertThat(refusal).isInstanceOf(Placement.Refuse.class);
  }

  private void report(int requests, long memoryTokens, long pendingTokens) {
    List<UpstreamLoad> loads =
        engines.stream()
            .map(
                engine ->
                    new UpstreamLoad(
                        engine.entry().id(), requests, memoryTokens, List.of(0L, pendingTokens), 0))
            .toList();
    peers.record("10.0.0.9:1", new FleetMessage.Load(1, 1, loads, "norte"), NOW);
  }

  @Test
  void requestWaitsWhileOthersFillTheMemoryOfAllEngines() {
    report(5, 50_000, 0);

    assertThat(choose(prompt("s", 8_000), ANY_VERSION, Set.of(), 5_000))
        .isInstanceOf(Placement.Wait.class);
    assertThat(choose(prompt("s", 800), ANY_VERSION, Set.of(), 5_000))
        .isInstanceOf(Placement.Send.class);
  }

  @Test
  void urgentRequestDoesNotWaitForLessUrgentOnes() {
    report(3, 3_000, 80_000);

    assertThat(choose(prompt("s", 800), ANY_VERSION, Set.of(), 1, GOAL_MILLIS, 5_000))
        .isInstanceOf(Placement.Wait.class);
    assertThat(choose(prompt("s", 800), ANY_VERSION, Set.of(), 0, GOAL_MILLIS, 5_000))
        .isInstanceOf(Placement.Send.class);
  }

  /** An engine finishes the piece of a prompt that it reads before it turns to another one. */
  @Test
  void urgentRequestPrefersEngineThatReadsNoLessUrgentPrompt() {
    for (Replica engine : engines.subList(0, 5)) {
      engine.begin("long", new Replica.InFlightRequest(1, 8_000, 8_020, 0, NOW, NOW + 10_000));
    }

    for (int i = 0; i < 20; i++) {
      assertThat(chosen(prompt("s" + i, 800), ANY_VERSION)).isEqualTo("e5");
    }
  }

  /** The longest prompts take most of their objective by themselves, and are not held back. */
  @Test
  void longPromptIsSentToIdleEngine() {
    assertThat(choose(prompt("s", 40_000), ANY_VERSION, Set.of(), 5_000))
        .isInstanceOf(Placement.Send.class);
  }

  /** Other instances send the session to its home engine, which therefore is likely to hold it. */
  @Test
  void longSessionGoesHomeInSpiteOfShortWaitThere() {
    PromptShape prompt = prompt("s", 8_000);
    String home = chosen(prompt, ANY_VERSION);
    UpstreamLoad pending = new UpstreamLoad(home, 1, 4_000, List.of(4_000L), 0);
    peers.record("10.0.0.9:1", new FleetMessage.Load(1, 1, List.of(pending), "norte"), NOW);

    assertThat(chosen(prompt, ANY_VERSION)).isEqualTo(home);
  }
}
