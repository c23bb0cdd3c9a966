package org.bulrushpier.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.bulrushpier.Address;
import org.bulrushpier.Finding;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class GatewaySettingsTest {

  private static final String REQUIRED =
      """
      [gateway]
      name = entry-1
      domain = norte
      caller-address = 10.0.0.1:1
      ready-address = 10.0.0.1:2
      metrics-address = 10.0.0.1:3
      platform-address = 10.0.0.9:4
      """;

  private final List<Finding> findings = new ArrayList<>();

  private GatewaySettings parse(String added) {
    return GatewaySettings.parse("test.ini", REQUIRED + added, findings);
  }

  @Test
  void seedsUseThePortOfTheFleetAddress() {
    GatewaySettings settings =
        parse("fleet-address = 10.0.0.1:7000\nseeds = 10.0.0.1:80,10.0.0.2:80\n");

    assertThat(findings).isEmpty();
    assertThat(settings.seeds())
        .containsExactly(new Address("10.0.0.1", 7_000), new Address("10.0.0.2", 7_000));
  }

  @Test
  void instanceWithoutFleetAddressOrSeedsIsValid() {
    assertThat(parse("seeds =\n").seeds()).isEmpty();
    assertThat(findings).isEmpty();
  }

  @Test
  void eachFaultIsReportedOnce() {
    parse("fleet-address = nowhere\nseeds = 10.0.0.2:80,elsewhere\n");

    assertThat(findings).hasSize(2);
  }

  @Test
  void partsWithoutSettingsAreOff() {
    GatewaySettings settings = parse("");

    assertThat(findings).isEmpty();
    assertThat(settings.evacuationMillis()).isZero();
    assertThat(settings.storeReaders()).isZero();
    assertThat(settings.isStartPaced()).isFalse();
    assertThat(settings.domainRegions()).isEmpty();
  }

  @Test
  void regionsOfDomainsAreRead() {
    GatewaySettings settings =
        parse("region = lima\ndomain-regions = norte:lima, sur:ica\nevacuation-ms = 5000\n");

    assertThat(findings).isEmpty();
    assertThat(settings.domainRegions())
        .containsExactlyInAnyOrderEntriesOf(Map.of("norte", "lima", "sur", "ica"));
    assertThat(settings.evacuationMillis()).isEqualTo(5_000);
  }

  @Test
  void unreadableRegionIsReported() {
    parse("domain-regions = norte:lima,sur\n");

    assertThat(findings).hasSize(1);
  }

  /** The keys whose values the platform takes from its figures. */
  static List<String> figures() {
    return List.of(
        "key-revocation-ms",
        "shutdown-seconds",
        "retry-ratio",
        "retry-minimum",
        "retry-window-seconds",
        "order-lease-ms",
        "weights-change-ms",
        "evacuation-ms",
        "cold-overage",
        "cold-slack",
        "store-readers");
  }

  /** Guards against a process that does not start because of how one figure is written. */
  @ParameterizedTest
  @MethodSource("figures")
  void anyFigureLetsTheProcessStart(String key) {
    List<String> values =
        List.of("8", "7.5", "8.0", "", "true", "false", "1e300", "1e18", "99999999999999999999");
    for (String value : values) {
      checkStarts(key, value);
    }
    for (String value : List.of("-1", "-0.5", "0", "NaN", "Infinity", "null", "[]", "{}", "8 s")) {
      checkStarts(key, value);
    }
  }

  private void checkStarts(String key, String value) {
    List<Finding> tolerated = new ArrayList<>();
    GatewaySettings settings =
        GatewaySettings.parse(
            "test.ini", REQUIRED + key + " = " + value + "\n", findings, tolerated);

    assertThat(findings).as("%s = %s", key, value).isEmpty();
    assertThat(tolerated).as("%s = %s", key, value).hasSizeLessThanOrEqualTo(1);
    assertThat(settings.shutdownMillis()).isPositive();
    assertThat(settings.keyRevocationMillis()).isPositive();
    assertThat(settings.retryWindowMillis()).isPositive();
    assertThat(settings.orderLeaseMillis()).isPositive();
    assertThat(settings.weightsChangeMillis()).isPositive();
    assertThat(settings.retryRatio()).isBetween(0.0, 1.0);
    assertThat(settings.evacuationMillis()).isNotNegative();
  }

  @Test
  void fractionsOfSecondsCount() {
    GatewaySettings settings = parse("shutdown-seconds = 7.5\nretry-window-seconds = 10.25\n");

    assertThat(findings).isEmpty();
    assertThat(settings.shutdownMillis()).isEqualTo(7_500);
    assertThat(settings.retryWindowMillis()).isEqualTo(10_250);
  }

  @Test
  void emptyValuesCountAsMissing() {
    GatewaySettings settings =
        parse("shutdown-seconds =\nregion =\ndomain-regions = norte:,sur:ica\nseeds =\n");

    assertThat(findings).isEmpty();
    assertThat(settings.shutdownMillis()).isEqualTo(8_000);
    assertThat(settings.region()).isEmpty();
    assertThat(settings.domainRegions()).containsExactlyEntriesOf(Map.of("sur", "ica"));
  }

  @Test
  void replacedFiguresAreReportedWithTheirLine() {
    List<Finding> tolerated = new ArrayList<>();
    GatewaySettings.parse(
        "test.ini", REQUIRED + "retry-ratio = 3\nshutdown-seconds = soon\n", findings, tolerated);

    assertThat(findings).isEmpty();
    assertThat(tolerated).extracting(Finding::line).containsExactlyInAnyOrder(8, 9);
  }

  /** Operators that ask for evacuations must get them, whatever the time that they name. */
  @Test
  void evacuationsWithoutUsableTimeAreOn() {
    assertThat(parse("evacuation-ms = true\n").evacuationMillis()).isPositive();
  }

  @Test
  void missingAddressIsNotTolerated() {
    List<Finding> tolerated = new ArrayList<>();
    GatewaySettings.parse(
        "test.ini", REQUIRED.replace("platform-address", "region"), findings, tolerated);

    assertThat(findings).hasSize(1);
    assertThat(tolerated).isEmpty();
  }
}
