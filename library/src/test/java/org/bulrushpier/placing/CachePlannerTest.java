package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.replica.Replica;
import org.junit.jupiter.api.Test;

class CachePlannerTest {

  private static final long NOW = 50_000;
  private static final String SALT = new CacheSalt("m", 1, "").text();

  private final PromptShape prompt =
      new PromptShape(
          "m",
          9_000,
          20,
          20,
          List.of(
              new PromptPart("system", 2_500),
              new PromptPart("session", 5_000),
              new PromptPart("own", 1_500)));
  private final Replica engine = Engines.engine("e1", "norte");
  private final CacheStoreState near = Engines.store("near", "norte", 100_000);
  private final CacheStoreState far = Engines.store("far", "sur", 100_000);

  private CachePlan plan() {
    PartSources sources = PartSources.of(prompt.parts(), SALT, List.of(near, far), NOW);
    return CachePlanner.plan(prompt, SALT, Engines.SERVICE, engine, sources);
  }

  @Test
  void partsThatNobodyHoldsArePrefilled() {
    CachePlan plan = plan();

    assertThat(plan.prefillTokens()).isEqualTo(9_000);
    assertThat(plan.sharedPrefillTokens()).isEqualTo(7_500);
    assertThat(plan.sources()).containsOnly(CachePlan.NONE);
  }

  @Test
  void completePartIsFetchedFromTheNearestStore() {
    near.recordReport(1, NOW);
    far.recordReport(1, NOW);
    engine.parts().put(SALT, "system", 2_500);
    near.recordPart(SALT, "session", 5_000);
    far.recordPart(SALT, "session", 5_000);

    CachePlan plan = plan();

    assertThat(plan.residentTokens()).isEqualTo(2_500);
    assertThat(plan.fetchedTokens()).isEqualTo(5_000);
    assertThat(plan.prefillTokens()).isEqualTo(1_500);
    assertThat(plan.sources())
        .containsExactly("-", near.store().address().toString(), CachePlan.NONE);
  }

  /**
   * Under memory pressure engines evict parts, and reports of the eviction arrive late or never.
   */
  @Test
  void storeIsNamedForResidentPartToo() {
    near.recordReport(1, NOW);
    engine.parts().put(SALT, "system", 2_500);
    near.recordPart(SALT, "system", 2_500);
    near.recordPart(SALT, "session", 5_000);

    CachePlan plan = plan();

    String address = near.store().address().toString();
    assertThat(plan.sources()).containsExactly(address, address, CachePlan.NONE);
    assertThat(plan.residentTokens()).isEqualTo(2_500);
    assertThat(plan.fetchedTokens()).isEqualTo(5_000);
  }

  @Test
  void nothingIsFetchedBehindPartThatNeedsPrefill() {
    near.recordReport(1, NOW);
    near.recordPart(SALT, "session", 5_000);

    CachePlan plan = plan();

    assertThat(plan.fetchedTokens()).isZero();
    assertThat(plan.prefillTokens()).isEqualTo(9_000);
  }

  @Test
  void partIsNotFetchedWhileItIsBeingSaved() {
    near.recordReport(1, NOW);
    near.startSave(SALT, prompt.parts().get(0), NOW);

    assertThat(plan().fetchedTokens()).isZero();

    near.recordPart(SALT, "system", 2_500);
    assertThat(plan().fetchedTokens()).isEqualTo(2_500);
  }

  @Test
  void incompletePartIsNotFetched() {
    near.recordReport(1, NOW);
    near.recordPart(SALT, "system", 1_200);

    assertThat(plan().fetchedTokens()).isZero();
  }

  @Test
  void storeThatRestartedOrDidNotAnswerIsNotUsed() {
    near.recordReport(1, NOW);
    near.recordPart(SALT, "system", 2_500);
    near.recordReport(2, NOW);
    assertThat(plan().fetchedTokens()).isZero();

    near.recordPart(SALT, "system", 2_500);
    near.markUnreachable();
    assertThat(plan().fetchedTokens()).isZero();
  }

  @Test
  void partsOfAnotherSaltAreNotFetched() {
    near.recordReport(1, NOW);
    near.recordPart(new CacheSalt("m", 2, "").text(), "system", 2_500);
    near.recordPart(new CacheSalt("m", 1, "isolated").text(), "system", 2_500);

    assertThat(plan().fetchedTokens()).isZero();
  }

  @Test
  void sharedPartsAreSavedOnceAndPrivatePartsNever() {
    near.recordReport(1, NOW);
    far.recordReport(1, NOW);

    List<String> first = CachePlanner.planSaves(prompt, SALT, engine, List.of(near, far), NOW);
    List<String> second = CachePlanner.planSaves(prompt, SALT, engine, List.of(near, far), NOW);

    String address = near.store().address().toString();
    assertThat(first).containsExactly(address, address, CachePlan.NONE);
    assertThat(second).containsOnly(CachePlan.NONE);
  }

  @Test
  void storeWithoutRoomIsPassedOver() {
    CacheStoreState small = Engines.store("small", "norte", 1_000);
    small.recordReport(1, NOW);
    far.recordReport(1, NOW);

    List<String> targets = CachePlanner.planSaves(prompt, SALT, engine, List.of(small, far), NOW);

    assertThat(targets.get(0)).isEqualTo(far.store().address().toString());
  }

  @Test
  void savesInProgressOfAllInstancesTakeRoom() {
    CacheStoreState store = Engines.store("small", "norte", 30_000);
    store.recordReport(1, NOW);
    assertThat(store.hasRoom(5_000, NOW)).isTrue();

    store.startSave(SALT, new PromptPart("x", 6_500), NOW);

    assertThat(store.hasRoom(5_000, NOW)).isFalse();
    assertThat(store.hasRoom(5_000, NOW + 10_000)).isTrue();
  }

  @Test
  void saltsOfOutdatedWeightsAreRecognised() {
    assertThat(CacheSalt.isOutdated(SALT, "m", 2)).isTrue();
    assertThat(CacheSalt.isOutdated(SALT, "m", 1)).isFalse();
    assertThat(CacheSalt.isOutdated(SALT, "n", 2)).isFalse();
    assertThat(CacheSalt.isOutdated("m/x/", "m", 2)).isFalse();
    assertThat(CacheSalt.isOutdated("", "m", 2)).isFalse();
  }

  @Test
  void outdatedPartsAreListedBySalt() {
    near.recordReport(1, NOW);
    near.recordPart(SALT, "system", 2_500);
    near.recordPart(new CacheSalt("m", 2, "").text(), "system", 2_500);

    assertThat(near.outdatedParts("m", 2)).containsOnlyKeys(SALT);
    assertThat(near.freeTokens()).isEqualTo(95_000);
  }
}
