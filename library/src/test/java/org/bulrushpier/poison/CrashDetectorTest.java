package org.bulrushpier.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushpier.Address;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaEntry;
import org.bulrushpier.replica.ReplicaTable;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {

  private static final long NOW = 50_000;
  private static final long LATER = NOW + CrashDetector.CONFIRMATION_MILLIS;

  private final CrashDetector detector = new CrashDetector();
  private final Replica engine = engine();

  private static Replica engine() {
    ReplicaTable table = new ReplicaTable();
    table.put(
        new ReplicaEntry(
            "e1", "engines", new Address("127.0.0.1", 1), "norte", 6, false, 7, Map.of(), 0));
    return table.find("e1");
  }

  @Test
  void answersThatBreakOffWithTheirReplicaAreOneCrash() {
    detector.answerBrokeOff(engine, List.of("a", "b"), NOW);
    detector.answerBrokeOff(engine, List.of("a", "c"), NOW + 20);

    assertThat(detector.confirmed(LATER - 1)).isEmpty();
    assertThat(detector.confirmed(LATER))
        .containsExactly(new Crash("e1@7", NOW, Set.of("a", "b", "c")));
    assertThat(detector.confirmed(LATER + 1)).isEmpty();
  }

  @Test
  void replicaThatStillAnswersHasNotCrashed() {
    detector.answerBrokeOff(engine, List.of("a"), NOW);
    engine.recordActivity(NOW + 100);

    assertThat(detector.confirmed(LATER)).isEmpty();
  }

  /** The end of a connection may arrive late. */
  @Test
  void replicaWhoseOtherConnectionsLastGetsMoreTimeToAnswer() {
    Replica.InFlightRequest other = new Replica.InFlightRequest(0, 0, 0, 0, NOW - 100, NOW);
    other.markStarted(NOW);
    engine.begin("other", other);
    detector.answerBrokeOff(engine, List.of("a"), NOW);

    assertThat(detector.confirmed(LATER)).isEmpty();
    engine.recordActivity(LATER + 1);
    assertThat(detector.confirmed(NOW + CrashDetector.OPEN_CONFIRMATION_MILLIS)).isEmpty();

    detector.answerBrokeOff(engine, List.of("a"), 2 * NOW);
    assertThat(detector.confirmed(2 * NOW + CrashDetector.OPEN_CONFIRMATION_MILLIS)).hasSize(1);
  }

  @Test
  void replicaThatLeavesHasNotCrashed() {
    engine.markLeaving("draining entry");
    detector.answerBrokeOff(engine, List.of("a"), NOW);

    assertThat(detector.confirmed(LATER)).isEmpty();
  }
}
