package org.bulrushpier.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.bulrushpier.Address;
import org.bulrushpier.fleet.Place;
import org.bulrushpier.limit.ColdLimit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What one instance believes of cold replicas. The total over all instances is checked by {@link
 * ColdReplicasPropertyTest}.
 */
class ColdReplicasTest {

  private static final ColdLimit LIMIT = new ColdLimit(8.4, 1.5, 5);
  private static final Place SPONSOR = new Place(0, 26, 0, 26, false);
  private static final Place OTHER = new Place(20, 26, 20, 26, false);
  private static final long COLD_MILLIS = 3_000;
  private static final long NOW = 10_000;

  private final ReplicaTable table = new ReplicaTable();
  private Optional<Place> place = Optional.of(SPONSOR);
  private final ColdReplicas cold = ColdReplicas.of((key, nowMillis) -> place);

  @BeforeEach
  void start() {
    cold.tick(NOW);
  }

  private Replica replica(String id) {
    table.put(
        new ReplicaEntry(
            id, "s", new Address("10.0.0.1", 1), "etna", 6, false, 7, Map.of(), COLD_MILLIS));
    return table.find(id);
  }

  private Replica coldReplica(String id) {
    Replica replica = replica(id);
    cold.told(replica, COLD_MILLIS, false, NOW);
    return replica;
  }

  private boolean isAdmitted(Replica replica, long nowMillis) {
    cold.tick(nowMillis);
    return cold.isIdle(nowMillis) || cold.admits(LIMIT, replica, nowMillis);
  }

  private void send(Replica replica, long nowMillis) {
    cold.begin(LIMIT, replica, nowMillis).sent(nowMillis);
  }

  private void run(long fromMillis, long toMillis) {
    for (long now = fromMillis; now <= toMillis; now += 25) {
      cold.tick(now);
    }
  }

  @Test
  void replicasOfServicesWithoutLimitAreNeverWithheld() {
    Replica replica = coldReplica("r");
    place = Optional.empty();

    assertThat(cold.admits(ColdLimit.NONE, replica, NOW)).isTrue();
  }

  @Test
  void onlySponsorsSendToColdReplica() {
    Replica replica = coldReplica("r");
    Replica other = coldReplica("s");
    assertThat(isAdmitted(replica, NOW)).isTrue();

    place = Optional.of(OTHER);
    assertThat(isAdmitted(other, NOW)).isFalse();
  }

  @Test
  void seatIsFreeAgainAfterWindow() {
    Replica replica = coldReplica("r");
    send(replica, NOW + 100);

    assertThat(isAdmitted(replica, NOW + 100)).isFalse();
    run(NOW + 100, NOW + 1_100);
    assertThat(isAdmitted(replica, NOW + 1_100)).isFalse();
    assertThat(isAdmitted(replica, NOW + 100 + ColdLimit.WINDOW_MILLIS)).isTrue();
  }

  /** A connection that opens late must not bring two requests into one second. */
  @Test
  void requestCountsFromPlacementAndForWindowAfterItIsSent() {
    Replica replica = coldReplica("r");
    ColdSpell.Send send = cold.begin(LIMIT, replica, NOW);
    run(NOW, NOW + 1_500);
    assertThat(isAdmitted(replica, NOW + 1_500)).isFalse();
    send.sent(NOW + 1_500);
    run(NOW + 1_500, NOW + 2_500);
    assertThat(isAdmitted(replica, NOW + 2_500)).isFalse();
  }

  @Test
  void unsentAndMisdirectedRequestsGiveTheirSeatBack() {
    Replica replica = coldReplica("r");
    cold.begin(LIMIT, replica, NOW).end();
    assertThat(isAdmitted(replica, NOW)).isTrue();

    ColdSpell.Send send = cold.begin(LIMIT, replica, NOW);
    send.sent(NOW);
    send.end();
    assertThat(isAdmitted(replica, NOW)).isFalse();
    send.withdraw();
    assertThat(isAdmitted(replica, NOW)).isTrue();
  }

  @Test
  void laterNewsOnlyProlongColdTime() {
    Replica replica = coldReplica("r");
    cold.told(replica, 100, true, NOW + 10);
    cold.told(replica, 0, true, NOW + 20);
    assertThat(replica.coldSpell().leftMillis(NOW + 20)).isEqualTo(COLD_MILLIS - 20);

    cold.told(replica, COLD_MILLIS, true, NOW + 1_000);
    assertThat(replica.coldSpell().leftMillis(NOW + 1_000)).isEqualTo(COLD_MILLIS);
  }

  /** All instances may have sent to it until the news, so sponsors wait until that is over. */
  @Test
  void replicaThatTurnsColdAgainGetsNothingForWindow() {
    Replica replica = replica("r");
    cold.told(replica, COLD_MILLIS, true, NOW);

    assertThat(isAdmitted(replica, NOW)).isFalse();
    run(NOW, NOW + 1_000);
    assertThat(isAdmitted(replica, NOW + ColdLimit.WINDOW_MILLIS)).isTrue();
  }

  @Test
  void requestPlacedBeforeReplicaTurnedColdIsNotSent() {
    Replica replica = replica("r");
    place = Optional.of(OTHER);
    cold.begin(LIMIT, replica, NOW);
    assertThat(cold.isExceeded(LIMIT, replica, NOW)).isFalse();

    cold.told(replica, COLD_MILLIS, true, NOW);
    assertThat(cold.isExceeded(LIMIT, replica, NOW)).isTrue();
  }

  @Test
  void instanceThatDoesNotKnowItsPlaceSendsNothing() {
    place = Optional.empty();
    assertThat(isAdmitted(coldReplica("r"), NOW)).isFalse();
    assertThat(isAdmitted(replica("warm"), NOW)).isTrue();
  }

  @Test
  void shareGrowsAfterColdTimeUntilThereIsNone() {
    Replica replica = coldReplica("r");
    long warm = NOW + COLD_MILLIS;
    run(NOW, warm - 25);
    List<Integer> shares =
        IntStream.range(0, 6).mapToObj(i -> cold.share(LIMIT, replica, warm + 500L * i)).toList();
    assertThat(shares).isSorted().startsWith(1).doesNotContain(Integer.MAX_VALUE);

    long end = warm + ColdLimit.RAMP_MILLIS;
    run(warm, end);
    assertThat(cold.share(LIMIT, replica, end)).isEqualTo(Integer.MAX_VALUE);
    assertThat(cold.limited()).isEmpty();
  }

  @Test
  void replicaThatMayHaveRestartedIsColdForItsFullTimeAfterItsAnswer() {
    Replica replica = replica("r");
    place = Optional.of(OTHER);
    cold.mayHaveRestarted(replica, NOW);
    assertThat(isAdmitted(replica, NOW + 900)).isFalse();

    cold.answered(replica, COLD_MILLIS, NOW + 900);
    assertThat(replica.coldSpell().leftMillis(NOW + 900)).isEqualTo(COLD_MILLIS);
  }

  /** It may have restarted late in that time. */
  @Test
  void shareGrowsAfterSuspicionThatEndsByItself() {
    Replica replica = replica("r");
    cold.mayHaveRestarted(replica, NOW);
    long end = NOW + ColdSpell.SUSPICION_MILLIS;
    run(NOW, end);
    List<Integer> shares =
        IntStream.range(0, 6).mapToObj(i -> cold.share(LIMIT, replica, end + 500L * i)).toList();
    assertThat(shares).isSorted().startsWith(1).doesNotContain(Integer.MAX_VALUE);
    assertThat(cold.limited()).containsExactly(replica);

    run(end, end + ColdLimit.RAMP_MILLIS);
    assertThat(cold.share(LIMIT, replica, end + ColdLimit.RAMP_MILLIS))
        .isEqualTo(Integer.MAX_VALUE);
    assertThat(cold.limited()).isEmpty();
  }

  @Test
  void registryEndsSuspicionOnceLiveReplicasHaveRenewedTheirEntries() {
    Replica replica = replica("r");
    place = Optional.of(OTHER);
    cold.mayHaveRestarted(replica, NOW);

    cold.registryRead(NOW, false);
    assertThat(isAdmitted(replica, NOW)).isFalse();
    cold.registryRead(NOW, true);
    assertThat(isAdmitted(replica, NOW)).isTrue();
  }

  /** Its new entry comes after it listens again, so the registry cannot rule a restart out. */
  @Test
  void replicaThatRefusedConnectionsIsColdUntilItAnswersWhateverTheRegistrySays() {
    Replica replica = replica("r");
    place = Optional.of(OTHER);
    assertThat(cold.refused(replica, NOW)).isTrue();
    assertThat(cold.refused(replica, NOW + 100)).isFalse();
    cold.registryRead(NOW + 200, true);
    assertThat(isAdmitted(replica, NOW + 200)).isFalse();

    cold.answered(replica, COLD_MILLIS, NOW + 300);
    assertThat(replica.coldSpell().leftMillis(NOW + 300)).isEqualTo(COLD_MILLIS);
    cold.answered(replica, COLD_MILLIS, NOW + 400);
    assertThat(replica.coldSpell().leftMillis(NOW + 400)).isEqualTo(COLD_MILLIS - 100);
  }

  /** The news of a frozen instance are as old as its freeze. */
  @Test
  void afterLongStallAnyReplicaCountsAsColdUntilRegistryIsRead() {
    Replica replica = replica("r");
    place = Optional.of(OTHER);
    long woken = NOW + ColdReplicas.STALL_MILLIS;
    assertThat(cold.isIdle(woken)).isFalse();
    assertThat(cold.admits(LIMIT, replica, woken)).isFalse();
    assertThat(isAdmitted(replica, woken)).isFalse();

    cold.registryRead(woken, false);
    assertThat(isAdmitted(replica, woken)).isTrue();
  }

  /** It was under way, and says nothing of what happened in the stall. */
  @Test
  void responseToCallThatWasSentBeforeTheStallDoesNotEndTheCaution() {
    Replica replica = replica("r");
    place = Optional.of(OTHER);
    cold.mayHaveRestarted(replica("s"), NOW);
    long woken = NOW + ColdReplicas.STALL_MILLIS;
    cold.tick(woken);

    cold.registryRead(woken - 1, true);
    assertThat(isAdmitted(replica, woken)).isFalse();
    assertThat(table.find("s").coldSpell().isCold(woken)).isTrue();

    cold.registryRead(woken, true);
    assertThat(isAdmitted(replica, woken)).isTrue();
    assertThat(table.find("s").coldSpell().isCold(woken)).isFalse();
  }

  @Test
  void registryThatDoesNotAnswerAfterStallIsNotAwaitedForEver() {
    Replica replica = replica("r");
    place = Optional.of(OTHER);
    long woken = NOW + ColdReplicas.STALL_MILLIS;
    run(woken, woken + ColdReplicas.NEWS_MILLIS - 25);
    assertThat(isAdmitted(replica, woken + ColdReplicas.NEWS_MILLIS)).isTrue();
  }
}
