package org.bulrushpier.survival;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.survival.RunCopy.Continuation;
import org.junit.jupiter.api.Test;

class RunCopyTest {

  private static final PromptShape PROMPT =
      new PromptShape("m", 900, 100, 100, List.of(new PromptPart("a", 900)));

  private static final long NOW = 10_000;

  private final RunCopy copy = RunCopy.of("r", PROMPT);
  private final Replica holder = CopyPlacementTest.replica("holder", "a", 3);

  private void assertLost(String reason) {
    assertThat(copy.continuation(replica -> replica.exclusion(NOW)))
        .isInstanceOfSatisfying(
            Continuation.Lost.class, lost -> assertThat(lost.reason()).contains(reason));
  }

  @Test
  void runWithoutCopyIsLost() {
    assertLost("no copy");
  }

  @Test
  void runGoesOnUnderItsWeightsAndOnlyOnce() {
    copy.ordered(holder, 3);

    assertThat(copy.continuation(replica -> replica.exclusion(NOW)))
        .isEqualTo(new Continuation.GoOn(holder, 3));
    copy.used();
    assertLost("no copy");
  }

  private void assertWaits(String reason) {
    assertThat(copy.continuation(replica -> replica.exclusion(NOW)))
        .isInstanceOfSatisfying(
            Continuation.Wait.class, wait -> assertThat(wait.reason()).contains(reason));
  }

  @Test
  void runIsLostIfItsHolderLeaves() {
    copy.ordered(holder, 3);
    holder.markLeaving("restarted");

    assertLost("leaving");
  }

  @Test
  void runWaitsForItsHolderWhileThatTakesNoRequestsForMoment() {
    copy.ordered(holder, 3);
    holder.pause(NOW + 100);

    assertWaits("paused");
    holder.resume();
    assertThat(copy.continuation(replica -> replica.exclusion(NOW)))
        .isInstanceOf(Continuation.GoOn.class);
    holder.defer(NOW + 100);
    assertWaits("wanting no requests");
    holder.markLeaving("restarted");
    assertLost("leaving");
  }

  @Test
  void everyPassingExclusionIsWaitedFor() {
    copy.ordered(holder, 3);

    for (Exclusion exclusion : Exclusion.values()) {
      assertThat(copy.continuation(replica -> Optional.of(exclusion)))
          .isInstanceOf(exclusion.isLasting() ? Continuation.Lost.class : Continuation.Wait.class);
    }
  }

  @Test
  void runIsLostIfItsHolderHasChangedItsWeights() {
    copy.ordered(holder, 3);
    holder.recordVersion("m", 4);
    holder.pause(NOW + 100);

    assertLost("changed its weights");
  }

  @Test
  void runGoesOnOnlySoOften() {
    for (int i = 0; i < RunCopy.MAX_CONTINUATIONS; i++) {
      copy.ordered(holder, 3);
      assertThat(copy.continuation(replica -> replica.exclusion(NOW)))
          .isInstanceOf(Continuation.GoOn.class);
      copy.used();
    }
    copy.ordered(holder, 3);

    assertLost("times");
  }

  /** In any order of steps, the memory of at most one copy is counted, at the current holder. */
  @Property
  void memoryIsCountedWhileTheCopyIsHeldOnly(
      @ForAll @Size(max = 30) List<@IntRange(max = 3) Integer> steps) {
    RunCopy copy = RunCopy.of("r", PROMPT);
    Replica holder = CopyPlacementTest.replica("holder", "a", 3);
    Replica other = CopyPlacementTest.replica("other", "b", 3);
    for (int step : steps) {
      switch (step) {
        case 0 -> copy.ordered(holder, 3);
        case 1 -> copy.ordered(other, 3);
        case 2 -> copy.used();
        default -> copy.release();
      }
      long expected = step <= 1 ? PROMPT.totalTokens() : 0;
      assertThat(holder.copyTokens()).isEqualTo(step == 0 ? expected : 0);
      assertThat(other.copyTokens()).isEqualTo(step == 1 ? expected : 0);
      assertThat(copy.holder().isPresent()).isEqualTo(step <= 1);
    }
  }
}
