package org.bulrushpier.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bulrushpier.Address;
import org.bulrushpier.fleet.Membership;
import org.bulrushpier.limit.ColdLimit;

/**
 * The requests of all instances at one cold replica, while instances are cut off, killed, started
 * and frozen, so that they disagree on the members.
 *
 * <p>Guards against replicas that come back in groups: they look idle, and every instance would
 * send them as many requests as it has. Each instance here always has more than it may send.
 */
class ColdReplicasPropertyTest {

  private static final ColdLimit LIMIT = new ColdLimit(8.4, 1.5, 5);
  private static final long STEP_MILLIS = 25;
  private static final long REPORT_MILLIS = 300;
  private static final long LISTS_MILLIS = 1_000;
  private static final long LENGTH_MILLIS = 30_000;
  private static final long START_MILLIS = 100_000;
  private static final long SEEDS_WAKE_MILLIS = START_MILLIS + 20_000;
  private static final int SECOND_MILLIS = 1_000;

  private final List<Long> sent = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private Random random;
  private boolean isCut;
  private long seedsFreezeMillis;

  private final class Instance {
    private final Address address;
    private final Collection<Address> seeds;
    private final int side;
    private Membership membership;
    private ColdReplicas cold;
    private Replica replica;
    private long startMillis;
    private long runsFromMillis;

    Instance(int number, Collection<Address> seeds) {
      this.address = address(number);
      this.seeds = seeds;
      this.side = random.nextInt(3) == 0 ? 1 : 0;
    }

    void start(long nowMillis) {
      startMillis = nowMillis;
      membership = Membership.of(address, seeds);
      cold = ColdReplicas.of(membership::place);
      ReplicaTable table = new ReplicaTable();
      table.put(
          new ReplicaEntry("r", "s", address(999), "d", 64, false, 1, Map.of(), LENGTH_MILLIS));
      replica = table.find("r");
      cold.told(replica, 10 * LENGTH_MILLIS, false, nowMillis);
    }

    boolean runs(long nowMillis) {
      return nowMillis >= runsFromMillis;
    }

    boolean reaches(Instance other, long nowMillis) {
      return other.runs(nowMillis) && (!isCut || side == other.side);
    }

    void exchange(long nowMillis) {
      if ((nowMillis + address.port()) / STEP_MILLIS % (REPORT_MILLIS / STEP_MILLIS) == 0) {
        for (Address contact : membership.contacts(nowMillis)) {
          find(contact, nowMillis).ifPresent(other -> other.membership.heard(address, nowMillis));
        }
      }
      long interval = membership.liveInstances(nowMillis) > 1 ? LISTS_MILLIS : LISTS_MILLIS / 5;
      if ((nowMillis - startMillis) % interval == 0) {
        membership
            .nextPartner(random)
            .flatMap(partner -> find(partner, nowMillis))
            .ifPresent(
                other -> {
                  other.hear(this, nowMillis);
                  hear(other, nowMillis);
                });
      }
    }

    private Optional<Instance> find(Address wanted, long nowMillis) {
      return instances.stream()
          .filter(other -> other.address.equals(wanted) && reaches(other, nowMillis))
          .findFirst();
    }

    private void hear(Instance other, long nowMillis) {
      membership.heard(other.address, nowMillis);
      other
          .membership
          .liveAddresses(nowMillis, random)
          .forEach(known -> membership.learned(Address.parse(known), nowMillis));
    }

    /** Sends as many requests as the instance may. */
    void flood(long nowMillis) {
      cold.tick(nowMillis);
      while (cold.admits(LIMIT, replica, nowMillis)) {
        cold.begin(LIMIT, replica, nowMillis).sent(nowMillis);
        sent.add(nowMillis);
      }
    }
  }

  private static Address address(int number) {
    return new Address("10.0.0." + number / 100, 1_000 + number);
  }

  /**
   * Each fault is one of: cut, healed, killed and started again, frozen, added, replica restarts.
   */
  @Property(tries = 150)
  void noSecondHasMoreThanBound(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 45) int count,
      @ForAll @IntRange(min = 0, max = 25) int faults) {
    run(seed, count, faults);

    assertBound();
  }

  /** Seven instances, all seeds among them, freeze just after their start and wake together. */
  @Example
  void instancesThatFrozeBeforeTheyKnewTheOthersKeepTheBound() {
    run(11_442, 19, 7);

    assertBound();
  }

  /** The others have found each other only in groups, one for each seed. */
  @Property(tries = 20)
  void boundIsKeptWhenAllSeedsFreezeAfterTheStart(
      @ForAll long seed,
      @ForAll @IntRange(min = 18, max = 45) int count,
      @ForAll @IntRange(max = 80) int steps) {
    seedsFreezeMillis = START_MILLIS + steps * STEP_MILLIS;

    run(seed, count, 0);

    assertBound();
  }

  private void run(long seed, int count, int faults) {
    random = new Random(seed);
    sent.clear();
    instances.clear();
    isCut = false;
    List<Address> seeds = IntStream.range(0, Math.min(3, count)).mapToObj(i -> address(i)).toList();
    for (int i = 0; i < count; i++) {
      Instance instance = new Instance(i, seeds);
      instances.add(instance);
      instance.start(START_MILLIS);
    }
    ArrayDeque<Long> times =
        new ArrayDeque<>(
            random
                .longs(faults, START_MILLIS, START_MILLIS + LENGTH_MILLIS)
                .sorted()
                .boxed()
                .toList());
    for (long now = START_MILLIS; now < START_MILLIS + LENGTH_MILLIS; now += STEP_MILLIS) {
      while (!times.isEmpty() && times.peek() <= now) {
        times.poll();
        fault(now);
      }
      if (now == seedsFreezeMillis) {
        instances.subList(0, seeds.size()).forEach(i -> i.runsFromMillis = SEEDS_WAKE_MILLIS);
      }
      for (Instance instance : instances) {
        if (instance.runs(now)) {
          instance.exchange(now);
        }
      }
      for (Instance instance : instances) {
        if (instance.runs(now)) {
          instance.flood(now);
        }
      }
    }
  }

  private void fault(long nowMillis) {
    Instance victim = instances.get(random.nextInt(instances.size()));
    long downMillis = STEP_MILLIS * (20 + random.nextInt(200));
    switch (random.nextInt(5)) {
      case 0 -> isCut = !isCut;
      case 1 -> {
        victim.start(nowMillis + downMillis);
        victim.runsFromMillis = nowMillis + downMillis;
      }
      case 2 -> victim.runsFromMillis = nowMillis + downMillis;
      case 3 -> {
        for (Instance instance : instances) {
          if (random.nextInt(4) == 0) {
            instance.runsFromMillis = nowMillis + downMillis;
          }
        }
      }
      default -> {
        Instance added = new Instance(instances.size(), victim.seeds);
        added.runsFromMillis = nowMillis;
        added.start(nowMillis);
        instances.add(added);
      }
    }
  }

  private void assertBound() {
    int first = 0;
    for (int last = 0; last < sent.size(); last++) {
      while (sent.get(last) - sent.get(first) >= SECOND_MILLIS) {
        first++;
      }
      assertThat(last - first + 1)
          .as("requests in the second before %s", sent.get(last))
          .isLessThanOrEqualTo(LIMIT.bound());
    }
  }

  /** Some instances are cut off or frozen; the others are sponsors enough. */
  @Property(tries = 60)
  void replicaIsNotStarved(
      @ForAll long seed,
      @ForAll @IntRange(min = 8, max = 45) int count,
      @ForAll @IntRange(min = 0, max = 6) int faults) {
    run(seed, count, faults);

    long settled = START_MILLIS + 5_000;
    long late = START_MILLIS + LENGTH_MILLIS;
    for (long from = settled; from + 4_000 < late; from += SECOND_MILLIS) {
      long start = from;
      assertThat(sent.stream().filter(time -> time >= start && time < start + 4_000).count())
          .as("requests in the 4 s after %s", start)
          .isPositive();
    }
  }

  /** Without faults the replica gets nearly all of the requests that it bears. */
  @Property(tries = 20)
  void settledInstancesUseWholeRate(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 45) int count) {
    run(seed, count, 0);

    long from = START_MILLIS + 10_000;
    double perSecond = sent.stream().filter(time -> time >= from).count() / 20.0;
    assertThat(perSecond).isBetween(0.85 * LIMIT.aim(), LIMIT.perSecond());
    assertBound();
  }
}
