package org.bulrushpier.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bulrushpier.Address;
import org.junit.jupiter.api.Test;

class LoadGroupTest {

  private static List<Address> addresses(int count) {
    List<Address> addresses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      addresses.add(new Address("10.0.0." + i, 1));
    }
    return addresses;
  }

  private static List<String> engines(int count) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add("e" + i);
    }
    return ids;
  }

  @Test
  void smallSiteHasNoGroups() {
    LoadGroup group = new LoadGroup();
    List<Address> all = addresses(LoadGroup.MIN_INSTANCES - 1);

    group.update(all.get(3), all.size(), all, Map.of("s", engines(60)));

    assertThat(group.isInForce()).isFalse();
    assertThat(group.isLargeSite()).isFalse();
    assertThat(group.members()).isEmpty();
  }

  @Test
  void domainWithFewInstancesIsNotDivided() {
    LoadGroup group = new LoadGroup();
    List<Address> all = addresses(LoadGroup.SIZE);

    group.update(all.get(3), LoadGroup.MIN_INSTANCES, all, Map.of("s", engines(60)));

    assertThat(group.isInForce()).isFalse();
    assertThat(group.isLargeSite()).isTrue();
  }

  @Test
  void groupIsLeftWhenTheSiteShrinks() {
    LoadGroup group = new LoadGroup();
    List<Address> all = addresses(30);
    Map<String, List<String>> engines = Map.of("s", engines(40));

    assertThat(group.update(all.get(3), 90, all, engines)).isTrue();
    assertThat(group.isInForce()).isTrue();
    assertThat(group.update(all.get(3), 90, all, engines)).isFalse();
    assertThat(group.update(all.get(3), 20, all, engines)).isTrue();
    assertThat(group.isInForce()).isFalse();
  }

  /** At 26 instances reports every 300 ms were older than the queue of an engine is long. */
  @Test
  void reportsOfMiddlingSiteAreAsFrequentAsThoseOfSmallSite() {
    LoadGroup group = new LoadGroup();

    assertThat(group.generalIntervalMillis(3)).isEqualTo(100);
    assertThat(group.generalIntervalMillis(25)).isEqualTo(100);
    assertThat(group.generalIntervalMillis(40)).isBetween(150L, 200L);
    assertThat(group.generalIntervalMillis(1_000)).isEqualTo(1_000);
  }

  /** All instances derive the same division; each engine belongs to exactly one group. */
  @Property(tries = 200)
  void groupsDivideInstancesAndEngines(
      @ForAll @IntRange(min = 14, max = 120) int instances,
      @ForAll @IntRange(min = 0, max = 200) int engines) {
    List<Address> all = addresses(instances);
    Set<Set<Address>> groups = new HashSet<>();
    Map<Set<Address>, List<String>> owned = new HashMap<>();
    for (Address self : all) {
      LoadGroup group = new LoadGroup();
      group.update(self, LoadGroup.MIN_INSTANCES, all, Map.of("s", engines(engines)));
      Set<Address> members = new HashSet<>(group.members());
      members.add(self);
      groups.add(members);
      owned.put(members, engines(engines).stream().filter(group::hasEngine).toList());
    }

    assertThat(groups.stream().mapToInt(Set::size).sum()).isEqualTo(instances);
    assertThat(groups).allSatisfy(group -> assertThat(group).hasSizeBetween(6, 14));
    assertThat(owned.values().stream().flatMap(List::stream))
        .containsExactlyInAnyOrderElementsOf(engines(engines));
  }
}
