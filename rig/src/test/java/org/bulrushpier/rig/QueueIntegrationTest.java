package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.GatewaySite.Instance;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests what becomes of requests while others of their service wait for cold engines, the only ones
 * in their homes.
 */
class QueueIntegrationTest {

  /** The customer that may only use the cold engines of norte. */
  private static final String BOUND_TO_LIMA = "key";

  private static final String BOUND_TO_CUSCO = "cusco-key";
  private static final String ANYWHERE = "any-key";

  /** More than the cold engines take in the time of a test. */
  private static final int WAITING = 16;

  private static final long PAUSE_MILLIS = 50;
  private static final long COLD_MILLIS = 30_000;

  /** Much less than the wait of the others, in milliseconds. */
  private static final long AT_ONCE_MILLIS = 800;

  private final List<Thread> callers = new ArrayList<>();
  private final AtomicInteger sessions = new AtomicInteger();
  private volatile boolean isStopping;
  private GatewaySite site;
  private Instance instance;

  @BeforeEach
  void start() throws Exception {
    site =
        GatewaySite.startInDomains(
            List.of("norte", "centro", "norte", "centro"),
            "evacuation-ms = 3000",
            "domain-regions = norte:lima,centro:cusco",
            "cold-overage = 1.0",
            "cold-slack = 0");
    site.configureColdEngines(1);
    ObjectNode content = site.metadataStore().content("config", "main").deepCopy();
    content.put("version", 3);
    ((ObjectNode) content.withArray("tenants").get(0)).putArray("allowed_regions").add("lima");
    addCustomer(content, "cusco", BOUND_TO_CUSCO).putArray("allowed_regions").add("cusco");
    addCustomer(content, "any", ANYWHERE);
    site.metadataStore().put("config", "main", content.toString());
    for (ReplicaFake engine : List.of(site.engines().get(0), site.engines().get(2))) {
      site.registerCold(engine, COLD_MILLIS);
    }
    instance = site.startInstances(1).get(0);
    assertThat(generate(ANYWHERE)).isEqualTo(200);
    for (int i = 0; i < WAITING; i++) {
      callers.add(Thread.ofVirtual().start(this::callLimaAgainAndAgain));
    }
    GatewaySite.await(() -> instance.metric("bulrushpier_requests_waiting") >= WAITING / 2);
  }

  private void callLimaAgainAndAgain() {
    while (!isStopping) {
      generate(BOUND_TO_LIMA);
      Faults.sleep(PAUSE_MILLIS);
    }
  }

  private static ObjectNode addCustomer(ObjectNode content, String name, String key) {
    ObjectNode customer = content.withArray("tenants").addObject();
    customer.put("name", name).put("priority", 1).putArray("api_keys").add(key);
    return customer;
  }

  @AfterEach
  void stop() throws Exception {
    isStopping = true;
    site.close();
    for (Thread caller : callers) {
      caller.join();
    }
  }

  private int generate(String key) {
    return site.status(generation(key));
  }

  private HttpRequest.Builder generation(String key) {
    int session = sessions.incrementAndGet();
    return instance
        .requestWithoutPrompt()
        .setHeader("Authorization", "Bearer " + key)
        .header("Model", "m0")
        .header("Token-Usage", "100," + ReplicaFake.EVENTS)
        .header("Prefix-Hash", "%x:80,%x:20".formatted(0xa000 + session, 0xb0000 + session));
  }

  @Test
  void requestThatMayUseOtherEnginesIsNotHeldUp() {
    for (int i = 0; i < 3; i++) {
      long sent = MonotonicClock.millis();
      assertThat(generate(ANYWHERE)).isEqualTo(200);
      assertThat(MonotonicClock.millis() - sent).isLessThan(AT_ONCE_MILLIS);
    }
    assertThat(instance.metric("bulrushpier_requests_waiting")).isPositive();
  }

  @Test
  void requestThatNoEngineMayTakeIsRefusedAtOnceAndDoesNotRun() throws Exception {
    site.metadataStore().put("evacuations", "centro", "{}");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 1);
    assertThat(instance.metric("bulrushpier_requests_waiting")).isPositive();

    HttpRequest request = generation(BOUND_TO_CUSCO).build();
    long sent = MonotonicClock.millis();
    HttpResponse<Void> response =
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(MonotonicClock.millis() - sent).isLessThan(AT_ONCE_MILLIS);
    assertThat(response.headers().firstValue("Retry-After")).contains("1.000");
    assertThat(response.headers().firstValue("Refusal-Reason").orElse(""))
        .contains("evacuated failure domain");
    String part = request.headers().firstValue("Prefix-Hash").orElseThrow().split(":")[0];
    assertThat(site.arrivals()).noneMatch(arrival -> arrival.hasPart(part));
  }
}
