package org.bulrushpier.watch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushpier.Address;
import org.bulrushpier.watch.StoreReaders.Source;
import org.junit.jupiter.api.Test;

/** A failure domain of 28 instances, two of which read the store for the others. */
class StoreReadersTest {

  private static final int INSTANCES = 28;
  private static final int READERS = 2;

  private final List<Address> members = new ArrayList<>();
  private final Map<Address, StoreReaders> instances = new HashMap<>();
  private long now = 1_000;

  StoreReadersTest() {
    for (int i = 1; i <= INSTANCES; i++) {
      Address address = new Address("10.0.0." + i, 7_000);
      members.add(address);
      instances.put(address, StoreReaders.of(address));
    }
  }

  private Source next(Address instance) {
    return instances.get(instance).next(members, READERS, now);
  }

  private Set<Address> readers() {
    Set<Address> readers = new HashSet<>();
    for (Address member : members) {
      if (next(member) instanceof Source.Store store && store.isShared()) {
        readers.add(member);
      }
    }
    return readers;
  }

  private Address follower() {
    Set<Address> readers = readers();
    return members.stream().filter(member -> !readers.contains(member)).findFirst().orElseThrow();
  }

  private static Address reader(Source source) {
    return ((Source.Reader) source).address();
  }

  @Test
  void fewInstancesReadAndAllOthersAreSpreadOverThem() {
    Set<Address> readers = readers();
    Map<Address, Integer> followers = new HashMap<>();
    for (Address member : members) {
      if (next(member) instanceof Source.Reader reader) {
        followers.merge(reader.address(), 1, Integer::sum);
      }
    }

    assertThat(readers).hasSize(READERS);
    assertThat(followers.keySet()).isEqualTo(readers);
    assertThat(followers.values()).allMatch(count -> count > INSTANCES / 5);
    assertThat(followers.values().stream().mapToInt(count -> count).sum())
        .isEqualTo(INSTANCES - READERS);
  }

  @Test
  void domainWithoutFollowersReadsTheStoreForItself() {
    List<Address> two = members.subList(0, READERS);

    assertThat(instances.get(two.get(0)).next(two, READERS, now))
        .isEqualTo(new Source.Store(false));
    assertThat(instances.get(two.get(1)).next(List.of(two.get(1)), READERS, now))
        .isEqualTo(new Source.Store(false));
  }

  @Test
  void withoutTheSettingEachInstanceReadsTheStore() {
    assertThat(members)
        .allMatch(
            member -> instances.get(member).next(members, 0, now).equals(new Source.Store(false)));
  }

  @Test
  void failedReaderIsLeftForTheOtherAndBothForTheStore() {
    Address follower = follower();
    Address first = reader(next(follower));
    instances.get(follower).leave(first, now);
    Address second = reader(next(follower));
    assertThat(second).isNotEqualTo(first);

    instances.get(follower).leave(second, now);
    assertThat(next(follower)).isEqualTo(new Source.Store(false));

    now += StoreReaders.LEFT_MILLIS;
    assertThat(reader(next(follower))).isEqualTo(first);
  }

  @Test
  void deadReaderIsReplacedAndTheOtherOneStays() {
    Set<Address> before = readers();
    Address dead = before.iterator().next();
    members.remove(dead);
    Set<Address> after = readers();

    assertThat(after).hasSize(READERS).doesNotContain(dead);
    before.remove(dead);
    assertThat(after).containsAll(before);
  }

  @Test
  void instanceThatWasSuspendedReadsTheStoreFirst() {
    Address follower = follower();
    StoreReaders instance = instances.get(follower);

    assertThat(instance.woken(StoreReaders.STALL_MILLIS - 1, now)).isFalse();
    assertThat(next(follower)).isInstanceOf(Source.Reader.class);
    assertThat(instance.woken(8_000, now)).isTrue();
    assertThat(next(follower)).isEqualTo(new Source.Store(false));

    now += StoreReaders.WOKEN_MILLIS;
    assertThat(next(follower)).isInstanceOf(Source.Reader.class);
  }

  @Test
  void readerNeverHasAnotherReaderAsItsSource() {
    for (Address reader : readers()) {
      for (Address other : members) {
        instances.get(reader).leave(other, now);
      }
      assertThat(next(reader)).isEqualTo(new Source.Store(true));
    }
  }
}
