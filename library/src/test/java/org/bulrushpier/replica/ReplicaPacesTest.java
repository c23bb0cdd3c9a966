package org.bulrushpier.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.LongPredicate;
import org.bulrushpier.Address;
import org.bulrushpier.fleet.PaceReport;
import org.bulrushpier.fleet.Place;
import org.junit.jupiter.api.Test;

/**
 * The requests of twenty instances at a replica that has just started, and that is slow for some
 * time: how many answers are late, and when it carries its fair share. A slow start by fixed steps
 * is the measure: a tenth of the fair share more in each second.
 */
class ReplicaPacesTest {

  private static final int INSTANCES = 20;
  private static final int FAIR_REQUESTS = 12;
  private static final int STEPS = 10;
  private static final long STEP_MILLIS = 1_000;
  private static final long TICK_MILLIS = 10;
  private static final long REPORT_MILLIS = 300;
  private static final long EXPECTED_MILLIS = 300;
  private static final long GOAL_MILLIS = 600;
  private static final double SLOWNESS = 4;
  private static final long END_MILLIS = 40_000;
  private static final Map<String, Double> NEIGHBOURS = Map.of("s", (double) FAIR_REQUESTS);

  private record Running(Instance instance, String id, long sentMillis, long endMillis) {}

  private record Result(int late, int answers, long fairMillis) {}

  private final class Instance {
    private final int rank;
    private final Replica replica = replica();
    private final ReplicaPaces paces;

    private Instance(int rank) {
      this.rank = rank;
      Place place = new Place(rank, INSTANCES, rank, INSTANCES, false);
      this.paces = ReplicaPaces.of((key, now) -> Optional.of(place));
    }
  }

  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Running> running =
      new PriorityQueue<>((a, b) -> Long.compare(a.endMillis, b.endMillis));
  private int nextId;

  private static Replica replica() {
    ReplicaTable table = new ReplicaTable();
    table.put(
        new ReplicaEntry("r", "s", new Address("10.0.0.1", 1), "d", 64, false, 7, Map.of(), 0));
    return table.find("r");
  }

  private interface Admission {
    boolean admits(Instance instance, long nowMillis);
  }

  private Result play(LongPredicate isSlow, boolean isPaced, LongPredicate isReported) {
    instances.clear();
    running.clear();
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance(i));
      instances.get(i).paces.beginJoint(instances.get(i).replica, "started", 0);
    }
    Admission admission = isPaced ? this::isWithinPace : ReplicaPacesTest::isWithinSteps;
    int late = 0;
    int answers = 0;
    int fairTicks = 0;
    long fairMillis = END_MILLIS;
    for (long now = 0; now < END_MILLIS; now += TICK_MILLIS) {
      while (!running.isEmpty() && running.peek().endMillis <= now) {
        Running ended = running.poll();
        ended.instance.replica.end(ended.id);
        long elapsed = now - ended.sentMillis;
        ended.instance.paces.answered(
            ended.instance.replica, elapsed, EXPECTED_MILLIS, GOAL_MILLIS, now);
        answers++;
        late += elapsed > 1.5 * EXPECTED_MILLIS ? 1 : 0;
      }
      if (now % REPORT_MILLIS == 0 && isReported.test(now)) {
        report(now);
      }
      for (Instance instance : instances) {
        instance.paces.tick(NEIGHBOURS, INSTANCES, now);
        if (running.size() < FAIR_REQUESTS && admission.admits(instance, now)) {
          send(instance, isSlow.test(now), now);
        }
      }
      fairTicks = running.size() >= 0.8 * FAIR_REQUESTS && !isSlow.test(now) ? fairTicks + 1 : 0;
      if (fairTicks * TICK_MILLIS >= 500) {
        fairMillis = Math.min(fairMillis, now);
      }
    }
    return new Result(late, answers, fairMillis);
  }

  private void send(Instance instance, boolean isSlow, long nowMillis) {
    String id = "q" + nextId++;
    long millis = (long) (EXPECTED_MILLIS * (isSlow ? SLOWNESS : 1));
    instance.replica.begin(id, new Replica.InFlightRequest(0, 0, 0, 0, nowMillis, nowMillis));
    running.add(new Running(instance, id, nowMillis, nowMillis + millis));
  }

  private void report(long nowMillis) {
    for (Instance from : instances) {
      List<PaceReport> reports = from.paces.reports();
      for (Instance to : instances) {
        if (to != from && !reports.isEmpty()) {
          to.paces.learn("i" + from.rank, reports, nowMillis);
        }
      }
    }
  }

  private boolean isWithinPace(Instance instance, long nowMillis) {
    return instance.paces.admits(instance.replica, nowMillis);
  }

  private static boolean isWithinSteps(Instance instance, long nowMillis) {
    long steps = Math.min(STEPS, 1 + nowMillis / STEP_MILLIS);
    Place place = new Place(instance.rank, INSTANCES, instance.rank, INSTANCES, false);
    int total = (int) Math.ceil((double) FAIR_REQUESTS * steps / STEPS);
    return instance.replica.ownRequests() < place.liveShare(total);
  }

  private Result paced(LongPredicate isSlow) {
    return play(isSlow, true, now -> true);
  }

  private Result stepped(LongPredicate isSlow) {
    return play(isSlow, false, now -> true);
  }

  @Test
  void replicaThatIsNeverSlowCarriesItsShareSoonerThanBySteps() {
    Result paced = paced(now -> false);

    assertThat(paced.fairMillis).isLessThan(stepped(now -> false).fairMillis / 2);
    assertThat(paced.late).isZero();
  }

  @Test
  void replicaThatIsSlowForOneSecondCarriesItsShareSoonerThanBySteps() {
    LongPredicate isSlow = now -> now < 1_000;
    Result paced = paced(isSlow);
    Result stepped = stepped(isSlow);

    assertThat(paced.fairMillis).isLessThan(stepped.fairMillis);
    assertThat(paced.late).isLessThanOrEqualTo(stepped.late + Pace.START_WINDOW);
  }

  @Test
  void replicaThatIsSlowForFiveSecondsHasFewerLateAnswersThanBySteps() {
    LongPredicate isSlow = now -> now < 5_000;
    Result paced = paced(isSlow);
    Result stepped = stepped(isSlow);

    assertThat(paced.late).isLessThan(stepped.late);
    assertThat(paced.fairMillis).isLessThan(stepped.fairMillis + 1_000);
  }

  @Test
  void replicaThatIsSlowForTwentySecondsHasFarFewerLateAnswersThanBySteps() {
    LongPredicate isSlow = now -> now < 20_000;
    Result paced = paced(isSlow);
    Result stepped = stepped(isSlow);

    assertThat(paced.late).isLessThan(stepped.late / 2);
    assertThat(paced.fairMillis).isLessThan(20_000 + 5_000);
  }

  /** It turns slow again before its pace has ended. */
  @Test
  void replicaThatIsSlowAgainHasFewerLateAnswersThanBySteps() {
    LongPredicate isSlow = now -> now < 2_000 || now >= 2_600 && now < 8_000;

    assertThat(paced(isSlow).late).isLessThan(stepped(isSlow).late);
  }

  /** Each side of a cut goes on with what it finds itself; nobody is kept away for good. */
  @Test
  void replicaCarriesItsShareAlsoIfReportsAreLost() {
    Result cut = play(now -> false, true, now -> false);

    assertThat(cut.fairMillis).isLessThan(stepped(now -> false).fairMillis + STEP_MILLIS);
  }

  /** Its neighbours' requests come to it, so that more of them are in flight than before. */
  @Test
  void paceEndsOnceItNoLongerBindsAndEndsForOthersToo() {
    Instance first = new Instance(0);
    Instance second = new Instance(1);
    first.paces.beginJoint(first.replica, "started", 0);
    second.paces.beginJoint(second.replica, "started", 0);
    for (int i = 0; i < 60; i++) {
      first.paces.answered(first.replica, 1, 1, GOAL_MILLIS, 100);
    }
    assertThat(first.paces.tick(NEIGHBOURS, INSTANCES, 100))
        .extracting(ReplicaPaces.Ended::replica)
        .containsExactly(first.replica);
    assertThat(second.paces.share(second.replica, 100)).isEqualTo(1);

    second.paces.learn("i0", first.paces.reports(), 200);
    second.paces.tick(NEIGHBOURS, INSTANCES, 200);
    assertThat(second.paces.size()).isZero();
  }

  @Test
  void paceOfReplicaWhoseNeighboursFallGrowsWithItsAnswers() {
    Instance instance = new Instance(0);
    instance.paces.beginJoint(instance.replica, "started", 0);
    int before = instance.paces.window(instance.replica, 0);
    for (int i = 0; i < 10; i++) {
      instance.paces.answered(instance.replica, 440, 300, GOAL_MILLIS, 100);
    }
    assertThat(instance.paces.window(instance.replica, 100)).isEqualTo(before + 10);

    instance.paces.failed(instance.replica, 200);
    instance.paces.failed(instance.replica, 210);
    assertThat(instance.paces.window(instance.replica, 210)).isEqualTo((before + 10) / 2);
  }

  @Test
  void findingsOfOthersExpireAndImplausibleOnesAreIgnored() {
    Instance instance = new Instance(0);
    instance.paces.beginJoint(instance.replica, "started", 0);
    instance.paces.learn("i1", List.of(new PaceReport("r@7", 10)), 0);
    assertThat(instance.paces.window(instance.replica, 0)).isEqualTo(Pace.START_WINDOW + 10);
    assertThat(instance.paces.window(instance.replica, Pace.VALIDITY_MILLIS + 1))
        .isLessThanOrEqualTo(Pace.START_WINDOW + 1);

    assertThat(instance.paces.learn("i1", List.of(new PaceReport("r@7", 10_001)), 0)).isFalse();
    assertThat(instance.paces.learn("i1", List.of(new PaceReport(null, 1)), 0)).isFalse();
  }

  @Test
  void paceOfOneInstanceStartsWithOneRequestAndIsToldToNobody() {
    Instance instance = new Instance(19);
    instance.paces.beginOwn(instance.replica, "silent", 0);
    assertThat(instance.paces.share(instance.replica, 0)).isEqualTo(1);

    instance.paces.answered(instance.replica, 100, 100, GOAL_MILLIS, 100);
    assertThat(instance.paces.share(instance.replica, 100)).isEqualTo(2);
    assertThat(instance.paces.reports()).isEmpty();
  }

  @Test
  void replicaWithoutPaceIsNeverWithheld() {
    Instance instance = new Instance(0);
    instance.paces.failed(instance.replica, 0);

    assertThat(instance.paces.admits(instance.replica, 0)).isTrue();
  }

  /** In a crest all replicas answer late; windows that shrink then refuse what could be served. */
  @Test
  void lateAnswersProveNothingWhileNeighboursAreLateToo() {
    Instance instance = new Instance(0);
    Replica neighbour = new Instance(1).replica;
    instance.paces.beginJoint(instance.replica, "started", 0);
    for (int i = 0; i < 20; i++) {
      instance.paces.answered(neighbour, 2_000, 300, GOAL_MILLIS, 100);
    }
    instance.paces.answered(instance.replica, 2_000, 300, GOAL_MILLIS, 100);
    assertThat(instance.paces.window(instance.replica, 100)).isEqualTo(Pace.START_WINDOW);

    for (int i = 0; i < 40; i++) {
      instance.paces.answered(neighbour, 200, 300, GOAL_MILLIS, 200);
    }
    instance.paces.answered(instance.replica, 2_000, 300, GOAL_MILLIS, 200);
    assertThat(instance.paces.window(instance.replica, 200)).isEqualTo(Pace.START_WINDOW / 2);
  }
}
