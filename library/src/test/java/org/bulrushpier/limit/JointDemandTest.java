package org.bulrushpier.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a limit that is exceeded in a partition: 134 calls were admitted where 133.25 were
 * allowed. Each side had updated the joint demand with its own, growing demand for three further
 * heartbeats, beside the other's last one, until it considered the other unreachable.
 */
class JointDemandTest {

  private static final int ROUNDS_UNTIL_UNREACHABLE = 3;
  private static final double GROWTH = 1.1;

  private double shareDuringPartition(double ownDemand, double otherDemand) {
    JointDemand joint = new JointDemand();
    Map<String, Double> other = Map.of("c", otherDemand);
    joint.update(Map.of("c", ownDemand), List.of(other), true);
    double own = ownDemand;
    for (int round = 0; round < ROUNDS_UNTIL_UNREACHABLE; round++) {
      own *= GROWTH;
      joint.update(Map.of("c", own), List.of(other), false);
    }
    return Shares.of(Map.of("c", own), List.of(), List.of(other), joint.demand()).of("c");
  }

  @Test
  void sharesOfBothSidesAddUpToOneWhileDemandGrows() {
    double sum = shareDuringPartition(100, 90) + shareDuringPartition(90, 100);

    assertThat(sum).isBetween(0.95, 1.000_001);
  }
}
