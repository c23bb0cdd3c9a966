package org.bulrushpier.daemon.serve;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.Finding;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against settings that a running process rejects without a trace and cannot start with. */
class SettingsFileTest {

  private static final String SOUND =
      """
      [gateway]
      name = entry
      domain = norte
      caller-address = 127.0.0.1:1
      ready-address = 127.0.0.1:2
      metrics-address = 127.0.0.1:3
      platform-address = 127.0.0.1:4
      shutdown-seconds = 8
      """;

  @TempDir private Path directory;
  private Path path;
  private SettingsFile file;

  @BeforeEach
  void open() throws IOException {
    path = directory.resolve("settings.ini");
    Files.writeString(path, SOUND);
    file = SettingsFile.open(path);
    List<Finding> findings = new ArrayList<>();
    file.parse(findings);
    assertThat(findings).isEmpty();
  }

  @Test
  void soundFileHasNoFindings() {
    assertThat(file.status()).isEqualTo(GatewayStatus.SettingsStatus.SOUND);
  }

  @Test
  void fractionIsTakenByRunningProcess() throws IOException {
    Files.writeString(path, SOUND.replace("= 8\n", "= 7.5\n"));

    GatewaySettings newer = file.reread();

    assertThat(newer.shutdownMillis()).isEqualTo(7_500);
    assertThat(file.status()).isEqualTo(GatewayStatus.SettingsStatus.SOUND);
  }

  @Test
  void replacedFigureIsTold() throws IOException {
    Files.writeString(path, SOUND.replace("= 8\n", "= soon\n"));

    assertThat(file.reread()).isNotNull();

    assertThat(file.status().isRejected()).isFalse();
    assertThat(file.status().findings()).hasSize(1);
  }

  @Test
  void rejectedFileIsToldUntilItIsMended() throws IOException {
    Files.writeString(path, SOUND.replace("127.0.0.1:4", "nowhere"));
    assertThat(file.reread()).isNull();
    assertThat(file.status().isRejected()).isTrue();

    Files.writeString(path, SOUND);
    assertThat(file.reread()).isNotNull();
    assertThat(file.status().isRejected()).isFalse();
  }

  @Test
  void missingFileIsToldUntilItIsBack() throws IOException {
    Files.delete(path);
    assertThat(file.reread()).isNull();
    assertThat(file.status().isRejected()).isTrue();

    Files.writeString(path, SOUND);
    assertThat(file.reread()).isNotNull();
    assertThat(file.status().isRejected()).isFalse();
  }
}
