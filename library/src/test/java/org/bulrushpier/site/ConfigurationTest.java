package org.bulrushpier.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.bulrushpier.Moment;
import org.junit.jupiter.api.Test;

class ConfigurationTest {

  private static ConfiguredRoute route(String name, String prefix) {
    return new ConfiguredRoute(
        name,
        "lima.example",
        prefix,
        RouteKind.IDEMPOTENT,
        false,
        800,
        100,
        0,
        2,
        List.of(new ConfiguredRoute.Backend("records", 90), new ConfiguredRoute.Backend("new", 10)),
        2,
        false,
        Homes.EVERYWHERE);
  }

  private static Configuration version(long version, String... keys) {
    Map<String, KeyHolder> holders = new java.util.HashMap<>();
    for (String key : keys) {
      holders.put(key, new KeyHolder("surco", 1, Homes.EVERYWHERE));
    }
    return Configuration.of(
        version,
        List.of(route("short", "/a/"), route("long", "/a/b/")),
        Map.of(),
        holders,
        CacheNamespaces.SHARED_BY_ALL,
        CallerLimits.DEFAULT);
  }

  @Test
  void longestPrefixOfTheHostWins() {
    Configuration configuration = version(1);

    assertThat(configuration.route("lima.example", "/a/b/c").orElseThrow().name())
        .isEqualTo("long");
    assertThat(configuration.route("lima.example", "/a/bc").orElseThrow().name())
        .isEqualTo("short");
    assertThat(configuration.route("lima.example", "/b/")).isEmpty();
    assertThat(configuration.route("centro.example", "/a/")).isEmpty();
  }

  @Test
  void backendsShareCallsByWeight() {
    ConfiguredRoute route = route("r", "/a/");

    assertThat(route.service(0)).isEqualTo("records");
    assertThat(route.service(0.89)).isEqualTo("records");
    assertThat(route.service(0.91)).isEqualTo("new");
    assertThat(route.service(0.999)).isEqualTo("new");
  }

  @Test
  void knownVersionNeverDecreases() {
    KnownConfiguration known = new KnownConfiguration();

    assertThat(known.accept(version(5, "k"), new Moment(100, 100))).isTrue();
    assertThat(known.accept(version(3), new Moment(200, 200))).isFalse();

    assertThat(known.configuration().orElseThrow().holder("k")).isPresent();
  }

  @Test
  void olderVersionDoesNotConfirmTheConfiguration() {
    KnownConfiguration known = new KnownConfiguration();
    known.accept(version(5), new Moment(100, 100));

    known.accept(version(3), new Moment(900, 900));

    assertThat(known.ageMillis(new Moment(1_000, 1_000))).isEqualTo(900);
  }

  @Test
  void ageCountsFromTheSendingOfTheConfirmingRequest() {
    KnownConfiguration known = new KnownConfiguration();
    assertThat(known.ageMillis(new Moment(0, 0))).isEqualTo(Long.MAX_VALUE);
    known.confirm(new Moment(50, 50));
    assertThat(known.configuration()).isEmpty();

    known.accept(version(1), new Moment(100, 100));
    known.confirm(new Moment(600, 600));
    known.confirm(new Moment(300, 300));

    assertThat(known.ageMillis(new Moment(1_000, 1_000))).isEqualTo(400);
  }
}
