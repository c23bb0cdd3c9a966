package org.bulrushpier.rig;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.bulrushpier.daemon.serve.Gateway;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.Execution;
import org.bulrushpier.rig.gateway.ReplicaFake.RawResponse;
import org.bulrushpier.rig.gateway.ReplicaFake.Script;
import org.bulrushpier.rig.gateway.ReplicaFake.Silence;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
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
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":3,"can_resume":true},
        {"name":"note","host":"127.0.0.1","path_prefix":"/note/","kind":"streaming",
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":1}],
       "services":[{"name":"plain","max_conns":50},
        {"name":"engines","max_conns":50,"engine":{"slots":6,"kv_capacity":50000,"kv_bytes":1000,
         "link_mbps":1000.0,"models":[{"name":"m0"}]}}],
       "limits":{},"tenants":[{"name":"surco","api_keys":["key"],"priority":1}]}
      """;

  private static final String STALE_REFUSAL =
      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

  private static final int CALLS = 6;

  /** Longer than a stream may be silent before it is sent to another replica, in milliseconds. */
  private static final long SILENCE_MILLIS = 3_000;

  /** Limit for one read, in milliseconds, which is reached only by a test that fails. */
  private static final int READ_TIMEOUT_MILLIS = 30_000;

  private static final String END = "0\r\n\r\n";

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
    }
    for (int i = 0; i < 3; i++) {
      register("e" + i, "engines", engines);
    }
    settings =
        GatewaySite.parse(
            GatewaySite.settingsText(
                "127.0.0.1",
                metadataStore.address(),
                "retry-minimum = 80",
                "order-lease-ms = 300"));
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

  private HttpResponse<String> sendNote() throws Exception {
    return send(
        request("/note/a")
            .header("Model", "m0")
            .header("Token-Usage", "100,5")
            .header("Prefix-Hash", "a1:80,b2:20")
            .POST(HttpRequest.BodyPublishers.ofString("prompt")));
  }

  private int executed(List<ReplicaFake> replicas) {
    return replicas.stream().mapToInt(replica -> replica.executions().size()).sum();
  }

  private static void script(List<ReplicaFake> replicas, Function<Execution, RawResponse> script) {
    replicas.forEach(
        replica ->
            replica.setScript(
                (execution, isFirst) -> Optional.ofNullable(script.apply(execution))));
  }

  private static String sealed(Execution execution, int status) {
    return "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\n"
        .formatted(status, execution.requestId(), execution.replica());
  }

  private static String sealed(Execution execution, int status, String body) {
    return sealed(execution, status) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /**
   * Sends calls, of which those on a kept connection get other bytes before their response.
   *
   * @return the number of calls that got them
   */
  private int callWithForeignBytes(String foreign) throws Exception {
    AtomicInteger count = new AtomicInteger();
    Script script =
        (execution, isFirst) -> {
          if (isFirst) {
            return Optional.empty();
          }
          count.incrementAndGet();
          return Optional.of(new RawResponse(foreign + sealed(execution, 200, "done"), false));
        };
    calls.forEach(replica -> replica.setScript(script));
    for (int i = 0; i < CALLS; i++) {
      HttpResponse<String> response = sendOnce();
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("done");
    }
    return count.get();
  }

  @Test
  void refusalWithoutIdOnKeptConnectionIsNotTakenForTheResponse() throws Exception {
    assertThat(callWithForeignBytes(STALE_REFUSAL)).isPositive();

    assertThat(executed(calls)).isEqualTo(CALLS);
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 404, 500})
  void responseWithoutIdOnKeptConnectionIsNotForwarded(int status) throws Exception {
    String foreign =
        "HTTP/1.1 %d X\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nother".formatted(status);

    assertThat(callWithForeignBytes(foreign)).isPositive();
  }

  @Test
  void callsWithoutIdAreAnswered() throws Exception {
    URI uri = URI.create("http://" + settings.callerAddress() + "/once/a");
    for (int i = 0; i < CALLS; i++) {
      HttpResponse<String> response =
          send(
              HttpRequest.newBuilder(uri)
                  .header("Deadline-Ms", "5000")
                  .header("Authorization", "Bearer key"));

      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("done");
    }
  }

  @Test
  void refusalWithoutIdOnNewConnectionIsBelieved() throws Exception {
    AtomicInteger refused = new AtomicInteger();
    script(
        calls,
        execution -> refused.getAndIncrement() == 0 ? new RawResponse(STALE_REFUSAL, false) : null);

    assertThat(sendOnce().statusCode()).isEqualTo(200);
  }

  @ParameterizedTest
  @ValueSource(ints = {408, 429, 503})
  void callThatMayRunOnceGetsNoPromiseThatItsReplicaDoesNotState(int status) throws Exception {
    script(calls, execution -> new RawResponse(sealed(execution, status, "busy"), false));

    HttpResponse<String> response = sendOnce();

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.headers().firstValue("Server-Seal")).isEmpty();
    assertThat(executed(calls)).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 201, 302, 404, 500, 504})
  void responseThatContradictsItsRefusalIsNeitherForwardedNorSentAgain(int status)
      throws Exception {
    script(
        calls,
        execution ->
            new RawResponse(
                sealed(execution, status) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false));

    HttpResponse<String> response = sendOnce();

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(executed(calls)).isEqualTo(1);
  }

  /** The replica stops within the head and closes its connection. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200",
        "HTTP/1.1 200 X\r\n",
        "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Se",
        "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s",
        "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n",
        "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 1",
        "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 4\r\n",
        "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nTransfer-Enc",
        "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r"
      })
  void responseWhoseHeadStopsIsNotForwarded(String head) throws Exception {
    script(calls, execution -> new RawResponse(head.formatted(execution.requestId()), true));

    HttpResponse<String> response = sendOnce();

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.headers().firstValue("Server-Seal")).isEmpty();
    assertThat(executed(calls)).isEqualTo(1);
  }

  /** A stream without length or chunks ends with its connection, whole or within an event. */
  @Test
  void streamThatEndsWithItsConnectionIsWholeOnlyAfterCompleteEvent() throws Exception {
    String head =
        "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
            + "Content-Type: text/event-stream\r\n\r\n";
    String whole = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
    script(engines, e -> new RawResponse(head.formatted(e.requestId()) + whole, true));
    assertThat(sendNote().body()).isEqualTo(whole);

    script(engines, e -> new RawResponse(head.formatted(e.requestId()) + whole + "id: 3", true));
    assertThatThrownBy(() -> sendNote()).isInstanceOf(IOException.class);
  }

  @Test
  void largestBodyIsForwardedWhole() throws Exception {
    String largest = "a".repeat(4 * 1_024 * 1_024);
    script(calls, execution -> new RawResponse(sealed(execution, 200, largest), false));

    assertThat(sendOnce().body()).isEqualTo(largest);
  }

  @Test
  void repeatableCallGetsTheStatusThatItsReplicasGave() throws Exception {
    script(calls, execution -> new RawResponse(sealed(execution, 503, "busy"), false));

    HttpResponse<String> response = send(request("/safe/a"));

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("Server-Seal")).isPresent();
    assertThat(executed(calls)).isEqualTo(2);
  }

  /** A response that cannot continue a stream. */
  private enum NoContinuation {
    ERROR,
    NOT_FOUND,
    OTHER_TYPE,
    NO_CONTENT,
    PARTIAL_CONTENT,
    ENCODED,
    WITHOUT_EVENT_IDS,
    REPEATED_EVENT,
    MISSING_EVENT,
    NO_EVENT,
    UNFINISHED_EVENT;

    private RawResponse response(Execution execution) {
      String text =
          switch (this) {
            case ERROR -> sealed(execution, 500, "failure");
            case NOT_FOUND -> sealed(execution, 404, "failure");
            case OTHER_TYPE -> sealed(execution, 200, "failure\n\n");
            case NO_CONTENT -> sealed(execution, 204) + "\r\n";
            case PARTIAL_CONTENT -> stream(execution, 206, "") + chunk("id: 5\ndata: 5\n\n") + END;
            case ENCODED ->
                stream(execution, 200, "Content-Encoding: gzip\r\n")
                    + chunk("id: 5\ndata: 5\n\n")
                    + END;
            case WITHOUT_EVENT_IDS -> stream(execution, 200, "") + chunk("data: failure\n\n") + END;
            case REPEATED_EVENT -> stream(execution, 200, "") + events(4, 5) + END;
            case MISSING_EVENT -> stream(execution, 200, "") + events(6, 6) + events(5, 5) + END;
            case NO_EVENT -> stream(execution, 200, "") + END;
            case UNFINISHED_EVENT -> stream(execution, 200, "") + chunk("id: 5\ndata:") + END;
          };
      return new RawResponse(text, false);
    }
  }

  private static String stream(Execution execution, int status, String fields) {
    return sealed(execution, status)
        + fields
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  private static String events(int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i <= to; i++) {
      text.append(chunk("id: " + i + "\ndata: " + i + "\n\n"));
    }
    return text.toString();
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static boolean isResumed(Execution execution) {
    return execution.headers().containsKey("last-event-id");
  }

  /** Sends a generation and returns the body as it was sent, up to the end of the connection. */
  private String generate(String path) throws IOException {
    String[] address = settings.callerAddress().toString().split(":");
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      String request =
          "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nAttempt-Id: id%d\r\n"
              + "Deadline-Ms: 20000\r\nAuthorization: Bearer key\r\nModel: m0\r\n"
              + "Token-Usage: 100,5\r\nPrefix-Hash: a1:80,b2:20\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(request.formatted(path, ++lastId).getBytes(UTF_8));
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      String text = new String(socket.getInputStream().readAllBytes(), UTF_8);
      return text.substring(text.indexOf("\r\n\r\n") + 4);
    }
  }

  @ParameterizedTest
  @EnumSource
  void responseThatCannotContinueStreamIsNotWrittenIntoIt(NoContinuation foreign) throws Exception {
    script(
        engines,
        execution ->
            isResumed(execution)
                ? foreign.response(execution)
                : new RawResponse(stream(execution, 200, "") + events(1, 4), true));

    String body = generate("/stream/a");

    assertThat(body).isEqualTo(events(1, 4));
  }

  @ParameterizedTest
  @EnumSource
  void streamIsResumedElsewhereAfterResponseThatCannotContinueIt(NoContinuation foreign)
      throws Exception {
    AtomicInteger sent = new AtomicInteger();
    script(
        engines,
        execution ->
            switch (sent.getAndIncrement()) {
              case 0 -> new RawResponse(stream(execution, 200, "") + events(1, 4), true);
              case 1 -> foreign.response(execution);
              default -> null;
            });

    String body = generate("/stream/a");

    assertThat(body).isEqualTo(events(1, 5) + END);
  }

  @ParameterizedTest
  @EnumSource
  void silentReplicaGoesOnAfterResponseThatCannotContinueItsStream(NoContinuation foreign)
      throws Exception {
    engines.forEach(engine -> engine.setSilence(new Silence(4, SILENCE_MILLIS)));
    script(engines, execution -> isResumed(execution) ? foreign.response(execution) : null);

    String body = generate("/stream/a");

    assertThat(body).isEqualTo(events(1, 5) + END);
    assertThat(engines).anyMatch(engine -> isAnyResumed(engine));
  }

  private static boolean isAnyResumed(ReplicaFake engine) {
    return engine.executions().stream().anyMatch(execution -> isResumed(execution));
  }

  @Test
  void streamWithoutEventIdsIsNotSentAgainAfterItBrokeOff() throws Exception {
    String event = chunk("data: 1\n\n");
    script(engines, execution -> new RawResponse(stream(execution, 200, "") + event, true));

    String body = generate("/stream/a");

    assertThat(body).isEqualTo(event);
    assertThat(executed(engines)).isEqualTo(1);
  }

  @Test
  void firstResponseThatIsNoStreamIsForwardedAsItIs() throws Exception {
    script(engines, execution -> new RawResponse(sealed(execution, 200, "plain"), false));

    String body = generate("/stream/a");

    assertThat(body).isEqualTo("plain");
  }
}
