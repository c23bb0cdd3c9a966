package org.bulrushpier.replica;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import java.util.Random;
import org.bulrushpier.Address;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.junit.jupiter.api.Test;

class ReplicaLoadTest {

  private static final long NOW = 50_000;
  private static final long VALID_MILLIS = 700;
  private static final int UNKNOWN = ReportedLoad.UNKNOWN;

  private final Replica replica =
      new Replica(
          new ReplicaEntry(
              "r", "engines", new Address("10.0.0.1", 9_000), "norte", 24, false, 1, Map.of(), 0));

  @Test
  void reportWithoutDurationLeavesTheUsualOne() {
    replica.recordLoad(new ReportedLoad(3, 1, 24), NOW);

    assertThat(replica.workDurationFactor(NOW)).isEqualTo(1);
    assertThat(replica.otherRequests(NOW, VALID_MILLIS)).isEqualTo(4);
  }

  @Test
  void unknownNumberOfRequestsLeavesTheLastReportInForce() {
    replica.recordLoad(new ReportedLoad(3, 1, 24), NOW);
    replica.recordLoad(new ReportedLoad(UNKNOWN, 9, 24, 250), NOW + 100);

    assertThat(replica.otherRequests(NOW + 100, VALID_MILLIS)).isEqualTo(4);
    assertThat(replica.workDurationFactor(NOW + 100)).isGreaterThan(2);
  }

  @Test
  void durationReturnsToTheUsualOneWithoutReports() {
    replica.recordLoad(new ReportedLoad(0, 0, 24, 250), NOW);
    double first = replica.workDurationFactor(NOW);
    double later = replica.workDurationFactor(NOW + 400);

    assertThat(first).isCloseTo(2.5, within(0.01));
    assertThat(later).isBetween(1.5, 2.0);
    assertThat(replica.workDurationFactor(NOW + 4_000)).isCloseTo(1, within(0.01));
  }

  /** Reports that follow each other closely are smoothed, as a request outlasts several of them. */
  @Test
  void closeReportsAreAveraged() {
    Random random = new Random(7);
    for (int i = 0; i < 200; i++) {
      replica.recordLoad(
          new ReportedLoad(1, 0, 24, random.nextBoolean() ? 250 : 100), NOW + 10 * i);
    }

    assertThat(replica.workDurationFactor(NOW + 2_000)).isBetween(1.3, 2.2);
  }

  @Test
  void implausibleDurationIsBounded() {
    replica.recordLoad(new ReportedLoad(1, 0, 24, 999_999_999), NOW);
    assertThat(replica.workDurationFactor(NOW)).isLessThan(10);

    replica.recordLoad(new ReportedLoad(1, 0, 24, 1), NOW + 60_000);
    assertThat(replica.workDurationFactor(NOW + 60_000)).isGreaterThan(0.2);
  }
}
