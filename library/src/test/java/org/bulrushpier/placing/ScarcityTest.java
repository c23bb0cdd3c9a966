package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.site.Service;
import org.junit.jupiter.api.Test;

/**
 * Plays the crest of a site of middling size, in which a quarter of the engines is gone and long,
 * less urgent prompts have doubled, and checks what callers get. Urgent requests wait behind the
 * chunks of long prompts that several instances have sent to the same engine.
 */
class ScarcityTest {

  private static final Service.Engines SERVICE =
      new Service.Engines(
          "engines",
          300,
          64,
          47_100,
          163_840,
          550_000,
          true,
          false,
          List.of("m"),
          Service.ColdStart.NONE);
  private static final int INSTANCES = 26;
  private static final int URGENT = 0;
  private static final int LESS_URGENT = 2;
  private static final double URGENT_PER_SECOND = 178;

  private final Random random = new Random(3);
  private final FleetSimulation site =
      new FleetSimulation(
          new FleetSimulation.Site(
              SERVICE,
              4,
              INSTANCES,
              31,
              30.9,
              new LoadGroup().generalIntervalMillis(INSTANCES - 1)));
  private double longPerSecond;

  private FleetSimulation.Call nextCall() {
    boolean isLong = random.nextDouble() < longPerSecond / (longPerSecond + URGENT_PER_SECOND);
    return isLong
        ? site.call(LESS_URGENT, 3_000 + random.nextInt(11_000), 10, 2_000)
        : site.call(URGENT, 150 + random.nextInt(900), 58, 800);
  }

  private void play(long untilMillis, double longRate) {
    longPerSecond = longRate;
    site.play(untilMillis, longRate + URGENT_PER_SECOND, this::nextCall);
  }

  private double shareInTime(int priority, long fromMillis, long untilMillis) {
    return site.shareInTime(fromMillis, untilMillis, call -> call.priority() == priority);
  }

  @Test
  void urgentRequestsAreInTimeWhileEnginesAreNearlyFull() {
    play(12_000, 95);

    assertThat(shareInTime(URGENT, 3_000, 10_000)).isGreaterThan(0.95);
    assertThat(shareInTime(LESS_URGENT, 3_000, 10_000)).isGreaterThan(0.95);
  }

  /** More than the engines can read: the less urgent requests pay. */
  @Test
  void overloadIsPaidByLessUrgentRequests() {
    play(10_000, 130);

    assertThat(shareInTime(URGENT, 3_000, 8_000)).isGreaterThan(0.95);
    assertThat(shareInTime(LESS_URGENT, 3_000, 8_000)).isGreaterThan(0.4);
  }
}
