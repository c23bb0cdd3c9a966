package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class PlacementQueueTest {

  private static final long GOAL_MILLIS = 400;

  private final PlacementQueue<String> queue = new PlacementQueue<>();

  @Test
  void urgentRequestsLeaveFirstAndEqualOnesInOrderOfArrival() {
    queue.add("late", "c", 1, 2, GOAL_MILLIS, 0);
    queue.add("first", "c", 1, 1, GOAL_MILLIS, 1);
    queue.add("second", "c", 1, 1, GOAL_MILLIS, 2);

    assertThat(queue.head()).contains("first");
    queue.remove("first");
    assertThat(queue.head()).contains("second");
    queue.remove("second");
    assertThat(queue.head()).contains("late");
  }

  @Test
  void onlyRequestsThatAreAtLeastAsUrgentAreAhead() {
    queue.add("waiting", "c", 1, 1, GOAL_MILLIS, 0);

    assertThat(queue.isAhead(0)).isFalse();
    assertThat(queue.isAhead(1)).isTrue();
    assertThat(queue.isAhead(2)).isTrue();
  }

  @Test
  void requestWaitsForTheLengthOfItsObjectiveInShortQueue() {
    queue.add("r", "c", 1, 1, GOAL_MILLIS, 0);

    assertThat(queue.removeExpired(GOAL_MILLIS)).isEmpty();
    assertThat(queue.removeExpired(GOAL_MILLIS + 1)).containsExactly("r");
    assertThat(queue.size()).isZero();
  }

  /** A queue that does not empty only adds delay, so new requests wait for a shorter time. */
  @Test
  void requestsExpireSoonerInStandingQueue() {
    long now = 0;
    for (; now <= PlacementQueue.STANDING_MILLIS; now += 100) {
      queue.add("r" + now, "c", 1, 1, GOAL_MILLIS, now);
      queue.removeExpired(now);
    }
    queue.add("new", "c", 1, 1, GOAL_MILLIS, now);

    assertThat(queue.isStanding(now)).isTrue();
    assertThat(queue.removeExpired(now + GOAL_MILLIS / 2)).contains("new");
  }

  private long fillStandingQueue(int placementsPerStep) {
    long now = 0;
    for (; now <= PlacementQueue.STANDING_MILLIS + 100; now += 100) {
      for (int i = 0; i < placementsPerStep; i++) {
        String placed = "placed" + now + "-" + i;
        queue.add(placed, "c", 1, 1, GOAL_MILLIS, now);
        queue.placed(placed, now);
      }
      queue.add("r" + now, "c", 1, 1, GOAL_MILLIS, now);
      queue.removeExpired(now);
    }
    return now;
  }

  /** Such requests were held for the permitted wait and then refused. */
  @Test
  void requestWhoseTurnComesTooLateIsNotHeldInStandingQueue() {
    long now = fillStandingQueue(1);

    assertThat(queue.isFull("c", 1, GOAL_MILLIS, now)).isTrue();
    assertThat(queue.isFull("c", 0, GOAL_MILLIS, now)).isFalse();
  }

  @Test
  void requestWhoseTurnComesInTimeWaitsInStandingQueue() {
    long now = fillStandingQueue(4);

    assertThat(queue.isStanding(now)).isTrue();
    assertThat(queue.isFull("c", 1, GOAL_MILLIS, now)).isFalse();
  }

  private long alternate(long fromMillis, long forMillis) {
    long now = fromMillis;
    for (; now < fromMillis + forMillis; now += 50) {
      String request = "r" + now;
      queue.add(request, "c", 1, 1, GOAL_MILLIS, now);
      queue.placed(request, now + 20);
    }
    return now;
  }

  /** Engines become free in groups, so a standing queue is empty at times. */
  @Test
  void standingQueueRemainsStandingWhileItIsEmptyForMoments() {
    queue.add("r", "c", 1, 1, GOAL_MILLIS, 0);
    queue.placed("r", PlacementQueue.STANDING_MILLIS + 20);
    long now = alternate(PlacementQueue.STANDING_MILLIS + 50, 2_000);

    assertThat(queue.isStanding(now)).isTrue();
    assertThat(queue.isStanding(now + 100)).isFalse();
  }

  @Test
  void queueThatIsEmptyAtTimesDoesNotBecomeStanding() {
    long now = alternate(0, 3_000);

    assertThat(queue.isStanding(now)).isFalse();
  }

  /** Waiting less urgent requests delay nobody who is more urgent. */
  @Test
  void standingLessUrgentRequestsDoNotShortenTheWaitOfUrgentOnes() {
    long now = fillStandingQueue(1);
    queue.add("urgent", "c", 1, 0, GOAL_MILLIS, now);

    assertThat(queue.removeExpired(now + GOAL_MILLIS / 2)).doesNotContain("urgent");
    assertThat(queue.removeExpired(now + GOAL_MILLIS + 1)).contains("urgent");
    assertThat(queue.retryDelayMillis(0, GOAL_MILLIS, now, new Random(1)))
        .isLessThanOrEqualTo(GOAL_MILLIS * 3 / 2);
  }

  /** A burst of one customer waits behind the others instead of in front of them. */
  @Test
  void burstOfOneCustomerIsPaidByIt() {
    long now = 0;
    for (; now < 20_000; now += 100) {
      queue.arrived("steady", 1_000, 1, now);
      queue.arrived("bursting", 1_000, 1, now);
    }
    for (int i = 0; i < 20; i++) {
      queue.arrived("bursting", 1_000, 1, now);
      queue.add("b" + i, "bursting", 1_000, 1, GOAL_MILLIS, now);
    }
    for (int i = 0; i < 3; i++) {
      queue.arrived("steady", 1_000, 1, now);
      queue.add("s" + i, "steady", 1_000, 1, GOAL_MILLIS, now);
    }

    assertThat(leaving(10, now)).contains("s0", "s1", "s2", "b0", "b1");
  }

  private List<String> leaving(int count, long now) {
    List<String> left = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      left.add(queue.head().orElseThrow());
      queue.placed(left.get(i), now);
    }
    return left;
  }

  /** Served in proportion to their usual demand, large customers are not worse off than small. */
  @Test
  void lastingShortageIsSharedInProportionToUsualDemand() {
    Random random = new Random(4);
    Map<String, Integer> placed = new HashMap<>();
    long now = 0;
    for (int i = 0; now < 30_000; now += 20) {
      for (int arrival = 0; arrival < 2; arrival++) {
        String customer = random.nextInt(10) < 8 ? "large" : "small";
        int tokens = 500 + random.nextInt(1_000);
        queue.arrived(customer, tokens, 1, now);
        queue.add(customer + i++, customer, tokens, 1, GOAL_MILLIS, now);
      }
      queue.removeExpired(now);
      String next = queue.head().orElseThrow();
      queue.placed(next, now);
      placed.merge(next.substring(0, 5), 1, Integer::sum);
    }

    assertThat(placed.get("small") / (double) placed.get("large")).isBetween(0.18, 0.4);
  }

  @Property(tries = 200)
  void requestsOfOneCustomerLeaveInOrderOfArrivalAndNoneIsLost(
      @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 3) Integer> customers,
      @ForAll @IntRange(min = 1, max = 9) int removed) {
    PlacementQueue<Integer> fair = new PlacementQueue<>();
    for (int i = 0; i < customers.size(); i++) {
      fair.arrived("c" + customers.get(i), 100 + 37 * i % 900, 1, i);
      fair.add(i, "c" + customers.get(i), 100 + 37 * i % 900, 1, GOAL_MILLIS, i);
      if (i % removed == 1) {
        fair.remove(i - 1);
      }
    }
    Map<Integer, Integer> last = new HashMap<>();
    int size = fair.size();
    for (int i = 0; i < size; i++) {
      int next = fair.head().orElseThrow();
      fair.placed(next, 100);
      assertThat(next).isGreaterThan(last.getOrDefault(customers.get(next), -1));
      last.put(customers.get(next), next);
    }
    assertThat(fair.size()).isZero();
  }

  @Test
  void shortLivedQueueIsNeverFull() {
    for (int i = 0; i < 100; i++) {
      queue.add("r" + i, "c", 1, 1, GOAL_MILLIS, 0);
    }

    assertThat(queue.isFull("c", 1, GOAL_MILLIS, PlacementQueue.STANDING_MILLIS / 2)).isFalse();
  }

  @Test
  void queueThatWasEmptyIsNotStanding() {
    queue.add("old", "c", 1, 1, GOAL_MILLIS, 0);
    queue.remove("old");
    queue.add("new", "c", 1, 1, GOAL_MILLIS, 5_000);

    assertThat(queue.isStanding(5_100)).isFalse();
  }

  @Test
  void refusedCallersReturnLaterTheLongerTheOverloadLasts() {
    queue.add("r", "c", 1, 1, GOAL_MILLIS, 0);

    for (int seed = 0; seed < 50; seed++) {
      Random random = new Random(seed);
      assertThat(queue.retryDelayMillis(1, GOAL_MILLIS, 100, random)).isBetween(200L, 600L);
      assertThat(queue.retryDelayMillis(1, GOAL_MILLIS, 3_000, random)).isBetween(1_500L, 4_500L);
      assertThat(queue.retryDelayMillis(1, GOAL_MILLIS, 60_000, random)).isBetween(2_500L, 7_500L);
    }
  }
}
