package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against two ways in which a customer's account told of more than its requests: it kept
 * what requests that expired had been charged, and it was kept without end.
 */
class CustomerSharesTest {

  private static final long GOAL_MILLIS = 100;

  private final CustomerShares shares = new CustomerShares();

  private static void arrive(PlacementQueue<String> queue, String customer, int requests) {
    for (int i = 0; i < requests; i++) {
      queue.arrived(customer, 100, 0, 0);
    }
  }

  /**
   * A customer whose burst has expired stayed behind the others, as its next request got the start
   * tag of the last one that had expired.
   */
  @Test
  void requestsThatExpiredDoNotPutTheirCustomerBehindOthers() {
    PlacementQueue<String> queue = new PlacementQueue<>();
    arrive(queue, "a", 20);
    arrive(queue, "b", 20);
    queue.add("b0", "b", 100, 0, 100 * GOAL_MILLIS, 0);
    for (int i = 0; i < 20; i++) {
      queue.add("expiring" + i, "a", 100, 0, GOAL_MILLIS, 0);
    }

    assertThat(queue.removeExpired(GOAL_MILLIS + 1)).hasSize(20);
    for (int i = 1; i <= 5; i++) {
      queue.add("b" + i, "b", 100, 0, GOAL_MILLIS, GOAL_MILLIS + 1);
    }
    queue.add("a", "a", 100, 0, GOAL_MILLIS, GOAL_MILLIS + 1);
    List<String> order = new ArrayList<>();
    while (queue.size() > 0) {
      String head = queue.head().orElseThrow();
      queue.placed(head, GOAL_MILLIS + 2);
      order.add(head);
    }

    assertThat(order.indexOf("a")).isLessThanOrEqualTo(2);
  }

  private record Charge(double start, double cost) {}

  @Property(tries = 300)
  void accountIsAsBeforeOnceAllItsRequestsHaveExpired(
      @ForAll @IntRange(min = 1, max = 60) int steps, @ForAll long seed) {
    shares.arrived("a", 1_000, 0);
    shares.arrived("b", 1_000, 0);
    shares.placed("b", shares.charge("b", 0.5));
    shares.placed("b", shares.charge("b", 0.5));
    double before = shares.nextStart("a");
    List<Charge> waiting = new ArrayList<>();
    Random random = new Random(seed);
    for (int i = 0; i < steps; i++) {
      if (waiting.isEmpty() || random.nextInt(3) > 0) {
        double cost = random.nextDouble(0.01, 1);
        waiting.add(new Charge(shares.charge("a", cost), cost));
      } else {
        Charge expired = waiting.remove(random.nextInt(waiting.size()));
        shares.refund("a", expired.start(), expired.cost());
      }
    }
    waiting.forEach(charge -> shares.refund("a", charge.start(), charge.cost()));

    assertThat(shares.nextStart("a")).isCloseTo(before, within(1e-9));
  }

  @Test
  void customersWhoseDemandHasHalvedAwayAreForgotten() {
    for (int i = 0; i < 10_000; i++) {
      shares.arrived("customer" + i, 10, 0);
    }
    assertThat(shares.size()).isEqualTo(10_000);

    shares.arrived("another", 10, CustomerShares.IDLE_MILLIS);
    assertThat(shares.size()).isEqualTo(10_001);
    shares.arrived("another", 10, CustomerShares.IDLE_MILLIS + 1);
    assertThat(shares.size()).isEqualTo(1);
  }

  /** The end of its request would find no account. */
  @Test
  void customerWithWaitingRequestIsKept() {
    shares.arrived("a", 10, 0);
    double start = shares.charge("a", 1);
    shares.arrived("b", 10, 2 * CustomerShares.IDLE_MILLIS);
    assertThat(shares.size()).isEqualTo(2);

    shares.refund("a", start, 1);
    shares.arrived("b", 10, 2 * CustomerShares.IDLE_MILLIS);
    assertThat(shares.size()).isEqualTo(1);
  }
}
