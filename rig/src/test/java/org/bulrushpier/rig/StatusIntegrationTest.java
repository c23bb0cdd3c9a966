package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.stream.StreamSupport;
import org.bulrushpier.Address;
import org.bulrushpier.Codec;
import org.bulrushpier.rig.GatewaySite.Instance;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.site.Launcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that the command status tells how a gateway sees a failure domain that is emptied and comes
 * back cold.
 */
class StatusIntegrationTest {

  private static final int PER_SECOND = 4;
  private static final long COLD_MILLIS = 60_000;

  private final Launcher launcher = Launcher.fromSystemProperty();
  private GatewaySite site;
  private Instance instance;
  private int commands;

  @BeforeEach
  void start() throws Exception {
    site =
        GatewaySite.startInDomains(
            List.of("norte", "centro", "norte", "centro"), "evacuation-ms = 3000");
    instance = site.startInstances(1).getFirst();
  }

  @AfterEach
  void stop() throws Exception {
    site.close();
  }

  /** Runs the command in a process of its own and returns what it has printed. */
  private String status(String... options) throws Exception {
    String name = "status-" + ++commands;
    launcher.start(
        name,
        "org.bulrushpier.daemon.Main status --gateway %s %s"
            .formatted(instance.metricsAddress(), String.join(" ", options)));
    GatewaySite.await(() -> !launcher.isAlive(name));
    String printed = Files.readString(launcher.directory().resolve(name + ".log"));
    assertThat(printed).doesNotContain("Bearer").doesNotContain("surco");
    return printed;
  }

  private JsonNode json() throws Exception {
    return Codec.json().readTree(status("--json").getBytes(StandardCharsets.UTF_8));
  }

  private static JsonNode replica(JsonNode status, ReplicaFake engine) {
    return StreamSupport.stream(status.path("replicas").path("all").spliterator(), false)
        .filter(replica -> replica.path("id").asText().equals(engine.id()))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void domainIsEvacuatedAndComesBackCold() throws Exception {
    assertThat(status())
        .contains("in norte: ready")
        .contains("configuration: version 1, confirmed ")
        .contains("requested weights: m0 version 1")
        .contains("evacuated domains: none, confirmed ")
        .contains("replicas: as registered, confirmed ")
        .contains("engines e1 in centro: in use");

    site.metadataStore().put("evacuations", "centro", "{}");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 1);

    String evacuated = status();
    assertThat(evacuated)
        .containsPattern(
            "evacuated domains: centro \\(revision \\d+, 0 requests of this instance still run"
                + " there\\), confirmed \\d+ ms ago");
    assertThat(evacuated.lines().filter(line -> line.contains("in an evacuated failure domain")))
        .hasSize(2)
        .allMatch(line -> line.contains(" in centro: out: "));

    site.configureColdEngines(PER_SECOND);
    ReplicaFake restarted = site.engines().get(1);
    site.registerCold(restarted, COLD_MILLIS);
    GatewaySite.await(() -> instance.metric("bulrushpier_replicas_cold") == 1);
    site.metadataStore().remove("evacuations", "centro");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 0);

    JsonNode back = json();
    assertThat(back.path("unready")).isEmpty();
    assertThat(back.path("configuration").path("version").asInt()).isEqualTo(2);
    assertThat(back.path("evacuations").path("isKnown").asBoolean()).isTrue();
    assertThat(back.path("evacuations").path("domains")).isEmpty();
    JsonNode cold = replica(back, restarted);
    assertThat(cold.path("coldMillis").asLong()).isBetween(1L, COLD_MILLIS);
    assertThat(cold.path("share").asInt()).isBetween(0, PER_SECOND);
    JsonNode warm = replica(back, site.engines().get(3));
    assertThat(warm.path("exclusion").asText()).isEmpty();
    assertThat(warm.path("coldMillis").asLong()).isZero();
    assertThat(status()).containsPattern("engines e1 in centro: .*cold for \\d+ ms, ");
  }

  private String failingStatus(Address address) throws Exception {
    String name = "failing-" + ++commands;
    launcher.start(name, "org.bulrushpier.daemon.Main status --gateway " + address);
    GatewaySite.await(() -> !launcher.isAlive(name));
    return Files.readString(launcher.directory().resolve(name + ".log"));
  }

  @Test
  void gatewayThatDoesNotAnswerIsAnError() throws Exception {
    assertThat(failingStatus(FreePorts.next("127.0.0.1"))).contains("unreachable: ");
  }

  /** Gateways of earlier releases answer any path with their metrics. */
  @Test
  void gatewayWithoutStatusIsAnError() throws Exception {
    HttpServer earlier =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
    earlier.createContext(
        "/",
        exchange -> {
          byte[] body = "bulrushpier_domains_evacuated 0\n".getBytes(StandardCharsets.UTF_8);
          exchange.getResponseHeaders().add("Content-Type", "text/plain; version=0.0.4");
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    earlier.start();
    Address address = new Address("127.0.0.1", earlier.getAddress().getPort());

    assertThat(failingStatus(address))
        .contains("bad-request: no status of a gateway at " + address + " (response status 200)");

    earlier.stop(0);
  }
}
