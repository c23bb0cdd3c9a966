package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.bulrushpier.rig.site.Launcher;
import org.bulrushpier.rig.soak.Soak;
import org.junit.jupiter.api.Test;

/**
 * A short soak of the gateway with a fixed seed. It guards against faults that need several faults
 * at once, such as a restart while engines do not carry out the change to a requested version: an
 * instance that starts then may use outdated engines as if the version had just been requested.
 */
class SoakIntegrationTest {

  private static final long SEED = 1;
  private static final int SECONDS = 75;

  @Test
  void promisesHoldUnderFaults() throws IOException {
    Launcher launcher = Launcher.fromSystemProperty();

    Soak.Result result = Soak.run(launcher, SEED, SECONDS);

    if (!result.violations().isEmpty()) {
      keepLogs(launcher.directory());
    }
    assertThat(result.violations()).isEmpty();
    assertThat(result.versions()).isGreaterThan(10);
    assertThat(result.statuses().get(200)).isGreaterThan(500);
    assertThat(result.outdatedStarts()).isPositive();
    assertThat(result.answersAfterTermination()).isPositive();
  }

  /** Copies the logs, as the launcher's directory is deleted after the tests. */
  private static void keepLogs(Path directory) throws IOException {
    Path target = Files.createDirectories(Path.of("target", "soak-" + SEED));
    try (DirectoryStream<Path> files =
        Files.newDirectoryStream(directory, "{soak,gateway-*}.log")) {
      for (Path file : files) {
        Files.copy(file, target.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }
}
