package org.bulrushpier.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.bulrushpier.Finding;
import org.junit.jupiter.api.Test;

class SettingsTreeTest {

  private static final String KEY = "0".repeat(64);
  private static final String OTHER_KEY = "1".repeat(64);
  private static final String SITE =
      """
      [site]
      name = test
      [domain zone]
      region = home
      [engine e1]
      address = 127.0.0.1:9101
      domain = zone
      model = m
      [service s1]
      address = 127.0.0.1:9301
      domain = zone
      service = records
      [team parks]
      operator-key-sha256 = %s
      rate-limit = 50
      """
          .formatted(KEY);

  private static SettingsTree tree(String path, long version, String text) {
    return SettingsTree.empty()
        .with(List.of(new Subtree("site", 1, SITE), new Subtree(path, version, text)));
  }

  private static List<String> findings(String text) {
    return tree("site/parks", 2, text).settings().findings().stream()
        .map(Finding::toString)
        .toList();
  }

  @Test
  void validTreeHasNoFindings() {
    String text =
        """
        [customer surco]
        key-sha256 = %s
        rate-limit = 50
        [deployment d]
        model = m
        weight-version = 7
        [operation log]
        service = records
        method = POST
        path = /defects
        """
            .formatted(OTHER_KEY);
    assertThat(findings(text)).isEmpty();
    Settings settings = tree("site/parks", 2, text).settings();
    assertThat(settings.customerByKeyHash(OTHER_KEY)).isPresent();
    assertThat(
            settings.contract(settings.customers().get(OTHER_KEY), "records", "POST", "/defects"))
        .isPresent();
  }

  @Test
  void everyErrorIsReportedWithItsLine() {
    String text =
        """
        [customer surco]
        key-sha256 = %s
        rate-limit = 51
        colour = red
        [deployment d]
        model = unknown
        weight-version
        [operation log]
        service = records
        method = SEND
        path = /x
        """
            .formatted(OTHER_KEY);
    assertThat(findings(text))
        .hasSize(6)
        .anyMatch(f -> f.startsWith("site/parks:3 [customer surco] rate-limit: 51 exceeds"))
        .anyMatch(f -> f.startsWith("site/parks:4 [customer surco] colour: is not a known key"))
        .anyMatch(f -> f.startsWith("site/parks:6 [deployment d] model: no engine"))
        .anyMatch(f -> f.startsWith("site/parks:7 [deployment d]: not 'key = value'"))
        .anyMatch(f -> f.startsWith("site/parks:5 [deployment d] weight-version: is missing"))
        .anyMatch(f -> f.startsWith("site/parks:10 [operation log] method: 'SEND'"));
  }

  @Test
  void upstreamsAreAllowedOnlyInTheRoot() {
    assertThat(findings("[store s]\naddress = 127.0.0.1:1\ndomain = zone\n"))
        .singleElement()
        .asString()
        .contains("only in the root");
  }

  @Test
  void keySharedByTwoCustomersAuthenticatesNeither() {
    String customer = "[customer %s]\nkey-sha256 = " + OTHER_KEY + "\n";
    SettingsTree tree = tree("site/parks", 2, customer.formatted("a") + customer.formatted("b"));
    assertThat(tree.settings().findings()).hasSize(1);
    assertThat(tree.settings().customerByKeyHash(OTHER_KEY)).isEmpty();
  }

  @Test
  void subtreeWithoutTeamInTheParentIsReported() {
    assertThat(tree("site/strangers", 2, "").settings().findings()).hasSize(1);
  }

  @Test
  void olderVersionIsIgnored() {
    SettingsTree tree = tree("site/parks", 5, "");
    SettingsTree same = tree.with(List.of(new Subtree("site/parks", 4, "[x]")));
    assertThat(same).isSameAs(tree);
    assertThat(same.versions()).containsEntry("site/parks", 5L);
  }

  @Test
  void digestDiffersWithVersions() {
    assertThat(tree("site/parks", 2, "").digest()).isNotEqualTo(tree("site/parks", 3, "").digest());
  }

  @Property(tries = 500)
  void malformedTextNeverThrows(@ForAll @StringLength(max = 200) String malformed) {
    assertThatCode(() -> tree("site/parks", 2, malformed)).doesNotThrowAnyException();
    assertThatCode(() -> tree("site/parks", 2, "[customer a]\n" + malformed))
        .doesNotThrowAnyException();
  }
}
