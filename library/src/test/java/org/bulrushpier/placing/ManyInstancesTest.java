package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.bulrushpier.site.Service;
import org.junit.jupiter.api.Test;

/**
 * Plays load from many instances, each of which gets a small part of it and hears from most others
 * once a second, against simulated engines, and checks what callers get. Prompts of up to 11,000
 * tokens keep an engine busy for a third of a second, so an engine that two instances select at the
 * same time makes one caller wait although others are idle.
 */
class ManyInstancesTest {

  private static final Service.Engines SERVICE =
      new Service.Engines(
          "engines",
          300,
          24,
          39_600,
          18_432,
          550_000,
          true,
          false,
          List.of("m"),
          Service.ColdStart.NONE);
  private static final int URGENT = 0;
  private static final int LESS_URGENT = 1;
  private static final int URGENT_PERCENT = 52;
  private static final double CREST_PER_SECOND = 570;

  private final Random random = new Random(3);
  private final FleetSimulation site =
      new FleetSimulation(new FleetSimulation.Site(SERVICE, 3, 84, 99, 36, 1_000));

  private FleetSimulation.Call nextCall() {
    return random.nextInt(100) < URGENT_PERCENT
        ? site.call(URGENT, 150 + random.nextInt(600), 42, 600)
        : site.call(LESS_URGENT, 2_000 + random.nextInt(9_400), 7, 1_000);
  }

  private double shareInTime(int priority, long fromMillis, long untilMillis) {
    return site.shareInTime(fromMillis, untilMillis, call -> call.priority() == priority);
  }

  /**
   * With reports that are a second old all instances send to the engines that were idle then: a
   * third of the long prompts is late while the engines have twice the room that is needed.
   */
  @Test
  void crestIsSpreadOverAllEngines() {
    site.instances().forEach(FleetSimulation.Instance::join);
    site.play(9_000, CREST_PER_SECOND, this::nextCall);

    assertThat(shareInTime(URGENT, 2_000, 7_000)).isGreaterThan(0.97);
    assertThat(shareInTime(LESS_URGENT, 2_000, 7_000)).isGreaterThan(0.95);
  }

  @Test
  void instancesWhoseEnginesAllLeftUseThoseOfOtherGroups() {
    site.instances().forEach(FleetSimulation.Instance::join);
    site.play(3_000, CREST_PER_SECOND, this::nextCall);
    FleetSimulation.Instance first = site.instances().get(0);
    for (FleetSimulation.Instance instance : site.instances()) {
      instance.replicas().stream()
          .filter(replica -> first.group().hasEngine(replica.entry().id()))
          .forEach(replica -> replica.markLeaving("test"));
    }
    site.play(10_000, CREST_PER_SECOND, this::nextCall);

    assertThat(shareInTime(URGENT, 4_000, 8_000)).isGreaterThan(0.95);
    assertThat(shareInTime(LESS_URGENT, 4_000, 8_000)).isGreaterThan(0.9);
    List<FleetSimulation.Instance> members = first.groupMembers();
    assertThat(site.shareInTime(4_000, 8_000, call -> members.contains(call.receiver())))
        .isGreaterThan(0.85);
  }
}
