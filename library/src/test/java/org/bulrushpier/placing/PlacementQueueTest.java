package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class PlacementQueueTest {

  private static final long GOAL_MILLIS = 400;

  private final PlacementQueue<String> queue = new PlacementQueue<>();

  @Test
  void urgentRequestsLeaveFirstAndEqualOnesInOrderOfArrival() {
    queue.add("late", 2, GOAL_MILLIS, 0);
    queue.add("first", 1, GOAL_MILLIS, 1);
    queue.add("second", 1, GOAL_MILLIS, 2);

    assertThat(queue.head()).contains("first");
    queue.remove("first");
    assertThat(queue.head()).contains("second");
    queue.remove("second");
    assertThat(queue.head()).contains("late");
  }

  @Test
  void onlyRequestsThatAreAtLeastAsUrgentAreAhead() {
    queue.add("waiting", 1, GOAL_MILLIS, 0);

    assertThat(queue.isAhead(0)).isFalse();
    assertThat(queue.isAhead(1)).isTrue();
    assertThat(queue.isAhead(2)).isTrue();
  }

  @Test
  void requestWaitsForTheLengthOfItsObjectiveInShortQueue() {
    queue.add("r", 1, GOAL_MILLIS, 0);

    assertThat(queue.removeExpired(GOAL_MILLIS)).isEmpty();
    assertThat(queue.removeExpired(GOAL_MILLIS + 1)).containsExactly("r");
    assertThat(queue.size()).isZero();
  }

  /** A queue that does not empty only adds delay, so new requests wait for a shorter time. */
  @Test
  void requestsExpireSoonerInStandingQueue() {
    long now = 0;
    for (; now <= PlacementQueue.STANDING_MILLIS; now += 100) {
      queue.add("r" + now, 1, GOAL_MILLIS, now);
      queue.removeExpired(now);
    }
    queue.add("new", 1, GOAL_MILLIS, now);

    assertThat(queue.isStanding(now)).isTrue();
    assertThat(queue.removeExpired(now + GOAL_MILLIS / 2)).contains("new");
  }

  private long fillStandingQueue(int placementsPerStep) {
    long now = 0;
    for (; now <= PlacementQueue.STANDING_MILLIS + 100; now += 100) {
      for (int i = 0; i < placementsPerStep; i++) {
        String placed = "placed" + now + "-" + i;
        queue.add(placed, 1, GOAL_MILLIS, now);
        queue.placed(placed, now);
      }
      queue.add("r" + now, 1, GOAL_MILLIS, now);
      queue.removeExpired(now);
    }
    return now;
  }

  /** Such requests were held for the permitted wait and then refused. */
  @Test
  void requestWhoseTurnComesTooLateIsNotHeldInStandingQueue() {
    long now = fillStandingQueue(1);

    assertThat(queue.isFull(1, GOAL_MILLIS, now)).isTrue();
    assertThat(queue.isFull(0, GOAL_MILLIS, now)).isFalse();
  }

  @Test
  void requestWhoseTurnComesInTimeWaitsInStandingQueue() {
    long now = fillStandingQueue(4);

    assertThat(queue.isStanding(now)).isTrue();
    assertThat(queue.isFull(1, GOAL_MILLIS, now)).isFalse();
  }

  private long alternate(long fromMillis, long forMillis) {
    long now = fromMillis;
    for (; now < fromMillis + forMillis; now += 50) {
      String request = "r" + now;
      queue.add(request, 1, GOAL_MILLIS, now);
      queue.placed(request, now + 20);
    }
    return now;
  }

  /** Engines become free in groups, so a standing queue is empty at times. */
  @Test
  void standingQueueRemainsStandingWhileItIsEmptyForMoments() {
    queue.add("r", 1, GOAL_MILLIS, 0);
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
    queue.add("urgent", 0, GOAL_MILLIS, now);

    assertThat(queue.removeExpired(now + GOAL_MILLIS / 2)).doesNotContain("urgent");
    assertThat(queue.removeExpired(now + GOAL_MILLIS + 1)).contains("urgent");
    assertThat(queue.retryDelayMillis(0, GOAL_MILLIS, now, new Random(1)))
        .isLessThanOrEqualTo(GOAL_MILLIS * 3 / 2);
  }

  @Test
  void shortLivedQueueIsNeverFull() {
    for (int i = 0; i < 100; i++) {
      queue.add("r" + i, 1, GOAL_MILLIS, 0);
    }

    assertThat(queue.isFull(1, GOAL_MILLIS, PlacementQueue.STANDING_MILLIS / 2)).isFalse();
  }

  @Test
  void queueThatWasEmptyIsNotStanding() {
    queue.add("old", 1, GOAL_MILLIS, 0);
    queue.remove("old");
    queue.add("new", 1, GOAL_MILLIS, 5_000);

    assertThat(queue.isStanding(5_100)).isFalse();
  }

  @Test
  void refusedCallersReturnLaterTheLongerTheOverloadLasts() {
    queue.add("r", 1, GOAL_MILLIS, 0);

    for (int seed = 0; seed < 50; seed++) {
      Random random = new Random(seed);
      assertThat(queue.retryDelayMillis(1, GOAL_MILLIS, 100, random)).isBetween(200L, 600L);
      assertThat(queue.retryDelayMillis(1, GOAL_MILLIS, 3_000, random)).isBetween(1_500L, 4_500L);
      assertThat(queue.retryDelayMillis(1, GOAL_MILLIS, 60_000, random)).isBetween(2_500L, 7_500L);
    }
  }
}
