package org.bulrushpier.daemon.serve;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.bulrushpier.Address;
import org.bulrushpier.Codec;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.daemon.serve.GatewayStatus.ConfigurationStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.EvacuatedDomain;
import org.bulrushpier.daemon.serve.GatewayStatus.EvacuationsStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.ReplicaStatus;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaEntry;
import org.bulrushpier.rollout.RequestInterval;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class StatusReporterTest {

  private static final int PER_SECOND = 4;
  private static final long COLD_MILLIS = 60_000;
  private static final String KEY = "secret-of-surco";

  private static final String CONFIGURATION =
      """
      {"version":3,"routes":[],
       "services":[{"name":"records","max_conns":6,"cold_s":2.0,"cold_per_s":%d}],
       "limits":{},"tenants":[{"name":"surco","api_keys":["%s"],"priority":1}]}
      """
          .formatted(PER_SECOND, KEY);

  private final EventLoop loop = EventLoop.start();
  private final List<String> unready = new ArrayList<>();
  private final GatewaySettings settings = settings();
  private final GatewayContext context = new GatewayContext(loop, () -> settings);
  private final StatusReporter reporter = new StatusReporter(context, () -> List.copyOf(unready));

  @AfterEach
  void stop() {
    loop.stop();
  }

  private static GatewaySettings settings() {
    String text =
        """
        [gateway]
        name = entry
        domain = norte
        caller-address = 127.0.0.1:1
        ready-address = 127.0.0.1:1
        metrics-address = 127.0.0.1:1
        platform-address = 127.0.0.1:1
        """;
    return GatewaySettings.parse("test.ini", text, new ArrayList<>());
  }

  private Replica replica(int number, String domain, Map<String, Integer> weights) {
    String id = "r" + number;
    Address address = Address.parse("10.0.0.1:8080");
    context
        .replicas()
        .put(new ReplicaEntry(id, "records", address, domain, 6, false, 7, weights, 0));
    return context.replicas().find(id);
  }

  private void acceptConfiguration() {
    context
        .configuration()
        .accept(
            SiteFormat.configuration(
                Codec.json().readTree(CONFIGURATION.getBytes(StandardCharsets.UTF_8)),
                finding -> {}),
            Moment.now());
  }

  /** Lets all that the store holds of a kind be read. */
  private void read(String kind) {
    context
        .confirmations()
        .recording(kind, new IdleListener())
        .listed(List.of(), Moment.now(), Moment.DISTANT_PAST);
  }

  /** Applies nothing. */
  private static final class IdleListener implements StoreWatch.Listener {
    @Override
    public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {}

    @Override
    public void changed(List<Event> events, Moment proven, Moment changedAfter) {}

    @Override
    public void unavailable(String detail) {}

    @Override
    public void failed(String detail) {}
  }

  private GatewayStatus status() {
    GatewayStatus[] status = new GatewayStatus[1];
    loop.run(() -> status[0] = reporter.status());
    return status[0];
  }

  @Test
  void instanceThatKnowsNothingYetSaysSo() {
    unready.add("no configuration is known yet");
    context.evacuations().markWatched();
    replica(0, "norte", Map.of());

    GatewayStatus status = status();

    assertThat(status.unready()).containsExactly("no configuration is known yet");
    assertThat(status.configuration())
        .isEqualTo(new ConfigurationStatus(GatewayStatus.UNKNOWN, GatewayStatus.UNKNOWN));
    assertThat(status.evacuations())
        .isEqualTo(new EvacuationsStatus(true, false, GatewayStatus.UNKNOWN, List.of()));
    assertThat(status.weights().isKnown()).isFalse();
    assertThat(status.replicas().isKnown()).isFalse();
    assertThat(status.replicas().isCurrent()).isFalse();
    assertThat(status.replicas().all().getFirst().exclusion())
        .isEqualTo("waiting for the evacuations to be known");
  }

  @Test
  void evacuatedDomainIsNamedWithItsRevisionUntilItIsWithdrawn() {
    context.evacuations().markWatched();
    context.evacuations().list(Map.of("sur", 21L, "centro", 17L));
    read(StoreFormat.EVACUATIONS);
    replica(0, "norte", Map.of());
    Replica evacuated = replica(1, "centro", Map.of());
    evacuated.begin("a", new Replica.InFlightRequest(0, 0, 0, 0, 0, Long.MAX_VALUE));

    EvacuationsStatus evacuations = status().evacuations();

    assertThat(evacuations.domains())
        .containsExactly(new EvacuatedDomain("centro", 17, 1), new EvacuatedDomain("sur", 21, 0));
    assertThat(evacuations.isKnown()).isTrue();
    assertThat(evacuations.ageMillis()).isNotNegative();
    assertThat(status().replicas().all())
        .extracting(ReplicaStatus::id, ReplicaStatus::exclusion)
        .containsExactly(tuple("r1", "in an evacuated failure domain"), tuple("r0", ""));

    context.evacuations().withdraw("centro");

    assertThat(status().evacuations().domains())
        .extracting(EvacuatedDomain::name)
        .containsExactly("sur");
    assertThat(status().replicas().all()).extracting(ReplicaStatus::exclusion).containsOnly("");
  }

  @Test
  void coldReplicaHasItsTimeAndTheShareInUse() {
    acceptConfiguration();
    replica(0, "norte", Map.of());
    Replica cold = replica(1, "norte", Map.of());
    long now = MonotonicClock.millis();
    context.cold().tick(now);
    context.cold().answered(cold, COLD_MILLIS, now - 2_000);
    for (int i = 0; i < PER_SECOND; i++) {
      context.cold().begin(cold, now);
    }

    List<ReplicaStatus> replicas = status().replicas().all();

    assertThat(replicas.getFirst().coldMillis()).isZero();
    assertThat(replicas.getFirst().share()).isEqualTo(GatewayStatus.UNKNOWN);
    assertThat(replicas.getLast().coldMillis()).isBetween(1L, COLD_MILLIS);
    assertThat(replicas.getLast().share()).isEqualTo(PER_SECOND);
    assertThat(replicas.getLast().used()).isEqualTo(PER_SECOND);
    assertThat(replicas.getLast().exclusion()).isEqualTo("cold");
  }

  @Test
  void requestedAndServedWeightsAreTold() {
    context.weights().update("m0", 2, new RequestInterval(Moment.now(), Moment.now()));
    context.weights().markListed();
    read(StoreFormat.WEIGHTS);
    replica(0, "norte", Map.of("m0", 1));

    GatewayStatus status = status();

    assertThat(status.weights().isKnown()).isTrue();
    assertThat(status.weights().ageMillis()).isNotNegative();
    assertThat(status.weights().requested().getFirst().version()).isEqualTo(2);
    assertThat(status.weights().requested().getFirst().maxRequestedMillis()).isNotNegative();
    assertThat(status.replicas().all().getFirst().weights()).containsExactly(Map.entry("m0", 1));
  }

  @Test
  void handlerServesTheStatusWithoutKeysBesideTheMetrics() throws Exception {
    acceptConfiguration();
    context.evacuations().list(Map.of("centro", 17L));
    replica(0, "centro", Map.of("m0", 1));
    Address address = freeAddress();
    loop.listen(address, new OperatorHandler(context, List::of));

    HttpResponse<String> response = get(address, "/status");

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("Content-Type")).contains("application/json");
    assertThat(response.body()).doesNotContain(KEY).doesNotContain("surco");
    GatewayStatus read =
        Codec.json().read(response.body().getBytes(StandardCharsets.UTF_8), GatewayStatus.class);
    assertThat(read.configuration().version()).isEqualTo(3);
    assertThat(read.unready()).isEmpty();
    assertThat(read.evacuations()).isEqualTo(status().evacuations());
    assertThat(read.replicas().all()).isEqualTo(status().replicas().all());
    assertThat(get(address, "/metrics").body()).contains("bulrushpier_requests_kept_cold_total");
  }

  private static Address freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return new Address("127.0.0.1", socket.getLocalPort());
    }
  }

  private static HttpResponse<String> get(Address address, String path) throws Exception {
    try (HttpClient client = HttpClient.newHttpClient()) {
      return client.send(
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .version(HttpClient.Version.HTTP_1_1)
              .build(),
          HttpResponse.BodyHandlers.ofString());
    }
  }
}
