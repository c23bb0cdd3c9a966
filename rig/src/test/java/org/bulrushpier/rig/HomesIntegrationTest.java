package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.List;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.GatewaySite.Arrival;
import org.bulrushpier.rig.GatewaySite.Instance;
import org.bulrushpier.rig.gateway.CacheStoreFake;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that requests run only in their homes and that their cached parts stay there. */
class HomesIntegrationTest {

  private static final int CALLS = 12;

  private GatewaySite site;
  private CacheStoreFake limaStore;
  private CacheStoreFake cuscoStore;
  private int version = 1;

  @BeforeEach
  void start() throws Exception {
    site =
        GatewaySite.startInDomains(
            List.of("norte", "centro", "norte", "centro"),
            "evacuation-ms = 3000",
            "domain-regions = norte:lima,centro:cusco");
    limaStore = CacheStoreFake.start("other", "a1", 80);
    cuscoStore = CacheStoreFake.start("other", "a1", 80);
  }

  @AfterEach
  void stop() throws Exception {
    site.close();
    limaStore.close();
    cuscoStore.close();
  }

  /** Writes a configuration with stores and with homes of the routes and of the customer. */
  private void configure(List<String> routes, List<String> customer) throws IOException {
    ObjectNode content = site.metadataStore().content("config", "main").deepCopy();
    content.put("version", ++version);
    content
        .withArray("routes")
        .forEach(route -> routes.forEach(((ObjectNode) route).putArray("allowed_regions")::add));
    ObjectNode holder = (ObjectNode) content.withArray("tenants").get(0);
    customer.forEach(holder.putArray("allowed_regions")::add);
    addStore(content, "store-lima", limaStore, "norte");
    addStore(content, "store-cusco", cuscoStore, "centro");
    site.metadataStore().put("config", "main", content.toString());
  }

  private static void addStore(
      ObjectNode content, String name, CacheStoreFake store, String domain) {
    content
        .withArray("services")
        .addObject()
        .put("name", name)
        .put("kv_store_addr", store.address().toString())
        .put("zone", domain)
        .put("kv_capacity", 1_000_000)
        .put("link_mbps", 1_000.0)
        .put("managed", true);
  }

  private List<Arrival> arrivalsOf(Instance instance) throws Exception {
    long from = MonotonicClock.millis();
    for (int i = 0; i < CALLS; i++) {
      String parts = "%x:900,%x:900,%x:20".formatted(0xa000 + i, 0xb0000 + i, 0xc0000 + i);
      HttpResponse<InputStream> response = instance.generate(parts).get();
      response.body().readAllBytes();
      assertThat(response.statusCode()).isEqualTo(200);
    }
    return site.arrivals().stream().filter(arrival -> arrival.millis() >= from).toList();
  }

  private static List<String> values(List<Arrival> arrivals, String header) {
    return arrivals.stream()
        .map(arrival -> arrival.execution().headers().getOrDefault(header, ""))
        .toList();
  }

  @Test
  void requestsWithHomesRunAndSavePartsThereOnly() throws Exception {
    configure(List.of("lima"), List.of());
    Instance instance = site.startInstances(1).get(0);
    // Stores are used from their first report on.
    Thread.sleep(500);

    List<Arrival> arrivals = arrivalsOf(instance);

    assertThat(arrivals).extracting(a -> a.execution().replica()).isSubsetOf("e0", "e2");
    assertThat(values(arrivals, "kv-target"))
        .anyMatch(targets -> targets.contains(limaStore.address().toString()))
        .noneMatch(targets -> targets.contains(cuscoStore.address().toString()));
    assertThat(values(arrivals, "cache-salt")).allMatch(salt -> salt.contains("/homes."));
  }

  @Test
  void homesOfRouteAndCustomerBothBind() throws Exception {
    configure(List.of("lima", "cusco"), List.of("cusco"));
    Instance instance = site.startInstances(1).get(0);

    assertThat(arrivalsOf(instance))
        .extracting(a -> a.execution().replica())
        .isSubsetOf("e1", "e3");
  }

  @Test
  void requestsWithoutHomesRunEverywhereUnderTheCommonSalt() throws Exception {
    configure(List.of(), List.of());
    Instance instance = site.startInstances(1).get(0);

    List<Arrival> arrivals = arrivalsOf(instance);

    assertThat(arrivals).extracting(a -> a.execution().replica()).contains("e0", "e1");
    assertThat(values(arrivals, "cache-salt")).allMatch("m0/1/"::equals);
  }

  @Test
  void requestsAreRefusedAtOnceIfNoHomeIsReachable() throws Exception {
    configure(List.of("lima"), List.of("cusco"));
    Instance instance = site.startInstances(1).get(0);
    assertRefusedAtOnce(instance);

    configure(List.of("lima"), List.of());
    GatewaySite.await(() -> instance.generate() == 200);
    site.metadataStore().put("evacuations", "norte", "{}");
    GatewaySite.await(() -> instance.metric("bulrushpier_domains_evacuated") == 1);
    assertRefusedAtOnce(instance);
  }

  private void assertRefusedAtOnce(Instance instance) throws Exception {
    int executed = site.executed();
    long sent = MonotonicClock.millis();
    assertThat(instance.generate()).isEqualTo(503);
    assertThat(MonotonicClock.millis() - sent).isLessThan(500);
    assertThat(site.executed()).isEqualTo(executed);
  }
}
