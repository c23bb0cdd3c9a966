package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.daemon.serve.Gateway;
import org.bulrushpier.placing.CacheSalt;
import org.bulrushpier.rig.gateway.CacheStoreFake;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.OrderBehaviour;
import org.bulrushpier.rig.proxy.ProxyLink;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against parts that are freed while an engine fetches them: the instance that ends a
 * rollout is cut off from the metadata store and does not learn of an engine that comes back on
 * older weights, to which another instance sends requests.
 */
class FreedPartsIntegrationTest {

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
        {"name":"stream","host":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":2,"public":true},
        {"name":"stream2","host":"127.0.0.2","path_prefix":"/stream/","kind":"streaming",
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":2,"public":true}],
       "services":[
        {"name":"engines","max_conns":50,"engine":{"slots":6,"kv_capacity":50000,"kv_bytes":1000,
         "link_mbps":1000.0,"managed":true,"models":[{"name":"m0"}]}},
        {"name":"memory","kv_store_addr":"%s","zone":"norte","kv_capacity":100000,
         "link_mbps":1000.0,"first_ms":0.5,"managed":true}],
       "limits":{},"tenants":[]}
      """;

  private static final long LIMIT_MILLIS = 30_000;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final MetadataStoreFake metadataStore;
  private final CacheStoreFake cacheStore;
  private final ReplicaFake steady;
  private final ReplicaFake returning;
  private final Map<String, ProxyLink> links = new HashMap<>();
  private final Map<String, GatewaySettings> settings = new HashMap<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private int lastId;

  FreedPartsIntegrationTest() throws IOException {
    metadataStore = MetadataStoreFake.start();
    cacheStore = CacheStoreFake.start(new CacheSalt("m0", 1, "").text(), "a1", 80);
    steady = ReplicaFake.start("steady", Integer.MAX_VALUE, execution -> {});
    returning = ReplicaFake.start("returning", Integer.MAX_VALUE, execution -> {});
  }

  private void startGateways() throws Exception {
    metadataStore.put("config", "main", CONFIGURATION.formatted(cacheStore.address()));
    metadataStore.put("versions", "m0", "{\"model\":\"m0\",\"version\":1}");
    metadataStore.register(steady, "engines");
    for (String host : List.of("127.0.0.1", "127.0.0.2")) {
      ProxyLink link = ProxyLink.open(metadataStore.address());
      GatewaySettings parsed =
          GatewaySite.parse(GatewaySite.settingsText(host, link.address(), "order-lease-ms = 300"));
      links.put(parsed.name(), link);
      settings.put(parsed.name(), parsed);
      gateways.add(Gateway.start(parsed));
    }
    for (GatewaySettings instance : settings.values()) {
      GatewaySite.await(() -> status("http://" + instance.readyAddress() + "/ready") == 200);
      GatewaySite.await(() -> fetchesFor(instance));
    }
  }

  @AfterEach
  void stop() throws Exception {
    gateways.forEach(Gateway::stop);
    for (ProxyLink link : links.values()) {
      link.close();
    }
    steady.close();
    returning.close();
    cacheStore.close();
    metadataStore.close();
  }

  @Test
  void partsAreFreedOnlyWhenNoFetchCanBeUnderWay() throws Exception {
    startGateways();
    metadataStore.put("versions", "m0", "{\"model\":\"m0\",\"version\":2}");
    GatewaySite.await(() -> lease("released").equals("true"));
    String holder = lease("holder");
    links.get(holder).setImpairments(new ProxyLink.Impairments(true, true, false, 0, 0));
    returning.setOrderBehaviour(OrderBehaviour.UNANSWERED, 10 * LIMIT_MILLIS);
    metadataStore.register(returning, "engines");
    metadataStore.remove("servers", steady.id());
    String other =
        settings.keySet().stream().filter(name -> !name.equals(holder)).findAny().orElseThrow();
    long end = MonotonicClock.millis() + LIMIT_MILLIS;
    while (cacheStore.freedMillis() == 0 && MonotonicClock.millis() < end) {
      generate(settings.get(other));
      Thread.sleep(20);
    }
    // Requests that are sent after the release must order no fetch either.
    for (int i = 0; i < 20; i++) {
      generate(settings.get(other));
    }

    assertThat(cacheStore.freedMillis()).isPositive();
    List<Long> fetches = ends(returning);
    assertThat(fetches).isNotEmpty().allMatch(fetchEnd -> fetchEnd < cacheStore.freedMillis());
  }

  /** Sends a generation and returns whether it fetches a part from the store. */
  private boolean fetchesFor(GatewaySettings instance) {
    int before = ends(steady).size();
    generate(instance);
    return ends(steady).size() > before;
  }

  /** Returns when the fetches that were ordered from the store must have ended. */
  private List<Long> ends(ReplicaFake engine) {
    return engine.executions().stream()
        .map(ReplicaFake.Execution::headers)
        .filter(
            headers ->
                headers.getOrDefault("kv-source", "").contains(cacheStore.address().toString()))
        .map(headers -> Long.parseLong(headers.getOrDefault("kv-until", "" + Long.MAX_VALUE)))
        .toList();
  }

  private String lease(String field) {
    var lease = metadataStore.content("order-leases", "m0");
    return lease == null || lease.path("weights").asInt() < 2 ? "" : lease.path(field).asText();
  }

  private void generate(GatewaySettings instance) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + instance.callerAddress() + "/stream/a"))
            .header("Attempt-Id", "id" + ++lastId)
            .header("Deadline-Ms", "20000")
            .header("Model", "m0")
            .header("Token-Usage", "100," + ReplicaFake.EVENTS)
            .header("Prefix-Hash", "a1:80,b" + lastId + ":20")
            .POST(HttpRequest.BodyPublishers.ofString("prompt"));
    status(request);
  }

  private int status(String uri) {
    return status(HttpRequest.newBuilder(URI.create(uri)));
  }

  private int status(HttpRequest.Builder request) {
    try {
      return client
          .send(
              request.timeout(Duration.ofSeconds(30)).build(),
              HttpResponse.BodyHandlers.discarding())
          .statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
