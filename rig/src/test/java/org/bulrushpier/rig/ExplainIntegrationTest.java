package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.bulrushpier.Codec;
import org.bulrushpier.rig.GatewaySite.Instance;
import org.bulrushpier.rig.site.Launcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that the command explain tells where a request goes, and that it sends nothing. */
class ExplainIntegrationTest {

  private static final String KEY = "key";
  private static final String PARTS = "a1:80,b2:20";

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
  private String explain(String... options) throws Exception {
    String name = "explain-" + ++commands;
    launcher.start(
        name,
        "org.bulrushpier.daemon.Main explain --gateway %s %s"
            .formatted(instance.metricsAddress(), String.join(" ", options)));
    GatewaySite.await(() -> !launcher.isAlive(name));
    String printed = Files.readString(launcher.directory().resolve(name + ".log"));
    assertThat(printed).doesNotContain("Bearer");
    return printed;
  }

  private Path file(String key, String model) throws Exception {
    Path file = launcher.directory().resolve("request-" + commands + ".txt");
    Files.writeString(
        file,
        """
        POST /stream/a HTTP/1.1
        Host: 127.0.0.1
        Authorization: Bearer %s
        Deadline-Ms: 20000
        Model: %s
        Token-Usage: 100,12
        Prefix-Hash: %s
        """
            .formatted(key, model, PARTS));
    return file;
  }

  @Test
  void requestGoesWhereTheCommandTells() throws Exception {
    instance.generate(PARTS).get().body().readAllBytes();
    final double placed = instance.metric("bulrushpier_prompt_shared_read_total");
    JsonNode told =
        Codec.json().readTree(explain("--json", "--file", file(KEY, "m0").toString()).getBytes());

    assertThat(site.executed()).isEqualTo(1);
    assertThat(instance.metric("bulrushpier_prompt_shared_read_total")).isEqualTo(placed);
    assertThat(told.path("route").asText()).isEqualTo("stream1");
    assertThat(told.path("customer").asText()).isEqualTo("surco");
    JsonNode target = told.path("services").path(0);
    assertThat(target.path("choice").asText()).isEqualTo("send");
    assertThat(target.path("candidates")).hasSize(4);
    JsonNode best = target.path("candidates").path(0);
    assertThat(best.path("replica")).isEqualTo(target.path("replica"));
    assertThat(best.path("prediction").path("cachedTokens").asInt()).isPositive();

    instance.generate(PARTS).get().body().readAllBytes();
    assertThat(site.engines())
        .filteredOn(engine -> engine.id().equals(target.path("replica").asText()))
        .allSatisfy(engine -> assertThat(engine.executions()).hasSize(2));
  }

  @Test
  void evacuatedReplicasAreNamedWithTheReason() throws Exception {
    site.metadataStore().put("evacuations", "centro", "{}");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 1);

    String printed = explain("--file", file(KEY, "m0").toString());

    assertThat(printed.lines().filter(line -> line.contains("in an evacuated failure domain")))
        .hasSize(2)
        .allMatch(line -> line.contains(" in centro, out: "));
    assertThat(printed).contains("sent to e").contains("evacuated domains: [centro]");
  }

  @Test
  void unknownKeyIsRefusedAndNotPrinted() throws Exception {
    String printed = explain("--file", file("wrong-secret", "m0").toString());

    assertThat(printed).contains("refused: the key is unknown").doesNotContain("wrong-secret");
    assertThat(printed).doesNotContain("service engines");
  }

  @Test
  void malformedRequestIsAnError() throws Exception {
    Path file = launcher.directory().resolve("malformed.txt");
    Files.writeString(file, "POST\nAuthorization: Bearer secret-key\n");

    assertThat(explain("--file", file.toString()))
        .contains("bad-request: the head of the request is malformed")
        .doesNotContain("secret-key");
    assertThat(explain("--target /elsewhere", "--header Host:127.0.0.1"))
        .contains("refused: no route for host '127.0.0.1' and this path");
    assertThat(site.executed()).isZero();
  }
}
