package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bulrushpier.rig.GatewaySite.await;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.daemon.serve.Gateway;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.Behaviour;
import org.bulrushpier.rig.gateway.ReplicaFake.Execution;
import org.bulrushpier.rig.gateway.ReplicaFake.RawResponse;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a replica gets no requests after it has said that it wants none. */
class ReplicaWishesIntegrationTest {

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
        {"name":"safe","host":"127.0.0.1","path_prefix":"/safe/","kind":"safe",
         "timeout_ms":12000,"goal_ms":300,"service":"plain","max_attempts":2,"public":true},
        {"name":"stream","host":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
         "timeout_ms":12000,"goal_ms":300,"service":"engines","max_attempts":2,"can_resume":true,
         "public":true}],
       "services":[{"name":"plain","max_conns":50},
        {"name":"engines","max_conns":50,"engine":{"slots":6,"kv_capacity":50000,"kv_bytes":1000,
         "link_mbps":1000.0,"models":[{"name":"m0"}]}}],
       "limits":{},"tenants":[]}
      """;

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<ReplicaFake> replicas = new ArrayList<>();
  private MetadataStoreFake metadataStore;
  private GatewaySettings settings;
  private Gateway gateway;
  private int requests;

  @BeforeEach
  void start() throws Exception {
    metadataStore = MetadataStoreFake.start();
    metadataStore.put("config", "main", CONFIGURATION);
    metadataStore.requestWeights(1);
    settings =
        GatewaySite.parse(
            GatewaySite.settingsText("127.0.0.1", metadataStore.address(), "retry-minimum = 4000"));
    gateway = Gateway.start(settings);
  }

  @AfterEach
  void stop() throws Exception {
    gateway.stop();
    for (ReplicaFake replica : replicas) {
      replica.close();
    }
    metadataStore.close();
  }

  private ReplicaFake register(String path, String id) throws Exception {
    ReplicaFake replica = ReplicaFake.start(id);
    replicas.add(replica);
    metadataStore.register(replica, service(path));
    return replica;
  }

  private static String service(String path) {
    return path.startsWith("/stream") ? "engines" : "plain";
  }

  private HttpResponse<String> send(String path) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + settings.callerAddress() + path))
            .timeout(Duration.ofSeconds(30))
            .header("Attempt-Id", "id" + requests++)
            .header("Deadline-Ms", "9000")
            .POST(HttpRequest.BodyPublishers.ofString("body"));
    if (path.startsWith("/stream")) {
      request
          .header("Model", "m0")
          .header("Token-Usage", "100," + ReplicaFake.EVENTS)
          .header("Prefix-Hash", "a1:80,b2:20");
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private void awaitAnswer(String path) throws Exception {
    while (send(path).statusCode() != OK) {
      Thread.sleep(20);
    }
  }

  private static Optional<RawResponse> leaving(Execution execution) {
    String head =
        "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nServer-Leaving: 1\r\n"
            .formatted(execution.requestId());
    return Optional.of(
        new RawResponse(
            execution.isGeneration()
                ? head
                    + "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n"
                    + "id: 1\ndata: 1\n\n"
                : head + "Content-Length: 4\r\n\r\ndone",
            false));
  }

  /** The store goes on calling the replica ready. */
  @ParameterizedTest
  @ValueSource(strings = {"/safe/a", "/stream/a"})
  void replicaThatSaysThatItLeavesGetsNoFurtherRequests(String path) throws Exception {
    ReplicaFake leaving = register(path, "r1");
    awaitAnswer(path);
    leaving.setScript((execution, isFirst) -> leaving(execution));
    send(path);
    final int before = leaving.executions().size();
    final ReplicaFake other = register(path, "r2");
    awaitAnswer(path);

    for (int i = 0; i < 20; i++) {
      assertThat(send(path).statusCode()).isEqualTo(OK);
    }

    assertThat(leaving.executions()).hasSize(before);
    assertThat(other.executions()).hasSizeGreaterThanOrEqualTo(20);
  }

  /** Its entry disappears and comes back, as the store may be behind. */
  @ParameterizedTest
  @ValueSource(strings = {"/safe/a", "/stream/a"})
  void replicaThatSaidThatItLeavesStaysLeftUntilItsNextIncarnation(String path) throws Exception {
    ReplicaFake leaving = register(path, "r1");
    awaitAnswer(path);
    leaving.setScript((execution, isFirst) -> leaving(execution));
    send(path);
    final int before = leaving.executions().size();
    metadataStore.remove("servers", "r1");
    Thread.sleep(600);
    metadataStore.register(leaving, service(path));
    Thread.sleep(600);

    HttpResponse<String> refused = send(path);
    assertThat(refused.statusCode()).isEqualTo(UNAVAILABLE);
    assertThat(leaving.executions()).hasSize(before);

    leaving.setScript((execution, isFirst) -> Optional.empty());
    leaving.beginIncarnation();
    metadataStore.register(leaving, service(path));
    awaitAnswer(path);
  }

  private static Optional<RawResponse> deferring(Execution execution) {
    return Optional.of(
        new RawResponse(
            "HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nRetry-After: 1.5\r\n"
                    .formatted(execution.requestId())
                + "Content-Length: 0\r\n\r\n",
            false));
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/a", "/stream/a"})
  void replicaThatWantsNoRequestsForSomeTimeGetsNoneUntilThen(String path) throws Exception {
    ReplicaFake replica = register(path, "r1");
    awaitAnswer(path);
    replica.setScript((execution, isFirst) -> deferring(execution));
    send(path);
    final int before = replica.executions().size();
    long start = MonotonicClock.millis();
    replica.setScript((execution, isFirst) -> Optional.empty());

    HttpResponse<String> refused = send(path);
    long refusedAfter = MonotonicClock.millis() - start;
    assertThat(refused.statusCode()).isEqualTo(UNAVAILABLE);
    assertThat(Double.parseDouble(refused.headers().firstValue("Retry-After").orElse("0")))
        .isBetween(1.0, 1.5);
    assertThat(refusedAfter).isLessThan(500);
    while (MonotonicClock.millis() - start < 1_300) {
      assertThat(send(path).statusCode()).isEqualTo(UNAVAILABLE);
      Thread.sleep(40);
    }
    assertThat(replica.executions()).hasSize(before);

    await(() -> MonotonicClock.millis() - start > 1_600);
    awaitAnswer(path);
  }

  @Test
  void replicaThatWantsNoRequestsIsNoReasonToRefuseWhatAnotherTakes() throws Exception {
    ReplicaFake replica = register("/safe/a", "r1");
    awaitAnswer("/safe/a");
    replica.setBehaviour(Behaviour.REFUSE);
    register("/safe/a", "r2");
    awaitAnswer("/safe/a");
    replica.setBehaviour(Behaviour.ANSWER);
    replica.setScript((execution, isFirst) -> deferring(execution));

    for (int i = 0; i < 40; i++) {
      assertThat(send("/safe/a").statusCode()).isEqualTo(OK);
    }
  }
}
