package org.bulrushpier.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushpier.limit.RetryBudget;

/**
 * One retry budget for each team and service, so that one team's failing calls cost no other.
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
