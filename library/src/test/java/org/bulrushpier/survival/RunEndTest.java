package org.bulrushpier.survival;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against a run that goes on elsewhere while its replica works on it. */
class RunEndTest {

  private static final long BEGUN = 10_000;
  private static final long LATER = BEGUN + RunEnd.REPORT_LAG_MILLIS;
  private static final Optional<Set<String>> NONE = Optional.of(Set.of());
  private static final Optional<Set<String>> LISTED = Optional.of(Set.of("a", "other"));
  private static final Optional<Set<String>> UNTOLD = Optional.empty();

  private final RunEnd run = RunEnd.ofRun("a", BEGUN);

  @Test
  void listedRunHasNotEnded() {
    run.reported(LISTED, 2, 0, LATER);

    assertThat(run.isEnded()).isFalse();
  }

  @Test
  void runThatAnEarlierReportListedHasEnded() {
    run.reported(LISTED, 2, 0, BEGUN + 10);
    run.reported(NONE, 0, 0, BEGUN + 20);

    assertThat(run.isEnded()).isTrue();
  }

  @Test
  void reportOfTimeBeforeTheRunProvesNothing() {
    run.reported(NONE, 0, 0, LATER - 1);
    assertThat(run.isEnded()).isFalse();

    run.reported(NONE, 0, 0, LATER);
    assertThat(run.isEnded()).isTrue();
  }

  @Test
  void replicaThatDoesNotTellItsRunsMustBeIdle() {
    run.reported(UNTOLD, 1, 0, LATER);
    assertThat(run.isEnded()).isFalse();

    run.reported(UNTOLD, 0, 0, LATER);
    assertThat(run.isEnded()).isTrue();
  }

  @Test
  void requestThatMayWaitInTheQueueMayYetBegin() {
    RunEnd request = RunEnd.ofRequest("a", BEGUN);
    request.reported(NONE, 3, 1, LATER);
    assertThat(request.isEnded()).isFalse();

    request.reported(NONE, 3, 0, LATER);
    assertThat(request.isEnded()).isTrue();
  }

  @Test
  void runEndsWithItsReplica() {
    run.replicaGone();

    assertThat(run.isEnded()).isTrue();
  }

  /** Reports that are up to their greatest lag old, of a run that ends at some time. */
  @Property(tries = 500)
  void noReportEndsRunThatIsUnderWay(
      @ForAll @IntRange(max = 3_000) int lasts,
      @ForAll @IntRange(min = 1, max = 150) int interval,
      @ForAll long seed) {
    Random random = new Random(seed);
    RunEnd judged = RunEnd.ofRun("a", BEGUN);
    long state = Long.MIN_VALUE;
    for (long asked = BEGUN; asked < BEGUN + lasts && !judged.isEnded(); asked += interval) {
      state = Math.max(state, asked - random.nextLong(RunEnd.REPORT_LAG_MILLIS));
      judged.reported(state >= BEGUN ? LISTED : NONE, 1, 0, asked);
      assertThat(judged.isEnded()).isFalse();
    }
  }
}
