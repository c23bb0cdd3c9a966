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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.daemon.serve.Gateway;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.Behaviour;
import org.bulrushpier.rig.gateway.ReplicaFake.OrderBehaviour;
import org.bulrushpier.rig.gateway.ReplicaFake.Silence;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a request outlives the silence of the replica that runs it. */
class SilentReplicaIntegrationTest {

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
        {"name":"once","host":"127.0.0.1","path_prefix":"/once/","kind":"non_idempotent",
         "timeout_ms":12000,"goal_ms":300,"service":"plain","max_attempts":2,"public":true},
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

  private static final int EVENTS = 8;

  /** Longer than any test waits for a replica. */
  private static final long ENDLESS_MILLIS = 60_000;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<ReplicaFake> replicas = new ArrayList<>();
  private MetadataStoreFake metadataStore;
  private GatewaySettings settings;
  private Gateway gateway;

  @BeforeEach
  void start() throws Exception {
    metadataStore = MetadataStoreFake.start();
    metadataStore.put("config", "main", CONFIGURATION);
    metadataStore.requestWeights(1);
    settings =
        GatewaySite.parse(
            GatewaySite.settingsText(
                "127.0.0.1",
                metadataStore.address(),
                "retry-minimum = 400",
                "weights-change-ms = 4000"));
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

  private ReplicaFake replica(String id, Behaviour behaviour) throws Exception {
    ReplicaFake replica = ReplicaFake.start(id);
    replicas.add(replica);
    replica.setBehaviour(behaviour);
    return replica;
  }

  private ReplicaFake register(String service, String id, Behaviour behaviour) throws Exception {
    ReplicaFake replica = replica(id, behaviour);
    metadataStore.register(replica, service);
    return replica;
  }

  /** Registers the only replica of a service, which is silent once for each request. */
  private ReplicaFake registerSilent(String service, Silence silence) throws Exception {
    ReplicaFake replica = replica("first", Behaviour.ANSWER);
    replica.setSilence(silence);
    metadataStore.register(replica, service);
    return replica;
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + settings.callerAddress() + path))
        .timeout(Duration.ofSeconds(30))
        .header("Deadline-Ms", "9000")
        .POST(HttpRequest.BodyPublishers.ofString("body"));
  }

  private HttpRequest.Builder prompt(String path, String parts) {
    return request(path)
        .header("Model", "m0")
        .header("Token-Usage", "100," + EVENTS)
        .header("Prefix-Hash", parts);
  }

  /** Sends a request until a replica has executed it, as the gateway learns of replicas late. */
  private CompletableFuture<HttpResponse<String>> send(String path, ReplicaFake first)
      throws Exception {
    HttpRequest.Builder request =
        path.startsWith("/stream") ? prompt(path, "a1:80,b2:20") : request(path);
    for (int i = 0; true; i++) {
      CompletableFuture<HttpResponse<String>> response =
          client.sendAsync(
              request.copy().header("Attempt-Id", "id" + i).build(),
              HttpResponse.BodyHandlers.ofString());
      await(() -> !first.executions().isEmpty() || response.isDone());
      if (!first.executions().isEmpty()) {
        return response;
      }
      Thread.sleep(20);
    }
  }

  private static void assertWholeStream(CompletableFuture<HttpResponse<String>> stream)
      throws Exception {
    HttpResponse<String> response = stream.get(30, TimeUnit.SECONDS);
    assertThat(response.statusCode()).isEqualTo(200);
    StringBuilder events = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      events.append("id: ").append(i).append("\ndata: ").append(i).append("\n\n");
    }
    assertThat(response.body()).isEqualTo(events.toString());
  }

  @Test
  void silenceOfTheOnlyEngineDoesNotEndStream() throws Exception {
    ReplicaFake first = registerSilent("engines", new Silence(4, 1_700));

    assertWholeStream(send("/stream/a", first));

    assertThat(first.executions()).hasSize(1);
  }

  @Test
  void silentStreamIsNotEndedByTheRefusalOfAnotherEngine() throws Exception {
    ReplicaFake first = registerSilent("engines", new Silence(4, 4_000));
    CompletableFuture<HttpResponse<String>> stream = send("/stream/a", first);
    ReplicaFake second = register("engines", "second", Behaviour.REFUSE);

    assertWholeStream(stream);

    assertThat(first.executions()).hasSize(1);
    assertThat(second.refused()).isEqualTo(1);
  }

  @Test
  void silentStreamIsNotEndedByTheFailureOfAnotherEngine() throws Exception {
    ReplicaFake first = registerSilent("engines", new Silence(4, 4_000));
    CompletableFuture<HttpResponse<String>> stream = send("/stream/a", first);
    ReplicaFake second = register("engines", "second", Behaviour.FAIL);

    assertWholeStream(stream);

    assertThat(second.executions()).hasSize(1);
  }

  @Test
  void streamThatBeginsLateIsNotEndedByTheRefusalOfAnotherEngine() throws Exception {
    ReplicaFake first = registerSilent("engines", new Silence(0, 4_000));
    CompletableFuture<HttpResponse<String>> stream = send("/stream/a", first);
    ReplicaFake second = register("engines", "second", Behaviour.REFUSE);

    assertWholeStream(stream);

    assertThat(first.executions()).hasSize(1);
    assertThat(second.refused()).isEqualTo(1);
  }

  @Test
  void streamTakenOverByAnotherEngineHasEachEventOnceAndIsCancelledAtTheSilentOne()
      throws Exception {
    ReplicaFake first = registerSilent("engines", new Silence(4, ENDLESS_MILLIS));
    CompletableFuture<HttpResponse<String>> stream = send("/stream/a", first);
    ReplicaFake second = register("engines", "second", Behaviour.ANSWER);

    assertWholeStream(stream);

    assertThat(second.executions().get(0).headers()).containsEntry("last-event-id", "4");
    await(() -> first.dropped() == 1);
  }

  @Test
  void streamThatGoesOnIsCancelledAtTheEngineThatHasNotBegun() throws Exception {
    ReplicaFake first = registerSilent("engines", new Silence(4, 4_000));
    CompletableFuture<HttpResponse<String>> stream = send("/stream/a", first);
    ReplicaFake second = replica("second", Behaviour.ANSWER);
    second.setSilence(new Silence(0, ENDLESS_MILLIS));
    metadataStore.register(second, "engines");

    assertWholeStream(stream);

    assertThat(second.executions()).hasSize(1);
    await(() -> second.dropped() == 1);
  }

  @Test
  void lateAnswerToRepeatableCallIsNotLostToTheRefusalOfAnotherReplica() throws Exception {
    ReplicaFake first = registerSilent("plain", new Silence(0, 4_000));
    CompletableFuture<HttpResponse<String>> call = send("/safe/a", first);
    ReplicaFake second = register("plain", "second", Behaviour.REFUSE);

    assertThat(call.get(30, TimeUnit.SECONDS).body()).isEqualTo("done");

    assertThat(first.executions()).hasSize(1);
    assertThat(second.refused()).isEqualTo(1);
  }

  @Test
  void lateAnswerToRepeatableCallIsNotLostToTheFailureOfAnotherReplica() throws Exception {
    ReplicaFake first = registerSilent("plain", new Silence(0, 4_000));
    CompletableFuture<HttpResponse<String>> call = send("/safe/a", first);
    ReplicaFake second = register("plain", "second", Behaviour.FAIL);

    assertThat(call.get(30, TimeUnit.SECONDS).body()).isEqualTo("done");

    assertThat(second.executions()).hasSize(1);
  }

  @Test
  void failureOfOneReplicaIsForwardedOnceTheSilentOneHasFailedToo() throws Exception {
    ReplicaFake first = registerSilent("plain", new Silence(0, 4_000));
    first.setBehaviour(Behaviour.LOSE_ANSWER);
    CompletableFuture<HttpResponse<String>> call = send("/safe/a", first);
    register("plain", "second", Behaviour.FAIL);

    HttpResponse<String> response = call.get(30, TimeUnit.SECONDS);

    assertThat(response.statusCode()).isEqualTo(500);
    assertThat(response.body()).isEqualTo("fail");
  }

  @Test
  void callThatMustNotBeRepeatedIsNotSentAgainWhileItsReplicaIsSilent() throws Exception {
    ReplicaFake first = registerSilent("plain", new Silence(0, 3_000));
    CompletableFuture<HttpResponse<String>> call = send("/once/a", first);
    ReplicaFake second = register("plain", "second", Behaviour.ANSWER);

    assertThat(call.get(30, TimeUnit.SECONDS).body()).isEqualTo("done");

    assertThat(first.executions()).hasSize(1);
    assertThat(second.executions()).isEmpty();
  }

  @Test
  void streamThatBrokeOffWaitsForAnotherEngineWhileItsCallerWaits() throws Exception {
    ReplicaFake first = registerSilent("engines", new Silence(2, 1_000));
    first.setBehaviour(Behaviour.CUT_STREAM);
    CompletableFuture<HttpResponse<String>> stream = send("/stream/a", first);
    metadataStore.remove("servers", first.id());
    Thread.sleep(1_500);
    ReplicaFake second = register("engines", "second", Behaviour.ANSWER);

    assertWholeStream(stream);

    assertThat(second.executions().get(0).headers()).containsEntry("last-event-id", "2");
  }

  @Test
  void streamThatNoEngineContinuesIsCutOnceItsCallerHasGivenUp() throws Exception {
    ReplicaFake first = registerSilent("engines", new Silence(2, 1_000));
    first.setBehaviour(Behaviour.CUT_STREAM);
    CompletableFuture<HttpResponse<String>> stream = send("/stream/a", first);
    metadataStore.remove("servers", first.id());

    assertThat(stream).failsWithin(Duration.ofSeconds(8));
  }

  @Test
  void streamThatBrokeOffContinuesAtItsEngineIfThereIsNoOther() throws Exception {
    ReplicaFake first = register("engines", "first", Behaviour.CUT_STREAM);

    assertWholeStream(send("/stream/a", first));

    assertThat(first.executions()).hasSize(2);
    assertThat(first.executions().get(1).headers()).containsEntry("last-event-id", "2");
  }

  /** Sends a stream that two engines have without having begun it. */
  private CompletableFuture<HttpResponse<String>> sendToTwoSilentEngines() throws Exception {
    for (String id : List.of("first", "second")) {
      ReplicaFake engine = replica(id, Behaviour.ANSWER);
      engine.setSilence(new Silence(0, ENDLESS_MILLIS));
      engine.setOrderBehaviour(OrderBehaviour.UNANSWERED, ENDLESS_MILLIS);
    }
    metadataStore.register(replicas.get(0), "engines");
    CompletableFuture<HttpResponse<String>> stream = send("/stream/a", replicas.get(0));
    metadataStore.register(replicas.get(1), "engines");
    await(() -> replicas.get(1).executions().size() == 1);
    return stream;
  }

  @Test
  void requestOfCallerThatLeftIsCancelledAtAllReplicasThatHaveIt() throws Exception {
    CompletableFuture<HttpResponse<String>> stream = sendToTwoSilentEngines();

    stream.cancel(true);

    await(() -> replicas.stream().allMatch(engine -> engine.dropped() == 1));
  }

  @Test
  void requestIsCancelledAtAllReplicasThatHaveItAtItsDeadline() throws Exception {
    CompletableFuture<HttpResponse<String>> stream = sendToTwoSilentEngines();

    assertThat(stream.get(30, TimeUnit.SECONDS).statusCode()).isEqualTo(504);

    await(() -> replicas.stream().allMatch(engine -> engine.dropped() == 1));
  }

  @Test
  void allWaitingAttemptsAreRecalledOnceTheirWeightsAreOutdated() throws Exception {
    CompletableFuture<HttpResponse<String>> stream = sendToTwoSilentEngines();

    metadataStore.requestWeights(2);

    assertThat(stream.get(30, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
    await(() -> replicas.stream().allMatch(engine -> engine.dropped() == 1));
    assertThat(replicas).allMatch(engine -> engine.executions().size() == 1);
  }

  @Test
  void newPromptsPreferOtherEnginesWhileOneIsSilent() throws Exception {
    ReplicaFake first = registerSilent("engines", new Silence(4, ENDLESS_MILLIS));
    CompletableFuture<HttpResponse<String>> stream = send("/stream/a", first);
    final ReplicaFake second = register("engines", "second", Behaviour.ANSWER);
    assertWholeStream(stream);

    List<CompletableFuture<HttpResponse<String>>> prompts = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      HttpRequest prompt =
          prompt("/stream/b", "c" + i + ":80,d" + i + ":20")
              .header("Attempt-Id", "new" + i)
              .build();
      prompts.add(client.sendAsync(prompt, HttpResponse.BodyHandlers.ofString()));
    }
    for (CompletableFuture<HttpResponse<String>> prompt : prompts) {
      assertWholeStream(prompt);
    }

    assertThat(first.executions()).hasSize(1);
    assertThat(second.executions()).hasSize(6);
  }
}
