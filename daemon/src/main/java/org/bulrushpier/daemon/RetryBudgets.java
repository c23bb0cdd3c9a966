package org.bulrushpier.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushpier.limit.RetryBudget;

/**
 * The retry budgets by team and service, so that failing calls of one team do not use up the budget
 * of another.
 *
 * <p>Thread-safe.
 */
final class RetryBudgets {

  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  RetryBudget of(String team, String service) {
    return budgets.computeIfAbsent(
        team + " " + service,
        key -> RetryBudget.of(RetryBudget.DEFAULT_RATIO, RetryBudget.DEFAULT_RESERVE));
  }
}
