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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.daemon.serve.Gateway;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.Behaviour;
import org.bulrushpier.rig.gateway.ReplicaFake.Execution;
import org.bulrushpier.rig.gateway.ReplicaFake.Pace;
import org.bulrushpier.rig.gateway.ReplicaFake.RawResponse;
import org.bulrushpier.rig.gateway.ReplicaFake.Silence;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

/**
 * Tests that a stream that may not be resumed goes on from the copy of its run when its replica is
 * lost, with each event once, and that it is cut visibly when there is no copy.
 */
class SurvivingStreamIntegrationTest {

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
        {"name":"stream","host":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
         "timeout_ms":12000,"goal_ms":300,"gap_aim_ms":800,"service":"engines","max_attempts":1,
         "can_resume":false,"public":true}],
       "services":[
        {"name":"engines","max_conns":500,"engine":{"slots":400,"kv_capacity":500000,
         "kv_bytes":1000,"link_mbps":1000.0,"backups":%b,"models":[{"name":"m0"}]}}],
       "limits":{},"tenants":[]}
      """;

  private static final int EVENTS = 8;
  private static final long EVENT_MILLIS = 60;

  private static final long LONG_EVENT_MILLIS = 500;

  /** Longer than any test waits for a replica. */
  private static final long ENDLESS_MILLIS = 60_000;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<ReplicaFake> engines = new ArrayList<>();
  private MetadataStoreFake metadataStore;
  private GatewaySettings settings;
  private Gateway gateway;

  /** A stream under way, the engine that runs it and the one that holds the copy. */
  private record Run(
      String id, CompletableFuture<HttpResponse<String>> response, ReplicaFake engine) {}

  @BeforeEach
  void start() throws Exception {
    metadataStore = MetadataStoreFake.start();
    metadataStore.requestWeights(1);
    // A lone instance takes a small share of the minimum; here it has to be one for each stream.
    startGateway("retry-minimum = 4000");
  }

  private void startGateway(String... furtherSettings) throws Exception {
    List<String> lines = new ArrayList<>(List.of(furtherSettings));
    lines.add("weights-change-ms = 4000");
    settings =
        GatewaySite.parse(
            GatewaySite.settingsText(
                "127.0.0.1", metadataStore.address(), lines.toArray(String[]::new)));
    gateway = Gateway.start(settings);
  }

  @AfterEach
  void stop() throws Exception {
    gateway.stop();
    for (ReplicaFake engine : engines) {
      engine.close();
    }
    metadataStore.close();
  }

  /** Starts engines and waits until the gateway uses them. */
  private void startEngines(int count, boolean hasBackups) throws Exception {
    metadataStore.put("config", "main", CONFIGURATION.formatted(hasBackups));
    for (int i = 0; i < count; i++) {
      ReplicaFake engine = ReplicaFake.start("e" + i);
      engines.add(engine);
      metadataStore.register(engine, "engines");
    }
    long deadline = System.nanoTime() + Duration.ofSeconds(30).toNanos();
    int sent = 0;
    while (!engines.stream().allMatch(engine -> isUsed(engine, hasBackups))) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      send("warm" + ++sent).join();
      Thread.sleep(10);
    }
    engines.forEach(engine -> engine.setPace(new Pace(0, EVENT_MILLIS, 0)));
  }

  private boolean isUsed(ReplicaFake engine, boolean hasBackups) {
    return engine.executions().stream()
        .anyMatch(execution -> !hasBackups || execution.headers().containsKey("kv-backup"));
  }

  private CompletableFuture<HttpResponse<String>> send(String id) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + settings.callerAddress() + "/stream/a"))
            .timeout(Duration.ofSeconds(30))
            .header("Deadline-Ms", "11000")
            .header("Attempt-Id", id)
            .header("Model", "m0")
            .header("Token-Usage", "100," + EVENTS)
            .header("Prefix-Hash", "a" + id + ":80,b" + id + ":20")
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private Run begin(String id) throws Exception {
    CompletableFuture<HttpResponse<String>> response = send(id);
    await(() -> !executions(id).isEmpty());
    String engine = executions(id).get(0).replica();
    return new Run(id, response, engine(engine));
  }

  private ReplicaFake engine(String id) {
    return engines.stream().filter(engine -> engine.id().equals(id)).findFirst().orElseThrow();
  }

  /** Returns the executions of a request in the order of the engines. */
  private List<Execution> executions(String id) {
    return engines.stream()
        .flatMap(engine -> engine.executions().stream())
        .filter(execution -> execution.requestId().equals(id))
        .toList();
  }

  private Execution executionAt(ReplicaFake engine, Run run) {
    return executions(run.id()).stream()
        .filter(execution -> execution.replica().equals(engine.id()))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the engine that holds the copy that an engine was told to send. */
  private ReplicaFake holder(ReplicaFake sender, Run run) {
    String address = executionAt(sender, run).headers().get("kv-backup");
    Optional<ReplicaFake> holder =
        engines.stream().filter(e -> e.address().toString().equals(address)).findFirst();
    return holder.orElseThrow();
  }

  private static String events() {
    StringBuilder events = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      events.append("id: ").append(i).append("\ndata: ").append(i).append("\n\n");
    }
    return events.toString();
  }

  private static void assertWhole(Run run) throws Exception {
    HttpResponse<String> response = run.response().get(30, TimeUnit.SECONDS);
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo(events());
  }

  @Test
  void streamGoesOnAtHolderOfItsCopyAfterCrash() throws Exception {
    startEngines(2, true);
    Run run = begin("run");
    Thread.sleep(3 * EVENT_MILLIS);

    run.engine().crash(ENDLESS_MILLIS);

    assertWhole(run);
    ReplicaFake holder = holder(run.engine(), run);
    Execution continuation = executionAt(holder, run);
    assertThat(continuation.headers())
        .containsEntry("kv-from", holder.address() + "/run")
        .containsEntry("expect-instance", holder.id())
        .containsEntry("expect-version", "1")
        .containsEntry("cache-salt", executionAt(run.engine(), run).headers().get("cache-salt"));
    assertThat(Integer.parseInt(continuation.headers().get("last-event-id"))).isPositive();
    assertThat(executions("run")).hasSize(2);
  }

  /**
   * Guards against a run that is worked on at two replicas: the end of a connection was taken for
   * the end of the run, although the replica that breaks the answer off works on.
   */
  @Test
  void runGoesOnOnlyWhenItsReplicaHasStopped() throws Exception {
    startEngines(3, true);
    engines.forEach(engine -> engine.setBehaviour(Behaviour.CUT_STREAM_WORK_ON));
    engines.forEach(engine -> engine.setPace(new Pace(0, 200, 0)));
    Run run = begin("run");

    await(() -> executions("run").size() == 2);

    assertThat(run.engine().workEndMillis("run")).isPositive();
    Execution continuation = executionAt(holder(run.engine(), run), run);
    assertThat(run.engine().workEndMillis("run"))
        .isLessThanOrEqualTo(continuation.arrivedMillis() + 400);
    assertWhole(run);
  }

  /** An answer that breaks off without a crash costs the time of a report, not a timeout. */
  @Test
  void runGoesOnSoonWhenItsReplicaDropsIt() throws Exception {
    startEngines(3, true);
    engines.forEach(engine -> engine.setPace(new Pace(0, 300, 0)));
    engines.forEach(engine -> engine.setBehaviour(Behaviour.CUT_STREAM));
    Run run = begin("run");
    await(() -> run.engine().workEndMillis("run") > 0);
    long brokeOffMillis = run.engine().workEndMillis("run");

    await(() -> executions("run").size() == 2);

    Execution continuation = executionAt(holder(run.engine(), run), run);
    assertThat(continuation.arrivedMillis() - brokeOffMillis).isLessThan(600);
    assertWhole(run);
  }

  @Test
  void runThatHasNotBegunGoesOnFromItsStart() throws Exception {
    startEngines(2, true);
    engines.forEach(engine -> engine.setSilence(new Silence(0, 1_000)));
    Run run = begin("run");
    engines.forEach(engine -> engine.setSilence(new Silence(0, 0)));
    Thread.sleep(100);

    run.engine().crash(ENDLESS_MILLIS);

    assertWhole(run);
    assertThat(executionAt(holder(run.engine(), run), run).headers())
        .containsEntry("last-event-id", "0");
  }

  @Test
  void runGoesOnAgainWhenTheHolderOfItsCopyCrashesToo() throws Exception {
    startEngines(3, true);
    Run run = begin("run");
    Thread.sleep(2 * EVENT_MILLIS);
    run.engine().crash(ENDLESS_MILLIS);
    ReplicaFake second = holder(run.engine(), run);
    await(() -> executions("run").size() == 2);
    Thread.sleep(2 * EVENT_MILLIS);

    second.crash(ENDLESS_MILLIS);

    assertWhole(run);
    assertThat(executionAt(holder(second, run), run).headers()).containsKey("kv-from");
    assertThat(executions("run")).hasSize(3);
  }

  @Test
  void streamIsCutIfTheHolderHasCrashedBefore() throws Exception {
    startEngines(2, true);
    Run run = begin("run");
    Thread.sleep(2 * EVENT_MILLIS);
    holder(run.engine(), run).crash(ENDLESS_MILLIS);

    run.engine().crash(ENDLESS_MILLIS);

    assertThat(run.response()).failsWithin(Duration.ofSeconds(8));
    assertThat(executions("run")).hasSize(1);
  }

  /** A replica that wants no requests for a moment gets the run as soon as the moment is over. */
  @Test
  void streamWaitsForHolderThatTakesNoRequestsForMoment() throws Exception {
    startEngines(2, true);
    engines.forEach(engine -> engine.setPace(new Pace(0, LONG_EVENT_MILLIS, 0)));
    Run run = begin("run");
    ReplicaFake holder = holder(run.engine(), run);
    holder.setScript(SurvivingStreamIntegrationTest::deferral);
    for (int i = 0; i < 8; i++) {
      send("busy" + i);
    }
    await(() -> holder.executions().stream().anyMatch(e -> e.requestId().startsWith("busy")));
    Thread.sleep(100);

    run.engine().crash(ENDLESS_MILLIS);

    assertWhole(run);
    assertThat(executions("run")).hasSize(2);
  }

  private static Optional<RawResponse> deferral(Execution execution, boolean isFirst) {
    return execution.requestId().startsWith("busy")
        ? Optional.of(
            new RawResponse(
                "HTTP/1.1 503 X\r\nAttempt-Id: "
                    + execution.requestId()
                    + "\r\nNot-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
                false))
        : Optional.empty();
  }

  @Test
  void streamIsCutIfNoCopyHasArrived() throws Exception {
    startEngines(2, true);
    Run run = begin("run");
    Thread.sleep(2 * EVENT_MILLIS);
    ReplicaFake holder = holder(run.engine(), run);
    holder.discardCopies();

    run.engine().crash(ENDLESS_MILLIS);

    assertThat(run.response()).failsWithin(Duration.ofSeconds(8));
    assertThat(holder.refused()).isEqualTo(1);
    assertThat(executions("run")).hasSize(1);
  }

  @Test
  void requestThatHasNotBegunFailsWithoutPromiseIfNoCopyHasArrived() throws Exception {
    startEngines(2, true);
    engines.forEach(engine -> engine.setSilence(new Silence(0, 1_000)));
    Run run = begin("run");
    Thread.sleep(100);
    holder(run.engine(), run).discardCopies();

    run.engine().crash(ENDLESS_MILLIS);

    assertThat(run.response().get(30, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
    assertThat(executions("run")).hasSize(1);
  }

  @Test
  void streamIsCutIfNoRetryIsLeft() throws Exception {
    gateway.stop();
    startGateway("retry-minimum = 0", "retry-ratio = 0");
    startEngines(2, true);
    Run run = begin("run");
    Thread.sleep(2 * EVENT_MILLIS);

    run.engine().crash(ENDLESS_MILLIS);

    assertThat(run.response()).failsWithin(Duration.ofSeconds(8));
    assertThat(executions("run")).hasSize(1);
  }

  @Test
  void streamIsCutWithoutCopies() throws Exception {
    startEngines(2, false);
    Run run = begin("run");
    Thread.sleep(2 * EVENT_MILLIS);

    run.engine().crash(ENDLESS_MILLIS);

    assertThat(run.response()).failsWithin(Duration.ofSeconds(8));
    assertThat(executions("run")).hasSize(1);
    assertThat(executionAt(run.engine(), run).headers()).doesNotContainKey("kv-backup");
  }

  @Test
  void streamStaysAtSilentEngineThatAnswersReports() throws Exception {
    startEngines(2, true);
    engines.forEach(engine -> engine.setSilence(new Silence(4, 1_700)));

    Run run = begin("run");

    assertWhole(run);
    assertThat(executions("run")).hasSize(1);
  }

  @Test
  void streamStaysIfTheHolderOfItsCopyDoesNotAnswerEither() throws Exception {
    startEngines(2, true);
    engines.forEach(engine -> engine.setSilence(new Silence(4, 1_700)));
    engines.forEach(ReplicaFake::withholdReports);

    Run run = begin("run");

    assertWhole(run);
    assertThat(executions("run")).hasSize(1);
  }

  @Test
  void connectionToGoneEngineIsClosedAndItsStreamGoesOnWithinTheExpectedPause() throws Exception {
    startEngines(2, true);
    engines.forEach(engine -> engine.setSilence(new Silence(4, ENDLESS_MILLIS)));
    Run run = begin("run");
    run.engine().withholdReports();
    ReplicaFake holder = holder(run.engine(), run);
    holder.setSilence(new Silence(0, 0));

    assertWhole(run);

    assertThat(executionAt(holder, run).headers()).containsEntry("last-event-id", "4");
    await(() -> run.engine().dropped() == 1);
    assertThat(executions("run")).hasSize(2);
  }

  /** Both replicas fall silent for good, the second one before it answers. */
  @Test
  void runGoesOnAgainWhenTheHolderOfItsCopyIsGoneBeforeItsAnswer() throws Exception {
    startEngines(3, true);
    engines.forEach(engine -> engine.setSilence(new Silence(4, ENDLESS_MILLIS)));
    Run run = begin("run");
    ReplicaFake second = holder(run.engine(), run);
    second.setSilence(new Silence(0, ENDLESS_MILLIS));
    run.engine().withholdReports();
    await(() -> executions("run").size() == 2);
    ReplicaFake third = holder(second, run);
    third.setSilence(new Silence(0, 0));

    second.withholdReports();

    assertThat(run.response()).succeedsWithin(Duration.ofSeconds(5));
    assertWhole(run);
    assertThat(executionAt(third, run).headers()).containsKey("kv-from");
    assertThat(executions("run")).hasSize(3);
  }

  @Test
  void runIsNotContinuedAfterItsCallerHasLeft() throws Exception {
    startEngines(2, true);
    Run run = begin("run");
    run.response().cancel(true);
    Thread.sleep(300);

    run.engine().crash(ENDLESS_MILLIS);
    Thread.sleep(500);

    assertThat(executions("run")).hasSize(1);
  }

  @Test
  void holderThatFailsTheContinuationEndsTheStreamVisibly() throws Exception {
    startEngines(2, true);
    Run run = begin("run");
    Thread.sleep(2 * EVENT_MILLIS);
    holder(run.engine(), run).setBehaviour(Behaviour.FAIL);

    run.engine().crash(ENDLESS_MILLIS);

    assertThat(run.response()).failsWithin(Duration.ofSeconds(8));
    assertThat(executions("run")).hasSize(2);
  }

  /** 90 streams at once on three engines, one of which crashes in the middle. */
  @RepeatedTest(3)
  void allStreamsOfCrashedEngineGoOnUnderLoad() throws Exception {
    startEngines(3, true);
    // No stream may end while others begin: a run that has ended has no copy.
    engines.forEach(engine -> engine.setPace(new Pace(0, LONG_EVENT_MILLIS, 0)));
    List<Run> runs = new ArrayList<>();
    for (int i = 0; i < 90; i++) {
      runs.add(new Run("run" + i, send("run" + i), null));
    }
    await(() -> runs.stream().allMatch(run -> !executions(run.id()).isEmpty()));

    engines.get(0).crash(ENDLESS_MILLIS);

    for (Run run : runs) {
      assertWhole(run);
    }
    assertThat(runs.stream().filter(run -> executions(run.id()).size() == 2)).isNotEmpty();
    assertThat(runs).allMatch(run -> executions(run.id()).size() <= 2);
  }
}
