package org.bulrushpier.limit;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.bulrushpier.Customer;
import org.bulrushpier.Limits;
import org.bulrushpier.settings.SettingsTree;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that admission control is linearizable. */
public class AdmissionLincheckTest {

  private static final long NOW = 1_000_000;
  private static final Customer CUSTOMER =
      new Customer("c", "t", "k", new Limits(1_000_000, 2, 100), 1, 5);

  private final Admission admission = Admission.of(SettingsTree.empty().settings(), () -> NOW);
  private final ConcurrentLinkedQueue<Permit> permits = new ConcurrentLinkedQueue<>();

  /** Requests a permit and withdraws if it is queued; returns whether the permit was granted. */
  @Operation
  public boolean enter() {
    CompletableFuture<Permit> future = admission.request(CUSTOMER, NOW + 100_000);
    if (admission.withdraw(future)) {
      return false;
    }
    permits.add(future.join());
    return true;
  }

  /** Returns whether the number of requests in flight is within the limit. */
  @Operation
  public boolean isWithinLimit() {
    return admission.inFlight() <= 2;
  }

  @Test
  void isLinearizable() {
    new StressOptions().iterations(20).invocationsPerIteration(300).check(getClass());
  }
}
