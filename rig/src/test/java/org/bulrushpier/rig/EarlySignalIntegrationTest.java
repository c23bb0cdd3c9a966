package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.bulrushpier.Address;
import org.bulrushpier.rig.site.Launcher;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that SIGHUP ends while it is starting. */
class EarlySignalIntegrationTest {

  private static final String NAME = "early-signal";

  /** A library that is opened by the first thing that a process does after it took signals over. */
  private static final String FIRST_LIBRARY = "logback-classic";

  private final Launcher launcher = Launcher.fromSystemProperty();

  @Test
  void gatewayThatIsStartingTakesHangups() throws Exception {
    Address store = FreePorts.next("127.0.0.1");
    String text = GatewaySite.settingsText("127.0.0.1", store);
    Path file = launcher.directory().resolve(NAME + ".ini");
    Files.writeString(file, text);
    GatewaySettings settings = GatewaySite.parse(text);
    launcher.start(NAME, "org.bulrushpier.daemon.Main gateway --settings " + file);
    ProcessHandle process = process();
    try {
      GatewaySite.await(() -> hasBegun(process));
      for (int i = 0; i < 3; i++) {
        launcher.signal(NAME, "HUP");
      }

      GatewaySite.await(() -> !process.isAlive() || isListening(settings.readyAddress()));

      assertThat(process.isAlive()).isTrue();
    } finally {
      launcher.signal(NAME, "KILL");
    }
  }

  private ProcessHandle process() throws Exception {
    Path pid = launcher.directory().resolve(NAME + ".pid");
    GatewaySite.await(() -> Files.exists(pid));
    return ProcessHandle.of(Long.parseLong(Files.readString(pid).strip())).orElseThrow();
  }

  private static boolean hasBegun(ProcessHandle process) {
    try (Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return files.anyMatch(EarlySignalIntegrationTest::isFirstLibrary);
    } catch (IOException e) {
      return !process.isAlive();
    }
  }

  private static boolean isFirstLibrary(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString().contains(FIRST_LIBRARY);
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean isListening(Address address) {
    try (Socket socket = new Socket(address.host(), address.port())) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }
}
