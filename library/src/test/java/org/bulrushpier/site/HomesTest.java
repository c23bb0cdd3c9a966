package org.bulrushpier.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class HomesTest {

  @Test
  void emptyListAllowsEveryRegionAlsoAnUnknownOne() {
    assertThat(Homes.of(Set.of())).isEqualTo(Homes.EVERYWHERE);
    assertThat(Homes.EVERYWHERE.allows(Optional.of("lima"))).isTrue();
    assertThat(Homes.EVERYWHERE.allows(Optional.empty())).isTrue();
  }

  @Test
  void unknownRegionIsNoHome() {
    assertThat(Homes.of(Set.of("lima")).allows(Optional.empty())).isFalse();
  }

  @Test
  void homesWithoutCommonRegionAllowNone() {
    Homes homes = Homes.of(Set.of("lima")).and(Homes.of(Set.of("cusco")));

    assertThat(homes.isEverywhere()).isFalse();
    assertThat(homes.allows(Optional.of("lima"))).isFalse();
    assertThat(homes.allows(Optional.of("cusco"))).isFalse();
    assertThat(homes.and(Homes.EVERYWHERE)).isEqualTo(homes);
  }

  @Property
  void bothHomesBind(
      @ForAll Set<@StringLength(1) @CharRange(from = 'a', to = 'e') String> first,
      @ForAll Set<@StringLength(1) @CharRange(from = 'a', to = 'e') String> second,
      @ForAll @StringLength(1) @CharRange(from = 'a', to = 'e') String region) {
    Homes route = Homes.of(first);
    Homes customer = Homes.of(second);

    assertThat(route.and(customer).allows(Optional.of(region)))
        .isEqualTo(route.allows(Optional.of(region)) && customer.allows(Optional.of(region)));
    assertThat(route.and(customer)).isEqualTo(customer.and(route));
  }
}
