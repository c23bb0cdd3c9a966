package org.bulrushpier.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.bulrushpier.Address;
import org.bulrushpier.Finding;
import org.junit.jupiter.api.Test;

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
}
