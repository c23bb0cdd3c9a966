package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.Address;
import org.bulrushpier.rig.gateway.CallerFake;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.site.Launcher;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a gateway whose process does not run for a while. */
class StalledGatewayIntegrationTest {

  private static final String NAME = "stalled-gateway";
  private static final int CONNECTIONS = 30;
  private static final int STREAMS = 10;
  private static final int EVENTS = 16;
  private static final int READ_TIMEOUT_MILLIS = 30_000;

  private final Launcher launcher = Launcher.fromSystemProperty();
  private final List<ReplicaFake> engines = new ArrayList<>();
  private MetadataStoreFake metadataStore;
  private Address callerAddress;

  @BeforeEach
  void start() throws Exception {
    metadataStore = MetadataStoreFake.start();
    metadataStore.put(
        "config", "main", CallerFake.configuration(1, Map.of("surco", "key"), 20_000, 15_000));
    metadataStore.requestWeights(1);
    for (int i = 0; i < 2; i++) {
      ReplicaFake engine = ReplicaFake.start("e" + i);
      engine.setPace(new ReplicaFake.Pace(0, 300, 0));
      engines.add(engine);
      metadataStore.register(engine, "engines");
    }
    String text =
        GatewaySite.settingsText("127.0.0.1", metadataStore.address(), "retry-minimum = 1000");
    GatewaySettings parsed = GatewaySite.parse(text);
    callerAddress = parsed.callerAddress();
    Path settings = launcher.directory().resolve(NAME + ".ini");
    Files.writeString(settings, text);
    launcher.start(NAME, "org.bulrushpier.daemon.Main gateway --settings " + settings);
    GatewaySite.await(() -> isReady(parsed.readyAddress()));
  }

  @AfterEach
  void stop() throws Exception {
    launcher.signal(NAME, "KILL");
    for (ReplicaFake engine : engines) {
      engine.close();
    }
    metadataStore.close();
  }

  private static boolean isReady(Address readyAddress) {
    try (CallerFake caller = CallerFake.open(readyAddress, 500)) {
      return caller.isReady();
    } catch (IOException e) {
      return false;
    }
  }

  private CallerFake.Answer stream(String id, int session, int events) {
    try (CallerFake caller = CallerFake.open(callerAddress, READ_TIMEOUT_MILLIS)) {
      return caller.send(
          new CallerFake.Call(id, CallerFake.Route.STREAM, "key", session, events, 15_000));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private List<CompletableFuture<CallerFake.Answer>> streams(String name, int count, int events) {
    List<CompletableFuture<CallerFake.Answer>> streams = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int session = i;
      streams.add(
          CompletableFuture.supplyAsync(
              () -> stream(name + session, session, events), Thread::startVirtualThread));
    }
    return streams;
  }

  private static void assertWhole(List<CompletableFuture<CallerFake.Answer>> streams, int events)
      throws Exception {
    for (CompletableFuture<CallerFake.Answer> stream : streams) {
      CallerFake.Answer answer = stream.get(30, TimeUnit.SECONDS);
      assertThat(answer.isWhole()).isTrue();
      assertThat(answer.streamError(events)).isEmpty();
    }
  }

  private int executed() {
    return engines.stream().mapToInt(engine -> engine.executions().size()).sum();
  }

  /** Idle connections to the engines are left over, on which a further attempt is sent at once. */
  @Test
  void streamsAreNotSentToOtherEnginesBecauseTheGatewayItselfStalled() throws Exception {
    assertWhole(streams("before", CONNECTIONS, 2), 2);
    int executedBefore = executed();
    final List<CompletableFuture<CallerFake.Answer>> streams = streams("id", STREAMS, EVENTS);
    GatewaySite.await(() -> executed() == executedBefore + STREAMS);
    Thread.sleep(600);

    launcher.signal(NAME, "STOP");
    Thread.sleep(2_000);
    launcher.signal(NAME, "CONT");

    assertWhole(streams, EVENTS);
    assertThat(executed()).isEqualTo(executedBefore + STREAMS);
  }
}
