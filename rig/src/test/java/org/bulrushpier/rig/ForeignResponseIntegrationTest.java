package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.bulrushpier.Finding;
import org.bulrushpier.daemon.serve.Gateway;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.Execution;
import org.bulrushpier.rig.gateway.ReplicaFake.Pace;
import org.bulrushpier.rig.gateway.ReplicaFake.RawResponse;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the gateway against replicas whose responses belong to no request or cannot be true. */
class ForeignResponseIntegrationTest {

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
        {"name":"once","host":"127.0.0.1","path_prefix":"/once/","kind":"non_idempotent",
         "timeout_ms":20000,"goal_ms":5000,"service":"plain","max_attempts":2},
        {"name":"safe","host":"127.0.0.1","path_prefix":"/safe/","kind":"safe",
         "timeout_ms":20000,"goal_ms":5000,"service":"plain","max_attempts":2},
        {"name":"stream","host":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":2,"can_resume":true},
        {"name":"note","host":"127.0.0.1","path_prefix":"/note/","kind":"streaming",
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":1}],
       "services":[{"name":"plain","max_conns":50},
        {"name":"engines","max_conns":50,"engine":{"slots":6,"kv_capacity":50000,"kv_bytes":1000,
         "link_mbps":1000.0,"models":[{"name":"m0"}]}}],
       "limits":{},"tenants":[{"name":"surco","api_keys":["key"],"priority":1}]}
      """;

  private static final String STALE_REFUSAL =
      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<ReplicaFake> calls = new ArrayList<>();
  private final List<ReplicaFake> engines = new ArrayList<>();
  private MetadataStoreFake metadataStore;
  private GatewaySettings settings;
  private Gateway gateway;
  private int lastId;

  @BeforeEach
  void start() throws Exception {
    metadataStore = MetadataStoreFake.start();
    metadataStore.put("config", "main", CONFIGURATION);
    for (int i = 0; i < 2; i++) {
      register("p" + i, "plain", calls);
      register("e" + i, "engines", engines);
    }
    String text =
        """
        [gateway]
        name = entry-1
        domain = norte
        caller-address = %s
        ready-address = %s
        metrics-address = %s
        platform-address = %s
        retry-minimum = 80
        order-lease-ms = 300
        """
            .formatted(
                FreePorts.next("127.0.0.1"),
                FreePorts.next("127.0.0.1"),
                FreePorts.next("127.0.0.1"),
                metadataStore.address());
    List<Finding> findings = new ArrayList<>();
    settings = GatewaySettings.parse("test.ini", text, findings);
    assertThat(findings).isEmpty();
    gateway = Gateway.start(settings);
    GatewaySite.await(this::isReady);
  }

  private void register(String id, String service, List<ReplicaFake> replicas) throws IOException {
    ReplicaFake replica = ReplicaFake.start(id);
    replicas.add(replica);
    metadataStore.put("servers", id, replica.entry(service, "ready"));
  }

  private boolean isReady() {
    URI uri = URI.create("http://" + settings.readyAddress() + "/ready");
    try {
      return send(HttpRequest.newBuilder(uri)).statusCode() == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterEach
  void stop() throws IOException {
    gateway.stop();
    for (ReplicaFake replica : calls) {
      replica.close();
    }
    for (ReplicaFake replica : engines) {
      replica.close();
    }
    metadataStore.close();
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + settings.callerAddress() + path))
        .timeout(Duration.ofSeconds(60))
        .header("Attempt-Id", "id" + ++lastId)
        .header("Deadline-Ms", "20000")
        .header("Authorization", "Bearer key");
  }

  private HttpResponse<String> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> sendOnce() throws Exception {
    return send(request("/once/a").POST(HttpRequest.BodyPublishers.ofString("defect")));
  }

  /** Opens a connection to each replica of the plain service, which is kept afterwards. */
  private void openConnections() throws Exception {
    calls.forEach(replica -> replica.setPace(new Pace(500, 0, 0)));
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < calls.size(); i++) {
      responses.add(
          client.sendAsync(request("/safe/a").build(), HttpResponse.BodyHandlers.ofString()));
    }
    for (CompletableFuture<HttpResponse<String>> response : responses) {
      assertThat(response.get().statusCode()).isEqualTo(200);
    }
    assertThat(calls).allMatch(replica -> replica.executions().size() == 1);
    calls.forEach(replica -> replica.setPace(new Pace(0, 0, 0)));
  }

  private int executed(List<ReplicaFake> replicas) {
    return replicas.stream().mapToInt(replica -> replica.executions().size()).sum();
  }

  private static void script(List<ReplicaFake> replicas, Function<Execution, RawResponse> script) {
    replicas.forEach(
        replica -> replica.setScript(execution -> Optional.ofNullable(script.apply(execution))));
  }

  private static String sealed(Execution execution, int status) {
    return "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\n"
        .formatted(status, execution.requestId(), execution.replica());
  }

  private static String sealed(Execution execution, int status, String body) {
    return sealed(execution, status) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  @Test
  void refusalWithoutIdOnKeptConnectionIsNotTakenForTheResponse() throws Exception {
    openConnections();
    final int before = executed(calls);
    script(
        calls, execution -> new RawResponse(STALE_REFUSAL + sealed(execution, 200, "done"), false));

    for (int i = 0; i < 6; i++) {
      HttpResponse<String> response = sendOnce();
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("done");
    }

    assertThat(executed(calls)).isEqualTo(before + 6);
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 404, 500})
  void responseWithoutIdOnKeptConnectionIsNotForwarded(int status) throws Exception {
    openConnections();
    script(
        calls,
        execution ->
            new RawResponse(
                "HTTP/1.1 "
                    + status
                    + " X\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nother"
                    + sealed(execution, 200, "done"),
                false));

    HttpResponse<String> response = sendOnce();

    assertThat(response.body()).isEqualTo("done");
  }

  @Test
  void refusalWithoutIdOnNewConnectionIsBelieved() throws Exception {
    AtomicInteger refused = new AtomicInteger();
    script(
        calls,
        execution -> refused.getAndIncrement() == 0 ? new RawResponse(STALE_REFUSAL, false) : null);

    assertThat(sendOnce().statusCode()).isEqualTo(200);
  }
}
