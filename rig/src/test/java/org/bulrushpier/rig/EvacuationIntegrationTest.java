package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.GatewaySite.Arrival;
import org.bulrushpier.rig.GatewaySite.Instance;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.Behaviour;
import org.bulrushpier.rig.gateway.ReplicaFake.Execution;
import org.bulrushpier.rig.gateway.ReplicaFake.Pace;
import org.bulrushpier.rig.gateway.ReplicaFake.RawResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that the replicas of an evacuated failure domain get no requests, with callers that send
 * generations all the time to two instances.
 */
class EvacuationIntegrationTest {

  /** The time within which an evacuation must be in force, in milliseconds. */
  private static final long BOUND_MILLIS = 3_000;

  /** For how long arrivals are observed once the evacuation must be in force, in milliseconds. */
  private static final long OBSERVED_MILLIS = 1_500;

  private static final int CALLERS = 4;
  private static final String KIND = "evacuations";

  private final List<Thread> callers = new ArrayList<>();
  private final ConcurrentHashMap<Integer, Integer> statuses = new ConcurrentHashMap<>();
  private final AtomicInteger sessions = new AtomicInteger();
  private volatile boolean isStopping;
  private GatewaySite site;

  @BeforeEach
  void start() throws Exception {
    site =
        GatewaySite.startInDomains(
            List.of("norte", "centro", "norte", "centro"),
            "evacuation-ms = " + BOUND_MILLIS,
            "retry-minimum = 80");
    site.engines().forEach(engine -> engine.setPace(new Pace(5, 5, 0)));
  }

  @AfterEach
  void stop() throws Exception {
    stopCallers();
    site.close();
  }

  /** Starts callers of an instance that send one generation after the other. */
  private void startCallers(Instance instance) {
    for (int i = 0; i < CALLERS; i++) {
      callers.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    while (!isStopping) {
                      statuses.merge(generate(instance), 1, Integer::sum);
                    }
                  }));
    }
  }

  private void stopCallers() throws InterruptedException {
    isStopping = true;
    for (Thread caller : callers) {
      caller.join();
    }
    callers.clear();
  }

  /** Sends a generation of a new session and returns the status, or 0 if it did not end whole. */
  private int generate(Instance instance) {
    try {
      HttpResponse<InputStream> response = instance.generate(newParts()).get();
      response.body().readAllBytes();
      return response.statusCode();
    } catch (InterruptedException | ExecutionException | IOException e) {
      return 0;
    }
  }

  private String newParts() {
    int session = sessions.incrementAndGet();
    return "%x:80,%x:20".formatted(0xa000 + session, 0xb0000 + session);
  }

  private void evacuate(String domain) throws Exception {
    site.metadataStore().put(KIND, domain, "{}");
  }

  /** Returns the arrivals from a monotonic time on at the engines of a domain. */
  private List<Arrival> arrivals(String domain, long fromMillis) {
    List<String> engines = domain.equals("norte") ? List.of("e0", "e2") : List.of("e1", "e3");
    return site.arrivals().stream()
        .filter(arrival -> arrival.millis() >= fromMillis)
        .filter(arrival -> engines.contains(arrival.execution().replica()))
        .toList();
  }

  private void awaitArrivals(String domain) throws Exception {
    long from = MonotonicClock.millis();
    GatewaySite.await(() -> arrivals(domain, from).size() > CALLERS);
  }

  /** Observes arrivals once an evacuation that was written at the given time must be in force. */
  private void assertInForce(long writtenMillis) throws Exception {
    long bound = writtenMillis + BOUND_MILLIS;
    while (MonotonicClock.millis() < bound + OBSERVED_MILLIS) {
      Thread.sleep(20);
    }
    assertThat(arrivals("norte", bound)).isEmpty();
    assertThat(arrivals("centro", bound)).isNotEmpty();
  }

  @Test
  void evacuationUnderLoadIsInForceOnEveryInstanceInTimeAndIsTakenBack() throws Exception {
    List<Instance> instances = site.startInstances(2);
    instances.forEach(this::startCallers);
    awaitArrivals("norte");

    evacuate("norte");
    assertInForce(MonotonicClock.millis());

    for (Instance instance : instances) {
      assertThat(instance.metric("bulrushpier_domains_evacuated")).isEqualTo(1);
      assertThat(instance.metric("bulrushpier_evacuated_requests_running")).isZero();
      assertThat(instance.metric("bulrushpier_requests_kept_evacuated_total")).isPositive();
      assertThat(instance.metric("bulrushpier_requests_crossed_total")).isPositive();
    }
    site.metadataStore().remove(KIND, "norte");
    awaitArrivals("norte");
    stopCallers();
    assertThat(statuses.keySet()).containsExactly(200);
  }

  @Test
  void evacuationIsInForceInTimeThoughTheWatchBreaksOff() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    startCallers(instance);
    awaitArrivals("norte");
    site.metadataStore().silenceReads(KIND);

    evacuate("norte");
    final long written = MonotonicClock.millis();
    Thread.sleep(BOUND_MILLIS / 2);
    site.metadataStore().silenceReads("");

    assertInForce(written);
  }

  @Test
  void evacuationIsInForceInTimeThoughTheHistoryIsGone() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    startCallers(instance);
    awaitArrivals("norte");

    evacuate("norte");
    site.metadataStore().discardHistory();

    assertInForce(MonotonicClock.millis());
  }

  @Test
  void evacuationThatIsTakenBackAndAskedForAgainIsInForce() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    startCallers(instance);
    evacuate("norte");
    assertInForce(MonotonicClock.millis());

    site.metadataStore().remove(KIND, "norte");
    evacuate("norte");

    assertInForce(MonotonicClock.millis());
  }

  @Test
  void foreignEntriesCostOnlyThemselves() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    startCallers(instance);
    awaitArrivals("norte");

    site.metadataStore().putRaw(KIND, "elsewhere", "[".repeat(3_000) + "]".repeat(3_000));
    evacuate("norte");
    site.metadataStore().putRaw(KIND, "sur", "{\"state\":}");

    assertInForce(MonotonicClock.millis());
  }

  @Test
  void evacuationStaysInForceWhileTheStoreIsAway() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    startCallers(instance);
    evacuate("norte");
    assertInForce(MonotonicClock.millis());

    site.metadataStore().setDown(true);
    Thread.sleep(1_000);
    long away = MonotonicClock.millis();
    Thread.sleep(1_000);
    assertThat(arrivals("norte", away)).isEmpty();
    assertThat(arrivals("centro", away)).isNotEmpty();

    site.metadataStore().setDown(false);
    site.metadataStore().remove(KIND, "norte");
    awaitArrivals("norte");
  }

  @Test
  void restartedInstanceSendsNothingToAnEvacuatedDomain() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    evacuate("norte");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 1);
    final long before = MonotonicClock.millis();

    instance.restart();
    startCallers(instance);
    awaitArrivals("centro");

    assertThat(arrivals("norte", before)).isEmpty();
  }

  @Test
  void restartedInstanceRefusesRequestsUntilItKnowsTheEvacuations() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    evacuate("norte");
    site.metadataStore().silenceReads(KIND);
    final int executed = site.executed();

    instance.restart();
    // The other kinds of objects have been read by then.
    Thread.sleep(2_000);

    assertThat(generate(instance)).isEqualTo(503);
    assertThat(site.executed()).isEqualTo(executed);
    site.metadataStore().silenceReads("");
    instance.awaitReady();
    assertThat(generate(instance)).isEqualTo(200);
    assertThat(arrivals("norte", 0)).isEmpty();
  }

  @Test
  void streamsInAnEvacuatedDomainEndWholeWhereTheyRun() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    site.engines().forEach(engine -> engine.setPace(new Pace(5, 800, 0)));
    List<CompletableFuture<HttpResponse<InputStream>>> streams = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      streams.add(instance.generate(newParts()));
    }
    GatewaySite.await(() -> site.executed() == 8);
    assertThat(arrivals("norte", 0)).isNotEmpty();

    evacuate("norte");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 1);
    assertThat(instance.metric("bulrushpier_evacuated_requests_running")).isPositive();

    for (CompletableFuture<HttpResponse<InputStream>> stream : streams) {
      String events = new String(stream.get().body().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(events).contains("id: " + ReplicaFake.EVENTS + "\n");
    }
    assertThat(site.executed()).isEqualTo(8);
    GatewaySite.await(() -> instance.metric("bulrushpier_evacuated_requests_running") == 0);
  }

  @Test
  void brokenStreamGoesOnInAnotherDomain() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    site.engines().get(0).setBehaviour(Behaviour.HOLD_STREAM);
    site.engines().get(2).setBehaviour(Behaviour.HOLD_STREAM);
    List<CompletableFuture<HttpResponse<InputStream>>> streams = new ArrayList<>();
    while (arrivals("norte", 0).isEmpty()) {
      streams.add(instance.generate(newParts()));
      Thread.sleep(100);
    }

    evacuate("norte");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 1);
    long inForce = MonotonicClock.millis();
    // The held streams are silent, so each is also sent to another engine.
    for (CompletableFuture<HttpResponse<InputStream>> stream : streams) {
      String events = new String(stream.get().body().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(events).contains("id: " + ReplicaFake.EVENTS + "\n");
    }

    assertThat(arrivals("norte", inForce)).isEmpty();
    assertThat(arrivals("centro", inForce)).isNotEmpty();
  }

  @Test
  void requestsAreRefusedAtOnceIfAllDomainsAreEvacuated() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    evacuate("norte");
    evacuate("centro");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 2);
    int executed = site.executed();

    long sent = MonotonicClock.millis();
    HttpResponse<InputStream> response = instance.generate(newParts()).get();

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(MonotonicClock.millis() - sent).isLessThan(500);
    assertThat(response.headers().firstValue("Retry-After")).contains("1.000");
    assertThat(site.executed()).isEqualTo(executed);
    site.metadataStore().remove(KIND, "centro");
    GatewaySite.await(() -> generate(instance) == 200);
  }

  private static Optional<RawResponse> deferral(Execution execution, int seconds) {
    return Optional.of(
        new RawResponse(
            "HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nRetry-After: %d\r\n"
                    .formatted(execution.requestId(), seconds)
                + "Content-Length: 0\r\n\r\n",
            false));
  }

  private double retryAfterSeconds(Instance instance) throws Exception {
    HttpResponse<InputStream> refused = instance.generate(newParts()).get();
    refused.body().readAllBytes();
    assertThat(refused.statusCode()).isEqualTo(503);
    return Double.parseDouble(refused.headers().firstValue("Retry-After").orElse("0"));
  }

  @Test
  void evacuatedReplicasThatWantNoRequestsHaveNoSayInTheRetryDelay() throws Exception {
    Instance instance = site.startInstances(1).getFirst();
    Set<String> deferred = ConcurrentHashMap.newKeySet();
    for (ReplicaFake engine : site.engines()) {
      int seconds = List.of("e0", "e2").contains(engine.id()) ? 20 : 60;
      engine.setScript(
          (execution, isFirst) -> {
            deferred.add(execution.replica());
            return deferral(execution, seconds);
          });
    }
    GatewaySite.await(() -> generate(instance) == 503 && deferred.size() == 4);
    assertThat(retryAfterSeconds(instance)).isBetween(10.0, 20.0);

    evacuate("norte");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 1);

    assertThat(retryAfterSeconds(instance)).isBetween(40.0, 60.0);
  }
}
