package org.bulrushpier.rig.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.rig.gateway.ReplicaFake.OrderBehaviour;
import org.bulrushpier.rig.site.Launcher;
import org.bulrushpier.rig.soak.Schedule.Entry;
import org.junit.jupiter.api.Test;

/**
 * Short soaks of the gateway. They guard against faults that need several troubles at once and real
 * processes, such as a restart while engines do not carry out the change to a requested version.
 */
class SoakIntegrationTest {

  private static final long SEED = 1;
  private static final int SECONDS = 60;

  @Test
  void promisesHoldUnderDrawnFaults() throws IOException {
    Launcher launcher = Launcher.fromSystemProperty();

    Soak.Result result = Soak.run(launcher, SEED, SECONDS);

    assertNoViolation(result, launcher);
    assertThat(result.versions()).isGreaterThan(10);
    assertThat(result.counts().get("answered200")).isGreaterThan(500);
    assertThat(result.counts()).containsKeys("outdated", "answersAfterTermination");
  }

  /**
   * No engine changes its weights for a while after a version was requested. An instance that
   * starts then, that was stopped by a signal or that was cut off from the metadata store when the
   * version was requested may not treat the version as if it had been requested when the instance
   * learned of it. The fourth instance has no trouble.
   */
  @Test
  void instancesThatLearnOfVersionLateKnowItsAge() throws IOException {
    List<Entry> entries = new ArrayList<>();
    for (int engine = 0; engine < SoakSite.ENGINES; engine++) {
      entries.add(
          new Entry(1_000, new Fault.WithholdOrders(engine, OrderBehaviour.UNANSWERED, 13_000)));
    }
    Fault.LinkFault silence = new Fault.LinkFault(true, true, false);
    entries.add(new Entry(1_000, new Fault.Pause(1, 4_500)));
    entries.add(new Entry(1_000, new Fault.ImpairLink(2, silence, 4_500)));
    entries.add(new Entry(1_500, new Fault.RequestVersion()));
    entries.add(new Entry(4_500, new Fault.Restart(0, "KILL", 0)));
    Launcher launcher = Launcher.fromSystemProperty();

    Soak.Result result = Soak.play(launcher, SEED, new Schedule(entries));

    assertNoViolation(result, launcher);
  }

  /** Checks for violations; the logs are copied, as the launcher's directory is deleted later. */
  private static void assertNoViolation(Soak.Result result, Launcher launcher) throws IOException {
    if (!result.violations().isEmpty()) {
      Path target = Files.createDirectories(Path.of("target", "soak-" + System.nanoTime()));
      try (DirectoryStream<Path> files =
          Files.newDirectoryStream(launcher.directory(), "{soak,gateway-*}.log")) {
        for (Path file : files) {
          Files.copy(file, target.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
        }
      }
    }
    assertThat(result.shortened(5).violations()).isEmpty();
  }
}
