package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.site.Service;
import org.junit.jupiter.api.Test;

/**
 * Plays load whose callers all move to one failure domain, against simulated engines, and checks
 * what they get. The instances there use engines of other domains while their own are busy, and
 * only then.
 */
class MovedCallersTest {

  private static final int URGENT = 0;
  private static final int LESS_URGENT = 1;
  private static final double URGENT_SHARE = 0.52;
  private static final long MOVED_MILLIS = 6_000;
  private static final long END_MILLIS = 14_000;

  private final Random random = new Random(3);
  private FleetSimulation site;

  /** The instances know the load that others put on engines as of a second ago. */
  private void createLargeSite() {
    site =
        new FleetSimulation(
            new FleetSimulation.Site(service(24, 39_600), 3, 84, 99, 36, 1_000, 4.5));
    site.instances().forEach(FleetSimulation.Instance::join);
  }

  /** The instances know the load that others put on engines as of a moment ago. */
  private void createSite(int domains, int engines, double tokensPerMilli, double crossingMillis) {
    int instances = 26;
    site =
        new FleetSimulation(
            new FleetSimulation.Site(
                service(24, 45_000),
                domains,
                instances,
                engines,
                tokensPerMilli,
                new LoadGroup().generalIntervalMillis(instances - 1),
                crossingMillis));
  }

  private static Service.Engines service(int slots, long memoryTokens) {
    return new Service.Engines(
        "engines",
        300,
        slots,
        memoryTokens,
        18_432,
        550_000,
        true,
        false,
        List.of("m"),
        Service.ColdStart.NONE);
  }

  private FleetSimulation.Call nextCall() {
    return random.nextDouble() < URGENT_SHARE
        ? site.call(URGENT, 150 + random.nextInt(600), 42, 600)
        : site.call(LESS_URGENT, 2_000 + random.nextInt(9_400), 7, 1_000);
  }

  private void playUntilCallersMove(double callsPerSecond) {
    site.play(MOVED_MILLIS, callsPerSecond, this::nextCall);
  }

  private void playMovedCallers(double callsPerSecond) {
    site.play(END_MILLIS, callsPerSecond, this::nextCall, site.instancesIn(0));
  }

  private void loseHalfOfTheEnginesInDomainOfCallers() {
    for (FleetSimulation.Instance instance : site.instances()) {
      List<Replica> inDomain =
          instance.replicas().stream()
              .filter(replica -> replica.entry().domain().equals("d0"))
              .toList();
      inDomain.subList(0, inDomain.size() / 2).forEach(replica -> replica.markLeaving("test"));
    }
  }

  private double shareInTime(int priority) {
    return site.shareInTime(MOVED_MILLIS, END_MILLIS - 2_000, call -> call.priority() == priority);
  }

  private long medianOfUrgentMillis(long fromMillis, long untilMillis) {
    return site.firstTokenMillis(0.5, fromMillis, untilMillis, call -> call.priority() == URGENT);
  }

  private void assertMovedCallersAreServed() {
    assertThat(shareInTime(URGENT)).isGreaterThan(0.98);
    assertThat(shareInTime(LESS_URGENT)).isGreaterThan(0.97);
  }

  /** Callers waited 160 ms at the engines of their domain while two thirds of all were idle. */
  @Test
  void enginesOfOtherDomainsServeCallersThatMoved() {
    createLargeSite();
    playUntilCallersMove(370);
    playMovedCallers(370);

    assertMovedCallersAreServed();
    assertThat(medianOfUrgentMillis(MOVED_MILLIS, END_MILLIS - 2_000))
        .isLessThan(2 * medianOfUrgentMillis(2_000, MOVED_MILLIS));
  }

  @Test
  void enginesOfOtherDomainsServeCallersThatMovedWhereHalfOfTheEnginesAreLost() {
    createLargeSite();
    playUntilCallersMove(370);
    loseHalfOfTheEnginesInDomainOfCallers();
    playMovedCallers(370);

    assertMovedCallersAreServed();
    assertThat(medianOfUrgentMillis(MOVED_MILLIS, END_MILLIS - 2_000))
        .isLessThan(2 * medianOfUrgentMillis(2_000, MOVED_MILLIS));
  }

  @Test
  void nothingCrossesWhileTheOwnDomainHasRoom() {
    createLargeSite();
    playUntilCallersMove(370);
    assertThat(site.shareCrossed(0, MOVED_MILLIS)).isLessThan(0.01);

    playMovedCallers(100);
    assertThat(site.shareCrossed(MOVED_MILLIS + 1_000, END_MILLIS)).isLessThan(0.05);
  }

  /** Domains 4.5 ms apart. */
  @Test
  void callersThatMovedAreServedFarAwayAtSiteThatKnowsItsLoad() {
    createSite(3, 99, 36, 4.5);
    playUntilCallersMove(370);
    assertThat(site.shareCrossed(0, MOVED_MILLIS)).isLessThan(0.01);
    loseHalfOfTheEnginesInDomainOfCallers();
    playMovedCallers(370);

    assertMovedCallersAreServed();
    assertThat(site.shareCrossed(MOVED_MILLIS, END_MILLIS)).isBetween(0.4, 0.8);
  }

  /** Four domains 0.9 ms apart, so that the callers' own has a quarter of the engines. */
  @Test
  void callersThatMovedAreServedNearbyAtSiteThatKnowsItsLoad() {
    createSite(4, 42, 70, 0.9);
    playUntilCallersMove(300);
    assertThat(site.shareCrossed(0, MOVED_MILLIS)).isLessThan(0.1);
    loseHalfOfTheEnginesInDomainOfCallers();
    playMovedCallers(300);

    assertMovedCallersAreServed();
    assertThat(site.shareCrossed(MOVED_MILLIS, END_MILLIS)).isBetween(0.6, 0.9);
  }
}
