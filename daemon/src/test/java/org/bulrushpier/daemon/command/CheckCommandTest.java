package org.bulrushpier.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class CheckCommandTest {

  private static final Path ETC =
      Path.of(System.getProperty("bulrushpier.root", ".."), "etc").normalize();

  private record CheckResult(int code, String out) {}

  private static CheckResult check(String... args) {
    PrintStream before = System.out;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    try {
      int code = new CommandLine(new CheckCommand()).execute(args);
      return new CheckResult(code, out.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(before);
    }
  }

  private static String file(String path, String name) {
    return path + "=" + ETC.resolve(name);
  }

  @Test
  void fiveFaultsAreNamedWithTheirLines() {
    CheckResult result = check(ETC.resolve("five-faults.ini").toString());
    assertThat(result.code()).isEqualTo(1);
    assertThat(result.out().lines())
        .hasSize(6)
        .anyMatch(line -> line.startsWith("site:4 [site] colour: is not a known key"))
        .anyMatch(line -> line.startsWith("site:10 [engine engine-1] address: "))
        .anyMatch(line -> line.startsWith("site:11 [engine engine-1] domain: no failure domain"))
        .anyMatch(line -> line.startsWith("site:18 [engine engine-2] prefill-tokens-per-second: "))
        .anyMatch(line -> line.startsWith("site:20: section header is not closed"))
        .anyMatch(line -> line.equals("5 findings"));
  }

  @Test
  void settingsOfLimaAndCentroHaveNoFindings() {
    CheckResult lima =
        check(
            file("site", "lima/site.ini"),
            file("site/inspections", "lima/inspections.ini"),
            file("site/reports", "lima/reports.ini"));
    assertThat(lima.out()).isEqualToIgnoringNewLines("0 findings");
    CheckResult centro =
        check(
            file("site", "centro/site.ini"),
            file("site/vans", "centro/vans.ini"),
            file("site/desks", "centro/desks.ini"));
    assertThat(centro.out()).isEqualToIgnoringNewLines("0 findings");
  }

  @Test
  void settingsOfEntriesHaveNoFindings() {
    for (int i = 1; i <= 4; i++) {
      CheckResult result =
          check(
              "--entry",
              ETC.resolve("lima/entry-" + i + ".ini").toString(),
              ETC.resolve("centro/entry-" + i + ".ini").toString());
      assertThat(result.code()).as(result.out()).isZero();
    }
  }

  @Test
  void differenceNamesRemovedAndAddedLines() {
    assertThat(LineDiff.of(java.util.List.of("a", "b", "c"), java.util.List.of("a", "x", "c", "d")))
        .containsExactly("-2 b", "+2 x", "+4 d");
  }
}
