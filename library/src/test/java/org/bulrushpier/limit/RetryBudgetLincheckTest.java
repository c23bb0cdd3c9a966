package org.bulrushpier.limit;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that the retry budget is linearizable. */
public class RetryBudgetLincheckTest {

  private final RetryBudget budget = RetryBudget.of(0.5, 2);

  /** Records a first attempt. */
  @Operation
  public void recordFirstAttempt() {
    budget.recordFirstAttempt();
  }

  /** Requests a retry. */
  @Operation
  public boolean tryRetry() {
    return budget.tryRetry();
  }

  @Test
  void isLinearizable() {
    new StressOptions().iterations(20).invocationsPerIteration(300).check(getClass());
  }
}
