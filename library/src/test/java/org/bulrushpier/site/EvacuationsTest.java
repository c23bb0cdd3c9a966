package org.bulrushpier.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.site.Evacuations.Change;
import org.junit.jupiter.api.Test;

class EvacuationsTest {

  private final Evacuations evacuations = new Evacuations();

  @Test
  void allDomainsMayReceiveWhereEvacuationsAreNotWatched() {
    assertThat(evacuations.areKnown()).isTrue();
    assertThat(evacuations.mayReceive("norte")).isTrue();
  }

  @Test
  void noDomainMayReceiveBeforeTheFirstList() {
    evacuations.markWatched();

    assertThat(evacuations.areKnown()).isFalse();
    assertThat(evacuations.mayReceive("norte")).isFalse();

    evacuations.list(Map.of("norte", 17L));

    assertThat(evacuations.mayReceive("norte")).isFalse();
    assertThat(evacuations.mayReceive("centro")).isTrue();
  }

  @Test
  void listWithdrawsWhatItDoesNotContain() {
    evacuations.list(Map.of("norte", 17L, "sur", 18L));

    assertThat(evacuations.list(Map.of("sur", 18L, "centro", 21L)))
        .containsOnly(Map.entry("norte", Change.WITHDRAWN), Map.entry("centro", Change.EVACUATED));

    assertThat(evacuations.domains()).containsExactlyInAnyOrder("sur", "centro");
  }

  @Test
  void evacuationThatIsWithdrawnAndAskedForAgainIsInForce() {
    evacuations.list(Map.of("norte", 17L));

    assertThat(evacuations.withdraw("norte")).isEqualTo(Change.WITHDRAWN);
    assertThat(evacuations.evacuate("norte", 19)).isEqualTo(Change.EVACUATED);

    assertThat(evacuations.mayReceive("norte")).isFalse();
  }

  @Test
  void listShowsThatAnEvacuationWasRenewed() {
    evacuations.list(Map.of("norte", 17L));

    assertThat(evacuations.list(Map.of("norte", 19L)))
        .containsOnly(Map.entry("norte", Change.RENEWED));
    assertThat(evacuations.list(Map.of("norte", 19L))).isEmpty();
  }

  @Test
  void unknownWithdrawalChangesNothing() {
    evacuations.list(Map.of("norte", 17L));

    assertThat(evacuations.withdraw("sur")).isEqualTo(Change.NONE);
    assertThat(evacuations.domains()).containsExactly("norte");
  }

  /** A step of an operator: positive to evacuate a domain, negative to withdraw it. */
  private static String domain(int step) {
    return "d" + Math.abs(step);
  }

  @Property
  void decisionFollowsTheLastChangeOfEachDomainWhereverTheListIsTaken(
      @ForAll @Size(max = 40) List<@IntRange(min = -3, max = 3) Integer> steps,
      @ForAll @IntRange(min = 0, max = 40) int listedAfter) {
    Evacuations watched = new Evacuations();
    watched.markWatched();
    Map<String, Long> stored = new HashMap<>();
    for (int i = 0; i < steps.size(); i++) {
      int step = steps.get(i);
      if (i == Math.min(listedAfter, steps.size() - 1)) {
        watched.list(stored);
      }
      if (step > 0) {
        stored.put(domain(step), (long) i);
        watched.evacuate(domain(step), i);
      } else {
        stored.remove(domain(step));
        watched.withdraw(domain(step));
      }
    }
    watched.list(stored);

    for (int d = 0; d <= 3; d++) {
      assertThat(watched.mayReceive(domain(d))).isEqualTo(!stored.containsKey(domain(d)));
    }
  }

  /** Guards against an evacuation that ends because the store has lost it. */
  @Test
  void evacuationThatTheStoreLostIsHeldUntilOperatorsCanAskAgain() {
    evacuations.markWatched();
    evacuations.list(Map.of("norte", 17L, "sur", 18L));
    evacuations.storeRestored(1_000);

    evacuations.list(Map.of("sur", 4L));
    assertThat(evacuations.mayReceive("norte")).isFalse();
    assertThat(evacuations.expire(1_000 + Evacuations.HOLD_MILLIS - 1)).isEmpty();

    assertThat(evacuations.expire(1_000 + Evacuations.HOLD_MILLIS)).containsExactly("norte");
    assertThat(evacuations.mayReceive("norte")).isTrue();
    assertThat(evacuations.mayReceive("sur")).isFalse();
  }

  @Test
  void evacuationThatOperatorsAskForOnceMoreStays() {
    evacuations.markWatched();
    evacuations.list(Map.of("norte", 17L));
    evacuations.storeRestored(1_000);
    evacuations.list(Map.of());

    evacuations.evacuate("norte", 5);

    assertThat(evacuations.expire(1_000 + Evacuations.HOLD_MILLIS)).isEmpty();
    assertThat(evacuations.mayReceive("norte")).isFalse();
  }
}
