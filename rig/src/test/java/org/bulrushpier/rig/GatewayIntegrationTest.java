package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.serve.Gateway;
import org.bulrushpier.placing.CacheSalt;
import org.bulrushpier.rig.gateway.CacheStoreFake;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.Behaviour;
import org.bulrushpier.rig.gateway.ReplicaFake.OrderBehaviour;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the gateway on the users' platform with fakes of its metadata store, services and engines.
 */
class GatewayIntegrationTest {

  private static final String CONFIGURATION =
      """
      {"version":%d,"routes":[
        {"name":"once","host":"127.0.0.1","path_prefix":"/once/","kind":"non_idempotent",
         "timeout_ms":20000,"goal_ms":5000,"service":"plain","max_attempts":2},
        {"name":"safe","host":"127.0.0.1","path_prefix":"/safe/","kind":"safe",
         "timeout_ms":20000,"goal_ms":5000,"service":"plain","max_attempts":2},
        {"name":"stream","host":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":2,"can_resume":true},
        {"name":"open","host":"127.0.0.1","path_prefix":"/open/","kind":"streaming","public":true,
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":1},
        {"name":"note","host":"127.0.0.1","path_prefix":"/note/","kind":"streaming",
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":1}],
       "services":[{"name":"plain","max_conns":50},
        {"name":"engines","max_conns":50,"engine":{"slots":6,"kv_capacity":50000,"kv_bytes":1000,
         "link_mbps":1000.0,"models":[{"name":"m0"}]}}],
       "limits":{},"tenants":[{"name":"surco","api_keys":[%s],"priority":1}]}
      """;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** What a replica may send in vain for a few calls, including the buffers of its sockets. */
  private static final long MAX_ENDLESS_BYTES = 64L * 1_024 * 1_024;

  private final Map<String, Address> metricsAddresses = new HashMap<>();
  private final List<ReplicaFake> replicas = new ArrayList<>();
  private MetadataStoreFake metadataStore;
  private Gateway gateway;
  private GatewaySettings settings;
  private int lastId;

  @BeforeEach
  void start() throws Exception {
    metadataStore = MetadataStoreFake.start();
    putConfiguration(1, "\"key\"");
    for (int i = 0; i < 2; i++) {
      register("p" + i, "plain");
      register("e" + i, "engines");
    }
    start(5_000);
  }

  private void start(long revocationMillis) throws Exception {
    start(revocationMillis, 30);
  }

  private void start(long revocationMillis, int shutdownSeconds) throws Exception {
    settings =
        GatewaySite.parse(
            GatewaySite.settingsText(
                "127.0.0.1",
                metadataStore.address(),
                "key-revocation-ms = " + revocationMillis,
                "shutdown-seconds = " + shutdownSeconds,
                "retry-minimum = 80",
                "order-lease-ms = 300"));
    gateway = Gateway.start(settings);
    await(this::isReady);
  }

  @AfterEach
  void stop() throws IOException {
    gateway.stop();
    for (ReplicaFake replica : replicas) {
      replica.close();
    }
    metadataStore.close();
  }

  private void putConfiguration(int version, String keys) throws IOException {
    metadataStore.put("config", "main", CONFIGURATION.formatted(version, keys));
  }

  private void register(String id, String service) throws IOException {
    ReplicaFake replica = ReplicaFake.start(id);
    replicas.add(replica);
    metadataStore.put("servers", id, replica.entry(service, "ready"));
  }

  private Stream<ReplicaFake> replicasOf(String service) {
    int offset = service.equals("plain") ? 0 : 1;
    return Stream.of(replicas.get(offset), replicas.get(offset + 2));
  }

  private void setBehaviour(String service, Behaviour behaviour) {
    replicasOf(service).forEach(replica -> replica.setBehaviour(behaviour));
  }

  private long executedCount(String service) {
    return replicasOf(service).mapToLong(replica -> replica.executions().size()).sum();
  }

  private boolean isReady() {
    return status(
            HttpRequest.newBuilder(URI.create("http://" + settings.readyAddress() + "/ready")))
        == 200;
  }

  private int status(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + settings.callerAddress() + path))
        .timeout(Duration.ofSeconds(60))
        .header("Attempt-Id", "id" + ++lastId)
        .header("Deadline-Ms", "20000")
        .header("Authorization", "Bearer key");
  }

  private HttpRequest.Builder generation(String path) {
    return request(path)
        .header("Model", "m0")
        .header("Token-Usage", "100,5")
        .header("Prefix-Hash", "a1:80,b2:20")
        .POST(HttpRequest.BodyPublishers.ofString("prompt"));
  }

  private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Waits until the condition holds; the limit of 60 s is reached only by a test that fails. */
  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + Duration.ofSeconds(60).toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(20);
    }
  }

  private static String events(int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i <= to; i++) {
      text.append("id: ").append(i).append("\ndata: ").append(i).append("\n\n");
    }
    return text.toString();
  }

  @Test
  void forwardedCallHasHeadersThatOnlyTheGatewaySets() throws Exception {
    HttpResponse<String> response =
        send(
            request("/safe/a/b?x=%20y")
                .header("Tenant", "forged")
                .header("Cache-Salt", "forged")
                .header("X-Own", "kept"));

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("done");
    ReplicaFake.Execution execution =
        replicasOf("plain").flatMap(r -> r.executions().stream()).findFirst().orElseThrow();
    assertThat(execution.target()).isEqualTo("/safe/a/b?x=%20y");
    assertThat(execution.headers())
        .containsEntry("tenant", "surco")
        .containsEntry("x-own", "kept")
        .containsEntry("attempt-id", "id1")
        .doesNotContainKeys("authorization", "cache-salt");
    assertThat(Long.parseLong(execution.headers().get("deadline-ms"))).isBetween(1L, 20_000L);
    assertThat(response.headers().firstValue("Server-Seal")).isPresent();
  }

  @Test
  void unknownKeysAndPathsAreRejectedWithoutExecution() throws Exception {
    assertThat(send(request("/safe/a").setHeader("Authorization", "Bearer x")).statusCode())
        .isEqualTo(401);
    assertThat(send(request("/nowhere/a")).statusCode()).isEqualTo(404);
    assertThat(executedCount("plain")).isZero();
  }

  @Test
  void nonIdempotentCallIsNotRetriedAfterLostResponse() throws Exception {
    setBehaviour("plain", Behaviour.LOSE_ANSWER);

    HttpResponse<String> response =
        send(request("/once/a").POST(HttpRequest.BodyPublishers.ofString("defect")));

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(executedCount("plain")).isEqualTo(1);
  }

  @Test
  void nonIdempotentCallIsRefusedOnlyIfNotExecuted() throws Exception {
    setBehaviour("plain", Behaviour.REFUSE);

    HttpResponse<String> response =
        send(request("/once/a").POST(HttpRequest.BodyPublishers.ofString("defect")));

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("Retry-After")).isPresent();
    assertThat(executedCount("plain")).isZero();
  }

  @Test
  void idempotentCallIsRetriedAtAnotherReplica() throws Exception {
    replicas.get(0).setBehaviour(Behaviour.FAIL);
    replicas.get(2).setBehaviour(Behaviour.FAIL);
    HttpResponse<String> failed = send(request("/safe/a"));
    assertThat(failed.statusCode()).isEqualTo(500);
    assertThat(failed.body()).isEqualTo("fail");
    assertThat(executedCount("plain")).isEqualTo(2);

    replicas.get(2).setBehaviour(Behaviour.ANSWER);
    assertThat(send(request("/safe/b")).statusCode()).isEqualTo(200);
  }

  @Test
  void resumableStreamContinuesAtAnotherReplicaWithEachEventOnce() throws Exception {
    replicas.get(1).setBehaviour(Behaviour.CUT_STREAM);
    replicas.get(3).setBehaviour(Behaviour.CUT_STREAM);
    CompletableFuture<HttpResponse<String>> response =
        client.sendAsync(generation("/stream/a").build(), HttpResponse.BodyHandlers.ofString());

    HttpResponse<String> resumed = response.get();

    assertThat(resumed.statusCode()).isEqualTo(200);
    assertThat(resumed.body()).isEqualTo(events(1, ReplicaFake.EVENTS));
    List<ReplicaFake.Execution> executions =
        replicasOf("engines").flatMap(r -> r.executions().stream()).toList();
    assertThat(executions).hasSize(2);
    assertThat(executions)
        .anySatisfy(
            execution -> assertThat(execution.headers()).containsEntry("last-event-id", "2"));
  }

  @Test
  void nonResumableStreamIsAbortedAndNotEndedNormally() {
    setBehaviour("engines", Behaviour.CUT_STREAM);

    CompletableFuture<HttpResponse<String>> response =
        client.sendAsync(generation("/note/a").build(), HttpResponse.BodyHandlers.ofString());

    assertThat(response).failsWithin(Duration.ofSeconds(60));
    assertThat(executedCount("engines")).isEqualTo(1);
  }

  /**
   * A faulty replica may send bytes without end, in a head or a body, until its peer closes the
   * connection.
   */
  @ParameterizedTest
  @EnumSource(names = {"ENDLESS_HEAD", "ENDLESS_INTERIM", "ENDLESS_BODY"})
  void responseWithoutEndIsCutOffAndNotForwarded(Behaviour behaviour) throws Exception {
    setBehaviour("plain", behaviour);
    setBehaviour("engines", behaviour);

    assertThat(send(request("/safe/a")).statusCode()).isEqualTo(502);
    HttpRequest once = request("/once/a").POST(HttpRequest.BodyPublishers.ofString("d")).build();
    assertThat(client.send(once, HttpResponse.BodyHandlers.ofString()).statusCode()).isEqualTo(502);
    assertThat(
            client.sendAsync(generation("/note/a").build(), HttpResponse.BodyHandlers.ofString()))
        .satisfiesAnyOf(
            stream -> assertThat(stream).failsWithin(Duration.ofSeconds(10)),
            stream ->
                assertThat(stream)
                    .succeedsWithin(Duration.ofSeconds(10))
                    .matches(response -> response.statusCode() == 502));
    assertThat(replicas).allMatch(replica -> replica.endlessBytes() < MAX_ENDLESS_BYTES);

    setBehaviour("plain", Behaviour.ANSWER);
    await(() -> status(request("/safe/b")) == 200);
  }

  /** Datagrams that are no messages are ignored, whoever sends them. */
  @Test
  void instancesFindEachOtherAndExchangeTheirLoad() throws Exception {
    int port = FreePorts.nextAtHosts(2);
    Gateway first = Gateway.start(fleetSettings("127.0.0.1", port));
    Gateway second = Gateway.start(fleetSettings("127.0.0.2", port));
    try (DatagramSocket socket = new DatagramSocket()) {
      byte[] garbage = {(byte) 0xdd, 0x7f, 1, 2, 3};
      for (int i = 0; i < 20; i++) {
        socket.send(
            new DatagramPacket(garbage, garbage.length, InetAddress.getByName("127.0.0.1"), port));
      }
      await(() -> reportingInstances("127.0.0.1") == 1 && reportingInstances("127.0.0.2") == 1);
    } finally {
      first.stop();
      second.stop();
    }
  }

  private GatewaySettings fleetSettings(String host, int port) throws IOException {
    Address metrics = new Address(host, FreePorts.next("127.0.0.1").port());
    metricsAddresses.put(host, metrics);
    return new GatewaySettings(
        "entry-" + host,
        "norte",
        FreePorts.next("127.0.0.1"),
        FreePorts.next("127.0.0.1"),
        metrics,
        settings.platformAddress(),
        Optional.of(new Address(host, port)),
        List.of(new Address("127.0.0.1", port)),
        settings.keyRevocationMillis(),
        settings.shutdownMillis(),
        settings.retryRatio(),
        settings.retryMinimum(),
        settings.retryWindowMillis(),
        settings.orderLeaseMillis(),
        settings.weightsChangeMillis(),
        settings.evacuationMillis(),
        settings.coldOverage(),
        settings.coldSlack(),
        settings.storeReaders(),
        settings.region(),
        settings.domainRegions(),
        settings.isStartPaced());
  }

  private double reportingInstances(String host) {
    URI uri = URI.create("http://" + metricsAddresses.get(host) + "/metrics");
    try {
      return client
          .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
          .body()
          .lines()
          .filter(line -> line.startsWith("bulrushpier_fleet_reporting "))
          .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' '))))
          .sum();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Until it knew the replicas, it refused what they would have taken. */
  @Test
  void gatewayIsNotReadyBeforeItKnowsTheReplicas() throws Exception {
    gateway.stop();
    metadataStore.silenceReads("servers");
    gateway = Gateway.start(settings);
    for (int i = 0; i < 20; i++) {
      assertThat(isReady()).isFalse();
      Thread.sleep(50);
    }

    metadataStore.silenceReads("");
    await(this::isReady);

    assertThat(send(generation("/stream/a")).statusCode()).isEqualTo(200);
  }

  @Test
  void callWithoutReadableSizeIsAnswered() throws Exception {
    assertThat(send(generation("/stream/a").setHeader("Token-Usage", ",")).statusCode())
        .isEqualTo(200);
  }

  /** At the end of the time for a shutdown the connections were closed with calls under way. */
  @Test
  void callThatOutlastsTheShutdownIsAnswered() throws Exception {
    gateway.stop();
    start(5_000, 3);
    setBehaviour("plain", Behaviour.SILENT);
    CompletableFuture<HttpResponse<String>> call =
        client.sendAsync(
            request("/once/a").POST(HttpRequest.BodyPublishers.ofString("defect")).build(),
            HttpResponse.BodyHandlers.ofString());
    await(() -> executedCount("plain") == 1);

    gateway.shutDown();

    assertThat(call).succeedsWithin(Duration.ofSeconds(10)).returns(502, HttpResponse::statusCode);
  }

  /** Calls were taken until 2.8 s after the signal, however soon the process had to end. */
  @Test
  void callThatArrivesLateInShortShutdownIsRefusedAndNotPassedOn() throws Exception {
    gateway.stop();
    start(5_000, 3);
    setBehaviour("engines", Behaviour.HOLD_STREAM);
    final CompletableFuture<HttpResponse<String>> stream =
        client.sendAsync(generation("/note/a").build(), HttpResponse.BodyHandlers.ofString());
    await(() -> executedCount("engines") == 1);
    final Thread shutdown = Thread.ofVirtual().start(gateway::shutDown);
    Thread.sleep(1_500);

    HttpResponse<String> response =
        send(request("/once/a").POST(HttpRequest.BodyPublishers.ofString("defect")));

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(executedCount("plain")).isZero();
    replicas.forEach(ReplicaFake::release);
    assertThat(stream.get().body()).isEqualTo(events(1, ReplicaFake.EVENTS));
    shutdown.join();
  }

  /** The process ends as soon as the shutdown is over, whatever is under way. */
  @Test
  void callThatArrivesWhenShutdownIsOverIsRefusedAndNotPassedOn() throws Exception {
    gateway.shutDown();

    HttpResponse<String> response =
        send(request("/once/a").POST(HttpRequest.BodyPublishers.ofString("defect")));

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(executedCount("plain")).isZero();
  }

  @Test
  void drainingReplicaGetsNoNewCalls() throws Exception {
    metadataStore.put("servers", "p0", replicas.get(0).entry("plain", "draining"));
    await(
        () -> {
          int countBefore = replicas.get(0).executions().size();
          for (int i = 0; i < 6; i++) {
            status(request("/safe/a"));
          }
          return replicas.get(0).executions().size() == countBefore;
        });

    metadataStore.put("servers", "p0", replicas.get(0).entry("plain", "ready"));
    metadataStore.put("servers", "p9", "{\"service\":\"plain\",\"address\":7}");
    int countBefore = replicas.get(0).executions().size();
    for (int i = 0; i < 20; i++) {
      assertThat(status(request("/safe/b"))).isEqualTo(200);
    }
    assertThat(replicas.get(0).executions()).hasSize(countBefore);
  }

  @Test
  void revokedKeyIsRejectedAndNoKeyIsAcceptedDuringOutage() throws Exception {
    gateway.stop();
    start(2_000);
    putConfiguration(2, "\"other\"");
    await(() -> status(request("/safe/a")) == 401);
    assertThat(status(request("/safe/a").setHeader("Authorization", "Bearer other")))
        .isEqualTo(200);

    metadataStore.setDown(true);
    await(() -> status(request("/safe/a").setHeader("Authorization", "Bearer other")) == 503);
    assertThat(isReady()).isFalse();

    metadataStore.setDown(false);
    await(this::isReady);
    assertThat(status(request("/safe/a").setHeader("Authorization", "Bearer other")))
        .isEqualTo(200);
  }

  /**
   * Guards against prompts on public routes that use the parts of a customer which was isolated
   * while the instance could not reach the store.
   */
  @Test
  void publicPromptsShareNoPartsWithCustomersWhileConfigurationMayBeOutdated() throws Exception {
    gateway.stop();
    start(2_000);
    assertThat(status(generation("/stream/a"))).isEqualTo(200);
    assertThat(status(generation("/open/a"))).isEqualTo(200);
    assertThat(salts()).hasSize(1);

    metadataStore.setDown(true);
    await(() -> status(generation("/stream/a")) == 503);
    assertThat(status(generation("/open/a"))).isEqualTo(200);

    assertThat(salts()).hasSize(2);
  }

  private Set<String> salts() {
    return replicasOf("engines")
        .flatMap(engine -> engine.executions().stream())
        .map(execution -> execution.headers().get("cache-salt"))
        .collect(Collectors.toSet());
  }

  @Test
  void discardedHistoryIsFollowedByNewList() throws Exception {
    metadataStore.discardHistory();
    putConfiguration(2, "\"other\"");
    metadataStore.discardHistory();

    await(() -> status(request("/safe/a")) == 401);
  }

  @Test
  void everyEngineIsOrderedOnceToLoadNewWeights() throws Exception {
    metadataStore.dropWriteResponses(1);
    metadataStore.put("versions", "m0", "{\"model\":\"m0\",\"version\":2}");

    await(() -> replicasOf("engines").allMatch(engine -> engine.orders().size() == 1));
    await(() -> metadataStore.content("order-leases", "m0").path("released").asBoolean());

    assertThat(replicasOf("engines").flatMap(engine -> engine.orders().stream()))
        .allSatisfy(order -> assertThat(order).contains("\"version\":2", "\"expected\":0"));
    assertThat(send(generation("/stream/a")).statusCode()).isEqualTo(200);
    ReplicaFake.Execution execution =
        replicasOf("engines").flatMap(r -> r.executions().stream()).findFirst().orElseThrow();
    assertThat(execution.headers()).containsEntry("expect-version", "2");
    assertThat(execution.headers().get("cache-salt")).startsWith("m0/2/");
  }

  /** The registry entries of these plain replicas list a model, whose weights are outdated. */
  @Test
  void callsToPlainServicesDoNotDependOnWeights() throws Exception {
    replicas.forEach(replica -> replica.setOrderBehaviour(OrderBehaviour.UNANSWERED, 60_000));
    metadataStore.put("versions", "m0", "{\"model\":\"m0\",\"version\":2}");
    gateway.stop();
    start(5_000);
    Thread.sleep(2_500);

    assertThat(status(request("/safe/a").timeout(Duration.ofSeconds(5)))).isEqualTo(200);
    assertThat(status(generation("/stream/a"))).isEqualTo(503);
  }

  @Test
  void metricsCountRequestsByOutcome() throws Exception {
    assertThat(send(request("/safe/a")).statusCode()).isEqualTo(200);
    assertThat(send(request("/nowhere/a")).statusCode()).isEqualTo(404);
    setBehaviour("engines", Behaviour.CUT_STREAM);
    assertThat(
            client.sendAsync(generation("/note/a").build(), HttpResponse.BodyHandlers.ofString()))
        .failsWithin(Duration.ofSeconds(60));

    HttpResponse<String> metrics =
        send(HttpRequest.newBuilder(URI.create("http://" + settings.metricsAddress() + "/")));

    assertThat(metrics.body())
        .contains("bulrushpier_requests_total{outcome=\"answered\"} 1.0")
        .contains("bulrushpier_requests_total{outcome=\"denied\"} 1.0")
        .contains("bulrushpier_answers_interrupted_total{reason=\"upstream failed\"} 1.0")
        .contains("bulrushpier_answer_seconds_bucket");
  }

  @Test
  void shutdownCompletesRequestsInProgress() throws Exception {
    setBehaviour("engines", Behaviour.HOLD_STREAM);
    final CompletableFuture<HttpResponse<String>> response =
        client.sendAsync(generation("/note/a").build(), HttpResponse.BodyHandlers.ofString());
    await(() -> executedCount("engines") == 1);
    final Thread shutdown = Thread.ofVirtual().start(gateway::shutDown);
    await(() -> !isReady());

    replicas.forEach(ReplicaFake::release);

    assertThat(response.get().body()).isEqualTo(events(1, ReplicaFake.EVENTS));
    shutdown.join();
  }

  /**
   * A cache store that many instances poll refuses most of their event requests with 429, but still
   * serves its parts, so it must remain a source for engines.
   */
  @Test
  void cacheStoreThatRefusesEventRequestsRemainsFetchSource() throws Exception {
    String salt = new CacheSalt("m0", 1, "").text();
    try (CacheStoreFake cache = CacheStoreFake.start(salt, "a1", 80)) {
      String storeService =
          """
          {"name":"memory","kv_store_addr":"%s","zone":"norte","kv_capacity":100000,
           "link_mbps":1000.0,"first_ms":0.5,"managed":true},
          """
              .formatted(cache.address());
      metadataStore.put(
          "config",
          "main",
          CONFIGURATION
              .formatted(2, "\"key\"")
              .replace("{\"name\":\"plain\",", storeService + "{\"name\":\"plain\","));
      await(() -> fetchSource().contains(cache.address().toString()));
      cache.overload();
      await(() -> cache.refusedCalls() > 0);

      assertThat(fetchSource()).contains(cache.address().toString());
    }
  }

  /**
   * Sends a generation request and returns the Kv-Source header field that the engine received,
   * which names where the prompt's parts are to be fetched from; empty if there is none.
   */
  private String fetchSource() {
    int countBefore = (int) executedCount("engines");
    assertThat(status(generation("/stream/a"))).isEqualTo(200);
    assertThat(executedCount("engines")).isGreaterThan(countBefore);
    return replicasOf("engines")
        .flatMap(replica -> replica.executions().stream())
        .filter(execution -> execution.headers().get("attempt-id").equals("id" + lastId))
        .map(execution -> execution.headers().getOrDefault("kv-source", ""))
        .findFirst()
        .orElse("");
  }
}
