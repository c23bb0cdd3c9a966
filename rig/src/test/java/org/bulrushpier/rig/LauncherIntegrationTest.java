package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.bulrushpier.Address;
import org.bulrushpier.rig.site.Launcher;
import org.junit.jupiter.api.Test;

/** Tests the order in which the launcher handles starts and signals. */
class LauncherIntegrationTest {

  private static final int ORDERS = 100;

  private final Launcher launcher = Launcher.fromSystemProperty();

  /** A launcher that is behind handles the signal after the next start was ordered. */
  @Test
  void signalBeforeStartReachesTheEarlierProcess() throws Exception {
    Address store = FreePorts.next("127.0.0.1");
    Path settings = launcher.directory().resolve("restarted.ini");
    Files.writeString(settings, GatewaySite.settingsText("127.0.0.1", store));
    String command = "org.bulrushpier.daemon.Main gateway --settings " + settings;
    launcher.start("restarted", command);
    ProcessHandle earlier = process();

    for (int i = 0; i < ORDERS; i++) {
      launcher.signal("restarted", "CONT");
    }
    launcher.signal("restarted", "KILL");
    launcher.start("restarted", command);

    try {
      GatewaySite.await(() -> !earlier.isAlive());
      assertThat(process().pid()).isNotEqualTo(earlier.pid());
    } finally {
      earlier.destroyForcibly();
      launcher.signal("restarted", "KILL");
    }
  }

  private ProcessHandle process() throws Exception {
    String pid = Files.readString(launcher.directory().resolve("restarted.pid"));
    return ProcessHandle.of(Long.parseLong(pid.strip())).orElseThrow();
  }
}
