package org.bulrushpier.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiPredicate;
import org.bulrushpier.Address;
import org.bulrushpier.Codec;
import org.junit.jupiter.api.Test;

/** Plays the exchange of lists between instances, with cuts and replaced seeds. */
class MembershipTest {

  private static final long ROUND_MILLIS = 1_000;

  private final Random random = new Random(3);
  private final Map<Address, Membership> instances = new HashMap<>();
  private long now;

  private static Address address(int number) {
    return new Address("10.0." + number / 200 + "." + (1 + number % 200), 7_000);
  }

  private void start(int from, int to, List<Address> seeds) {
    for (int i = from; i < to; i++) {
      instances.put(address(i), Membership.of(address(i), seeds));
    }
  }

  private void play(int rounds, BiPredicate<Address, Address> isReachable) {
    for (int round = 0; round < rounds; round++) {
      now += ROUND_MILLIS;
      for (Map.Entry<Address, Membership> entry : List.copyOf(instances.entrySet())) {
        Optional<Address> partner = entry.getValue().nextPartner(random);
        if (partner.isPresent()
            && instances.containsKey(partner.get())
            && isReachable.test(entry.getKey(), partner.get())) {
          deliver(entry.getKey(), partner.get());
          deliver(partner.get(), entry.getKey());
        }
        // Load reports show that an instance is live.
        for (Address contact : entry.getValue().contacts(now)) {
          if (instances.containsKey(contact) && isReachable.test(entry.getKey(), contact)) {
            instances.get(contact).heard(entry.getKey(), now);
          }
        }
      }
    }
  }

  private void deliver(Address from, Address to) {
    Membership receiver = instances.get(to);
    receiver.heard(from, now);
    for (String known : instances.get(from).liveAddresses(now, random)) {
      receiver.learned(Address.parse(known), now);
    }
  }

  private List<Integer> liveCounts() {
    List<Integer> counts = new ArrayList<>();
    instances.values().forEach(membership -> counts.add(membership.liveInstances(now)));
    return counts;
  }

  @Test
  void instancesFindEachOtherThroughSeeds() {
    start(0, 40, List.of(address(0), address(1), address(2)));
    play(8, (from, to) -> true);

    assertThat(liveCounts()).containsOnly(40);
  }

  @Test
  void listsThatDoNotFitIntoDatagramSpreadAllTheSame() {
    start(0, 300, List.of(address(0), address(1), address(2)));
    play(30, (from, to) -> true);

    assertThat(liveCounts()).containsOnly(300);
  }

  @Test
  void bothSidesOfPartitionFindEachOtherAgainAfterSeedsWereReplaced() {
    start(0, 12, List.of(address(0), address(1)));
    play(8, (from, to) -> true);
    BiPredicate<Address, Address> cut = (from, to) -> from.hashCode() % 2 == to.hashCode() % 2;
    play(30, cut);
    assertThat(liveCounts()).allMatch(count -> count < 12);
    instances.remove(address(0));
    instances.remove(address(1));
    play(60, (from, to) -> true);

    assertThat(liveCounts()).containsOnly(10);
  }

  @Test
  void instanceThatEndedIsNoLongerLiveAndNoLongerContacted() {
    start(0, 5, List.of(address(0)));
    play(8, (from, to) -> true);
    instances.remove(address(4));
    play(14, (from, to) -> true);

    assertThat(liveCounts()).containsOnly(4);
    assertThat(instances.get(address(1)).contacts(now)).doesNotContain(address(4)).hasSize(3);
  }

  @Test
  void ownAddressIsNotMember() {
    Membership membership = Membership.of(address(0), List.of(address(0)));
    membership.heard(address(0), 0);
    membership.learned(address(0), 0);

    assertThat(membership.liveInstances(0)).isEqualTo(1);
    assertThat(membership.nextPartner(random)).isEmpty();
  }

  @Test
  void fleetIsIncompleteWhileSeedOrKnownInstanceIsNotHeardFrom() {
    Membership membership = Membership.of(address(0), List.of(address(0), address(1)));
    assertThat(membership.isComplete(now)).isFalse();

    membership.heard(address(1), now);
    assertThat(membership.isComplete(now)).isTrue();
    membership.learned(address(2), now);
    assertThat(membership.isComplete(now)).isFalse();
    membership.heard(address(2), now);
    assertThat(membership.isComplete(now)).isTrue();
    assertThat(membership.isComplete(now + Membership.LIVE_MILLIS + 1)).isFalse();
  }

  @Test
  void liveInstancesAgreeOnAnOrderOfTurns() {
    start(0, 5, List.of(address(0)));
    play(20, (from, to) -> true);

    for (String key : List.of("a", "b", "c")) {
      List<Integer> turns = new ArrayList<>();
      instances.values().forEach(instance -> turns.add(instance.turn(key, now)));
      assertThat(turns).containsExactlyInAnyOrder(0, 1, 2, 3, 4);
    }
  }

  @Test
  void placesOfSettledInstancesDifferAndCountThoseThatAreNotLive() {
    start(0, 12, List.of(address(0), address(1)));
    play(20, (from, to) -> true);
    play(10, (from, to) -> !from.equals(address(5)) && !to.equals(address(5)));

    List<Integer> ranks = new ArrayList<>();
    List<Integer> liveRanks = new ArrayList<>();
    instances.forEach(
        (address, membership) -> {
          Place place = membership.place("r@1", now).orElseThrow();
          assertThat(place.members()).isEqualTo(12);
          assertThat(place.liveMembers()).isEqualTo(address.equals(address(5)) ? 1 : 11);
          ranks.add(place.rank());
          if (!address.equals(address(5))) {
            liveRanks.add(place.liveRank());
          }
        });
    assertThat(ranks).containsExactlyInAnyOrder(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11);
    assertThat(liveRanks).containsExactlyInAnyOrder(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10);
  }

  /** Lets an instance run for a time, in which it hears from another one. */
  private static void hear(Membership membership, Address other, long fromMillis, long toMillis) {
    for (long time = fromMillis; time <= toMillis; time += 100) {
      membership.heard(other, time);
    }
  }

  @Test
  void instanceHasNoPlaceUntilItHasHeardOthersForSomeTime() {
    Membership alone = Membership.of(address(0), List.of());
    assertThat(alone.place("r@1", 0)).contains(Place.ALONE);

    Membership started = Membership.of(address(0), List.of(address(1)));
    assertThat(started.place("r@1", 60_000)).isEmpty();
    hear(started, address(1), 60_000, 60_000 + Membership.SETTLING_MILLIS - 100);
    assertThat(started.place("r@1", 60_000 + Membership.SETTLING_MILLIS - 1)).isEmpty();
    assertThat(started.place("r@1", 60_000 + Membership.SETTLING_MILLIS)).isPresent();
  }

  /** With the list of the first instance that it heard, it would take itself for one of few. */
  @Test
  void youngInstanceThatStillLearnsOfOthersHasNoPlace() {
    Membership young = Membership.of(address(0), List.of(address(1)));
    hear(young, address(1), 0, 1_900);
    young.learned(address(2), 1_900);
    assertThat(young.place("r@1", Membership.SETTLING_MILLIS)).isEmpty();
    hear(young, address(1), Membership.SETTLING_MILLIS, 1_900 + Membership.QUIET_MILLIS);
    assertThat(young.place("r@1", 1_900 + Membership.QUIET_MILLIS)).isPresent();

    hear(young, address(1), 1_900 + Membership.QUIET_MILLIS, Membership.YOUNG_MILLIS);
    young.learned(address(3), Membership.YOUNG_MILLIS);
    assertThat(young.place("r@1", Membership.YOUNG_MILLIS)).isPresent();
  }

  /** In the time of a stall no list arrives, so that it is no time to settle. */
  @Test
  void youngInstanceSettlesAnewAfterStall() {
    Membership young = Membership.of(address(0), List.of(address(1)));
    hear(young, address(1), 0, 100);

    assertThat(young.place("r@1", 5_000)).isEmpty();
    hear(young, address(1), 5_000, 6_900);
    assertThat(young.place("r@1", 6_999)).isEmpty();
    assertThat(young.place("r@1", 7_000)).isPresent();

    hear(young, address(1), 7_000, 8_000);
    assertThat(young.place("r@1", 70_000)).as("woken in a later minute").isEmpty();
  }

  @Test
  void instanceThatIsNoLongerYoungKeepsItsPlaceInStall() {
    Membership old = Membership.of(address(0), List.of(address(1)));
    hear(old, address(1), 0, Membership.YOUNG_MILLIS);

    assertThat(old.place("r@1", Membership.YOUNG_MILLIS + 30_000)).isPresent();
  }

  /** Instances that started together find each other through the seeds only. */
  @Test
  void youngInstanceWhoseSeedsAreGoneHasNoPlace() {
    Membership young = Membership.of(address(0), List.of(address(1)));
    young.heard(address(1), 0);
    hear(young, address(2), 0, Membership.YOUNG_MILLIS - 100);

    assertThat(young.place("r@1", Membership.YOUNG_MILLIS - 1)).isEmpty();
    assertThat(young.place("r@1", Membership.YOUNG_MILLIS)).isPresent();
  }

  /** The other seeds may never have been started, so that all instances start from this one. */
  @Test
  void seedSettlesWithoutOtherSeeds() {
    Membership seed = Membership.of(address(0), List.of(address(0), address(1)));
    hear(seed, address(2), 0, Membership.SETTLING_MILLIS);

    assertThat(seed.place("r@1", Membership.SETTLING_MILLIS)).isPresent();
  }

  @Test
  void membersOfTheOwnDomainAreThoseThatHaveToldIt() {
    Membership membership = Membership.of(address(0), List.of());
    membership.heard(address(1), "norte", now);
    membership.heard(address(2), "sul", now);
    membership.heard(address(3), now);
    membership.learned(address(4), now);
    assertThat(membership.liveInDomain("norte", now))
        .containsExactlyInAnyOrder(address(0), address(1));

    now += Membership.LIVE_MILLIS;
    membership.heard(address(3), "norte", now);
    membership.heard(address(3), now);
    now++;
    assertThat(membership.liveInDomain("norte", now))
        .containsExactlyInAnyOrder(address(0), address(3));
  }

  /** The domain was added to the message later. */
  @Test
  void loadOfOlderSenderNamesNoDomain() {
    byte[] older = Codec.messagePack().write(List.of("l", List.of(7, 1, List.of())));

    assertThat(Codec.messagePack().read(older, FleetMessage.class))
        .isEqualTo(new FleetMessage.Load(7, 1, List.of(), ""));
  }
}
