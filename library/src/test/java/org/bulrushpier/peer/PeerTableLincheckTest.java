package org.bulrushpier.peer;

import java.util.List;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that the peer table is linearizable. */
public class PeerTableLincheckTest {

  private final PeerTable table = PeerTable.of("self", "near", () -> 1_000_000);

  /** Records a heartbeat of the peer. */
  @Operation
  public void recordHeartbeat() {
    table.recordHeartbeat(new PeerMessage.Heartbeat("a", "near", false, true, 1, List.of()));
  }

  /** Records a failed connection to the peer. */
  @Operation
  public void recordConnectionFailure() {
    table.recordConnectionFailure("a");
  }

  /** Returns the live entries. */
  @Operation
  public List<String> live() {
    return table.live();
  }

  @Test
  void isLinearizable() {
    new StressOptions().iterations(20).invocationsPerIteration(300).check(getClass());
  }
}
