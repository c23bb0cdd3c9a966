package org.bulrushpier.rig;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.bulrushpier.Address;
import org.bulrushpier.Finding;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.daemon.serve.Gateway;
import org.bulrushpier.rig.gateway.MetadataStoreFake;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.settings.GatewaySettings;

/**
 * A site with fakes of the metadata store and of engines, and with gateways that exchange
 * datagrams. Used by one thread.
 */
final class GatewaySite implements AutoCloseable {

  /** The time within which new weights must be in place, in milliseconds. */
  static final long CHANGE_MILLIS = 5_000;

  /** More engines than change their weights at the same time. */
  private static final int ENGINES = 6;

  private static final long REGISTRATION_MILLIS = 100;

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
        {"name":"stream1","host":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":2,"can_resume":true},
        {"name":"stream2","host":"127.0.0.2","path_prefix":"/stream/","kind":"streaming",
         "timeout_ms":20000,"goal_ms":5000,"service":"engines","max_attempts":2,"can_resume":true}],
       "services":[
        {"name":"engines","max_conns":50,"engine":{"slots":6,"kv_capacity":50000,"kv_bytes":1000,
         "link_mbps":1000.0,"models":[{"name":"m0"}]}}],
       "limits":{},"tenants":[{"name":"surco","api_keys":["key"],"priority":1}]}
      """;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final MetadataStoreFake metadataStore;
  private final List<ReplicaFake> engines = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final List<String> furtherSettings = new ArrayList<>();
  private final AtomicInteger lastId = new AtomicInteger();

  /** A generation that an engine began to execute at a monotonic time in milliseconds. */
  record Arrival(long millis, ReplicaFake.Execution execution) {
    boolean hasPart(String part) {
      return execution.headers().getOrDefault("prefix-hash", "").contains(part + ":");
    }
  }

  /** An instance of the gateway, which can be stopped and started again with the same addresses. */
  final class Instance {
    private final GatewaySettings settings;
    private Gateway gateway;

    private Instance(GatewaySettings settings) throws IOException {
      this.settings = settings;
      gateway = Gateway.start(settings);
    }

    /** Stops the instance without warning and starts it again. */
    void restart() throws IOException {
      gateway.stop();
      gateway = Gateway.start(settings);
    }

    /** Returns the address for operators. */
    Address metricsAddress() {
      return settings.metricsAddress();
    }

    /** Shuts the instance down gracefully. */
    void shutDown() {
      gateway.shutDown();
    }

    void awaitReady() throws Exception {
      await(() -> status("http://" + settings.readyAddress() + "/ready") == 200);
    }

    /** Sends a generation and returns the status of the response. */
    int generate() {
      return status(generation("a1:80,b2:20"));
    }

    /** Sends a generation and returns the response, also one that ends early. */
    CompletableFuture<HttpResponse<InputStream>> generate(String parts) {
      return client.sendAsync(generation(parts).build(), HttpResponse.BodyHandlers.ofInputStream());
    }

    private HttpRequest.Builder generation(String parts) {
      return requestWithoutPrompt()
          .header("Model", "m0")
          .header("Token-Usage", "100," + ReplicaFake.EVENTS)
          .header("Prefix-Hash", parts);
    }

    /** Returns a request to the engines that does not describe its prompt. */
    HttpRequest.Builder requestWithoutPrompt() {
      return HttpRequest.newBuilder(URI.create("http://" + settings.callerAddress() + "/stream/a"))
          .timeout(Duration.ofSeconds(30))
          .header("Attempt-Id", "id" + lastId.incrementAndGet())
          .header("Deadline-Ms", "20000")
          .header("Authorization", "Bearer key")
          .POST(HttpRequest.BodyPublishers.ofString("prompt"));
    }

    /** Returns the value of a metric without labels. */
    double metric(String name) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + settings.metricsAddress() + "/")).build();
      try {
        return client
            .send(request, HttpResponse.BodyHandlers.ofString())
            .body()
            .lines()
            .filter(line -> line.startsWith(name + " "))
            .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' '))))
            .sum();
      } catch (IOException e) {
        return 0;
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private GatewaySite() throws IOException {
    metadataStore = MetadataStoreFake.start();
  }

  /** Starts the fakes; the engines serve version 1 of the model m0. */
  static GatewaySite start() throws IOException {
    return start(ENGINES);
  }

  /** Starts the fakes with a number of engines that serve version 1 of the model m0. */
  static GatewaySite start(int engines) throws IOException {
    GatewaySite site = new GatewaySite();
    site.metadataStore.put("config", "main", CONFIGURATION);
    site.metadataStore.put("versions", "m0", "{\"model\":\"m0\",\"version\":1}");
    for (int i = 0; i < engines; i++) {
      ReplicaFake engine = ReplicaFake.start("e" + i, Integer.MAX_VALUE, site::recordArrival);
      site.engines.add(engine);
      site.metadataStore.put("servers", "e" + i, engine.entry("engines", "ready"));
    }
    return site;
  }

  /**
   * Starts the fakes with one engine in each of the named failure domains.
   *
   * @param domains the domain of each engine
   * @param settings further lines of the instances' settings
   */
  static GatewaySite startInDomains(List<String> domains, String... settings) throws IOException {
    GatewaySite site = start(domains.size());
    site.furtherSettings.addAll(List.of(settings));
    for (int i = 0; i < domains.size(); i++) {
      ReplicaFake engine = site.engines.get(i);
      engine.setDomain(domains.get(i));
      site.register(engine);
    }
    return site;
  }

  private void recordArrival(ReplicaFake.Execution execution) {
    arrivals.add(new Arrival(MonotonicClock.millis(), execution));
  }

  /** Returns the generations that engines have begun to execute so far. */
  List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** Registers engines again whenever they have come back as another incarnation. */
  void keepRegistered() {
    threads.add(
        Thread.ofVirtual()
            .start(
                () -> {
                  while (!Thread.currentThread().isInterrupted()) {
                    engines.forEach(this::register);
                    Faults.sleep(REGISTRATION_MILLIS);
                  }
                }));
  }

  private void register(ReplicaFake engine) {
    try {
      metadataStore.register(engine, "engines");
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  MetadataStoreFake metadataStore() {
    return metadataStore;
  }

  List<ReplicaFake> engines() {
    return engines;
  }

  /** Requests a version of the model, as an operator does. */
  void requestVersion(int version) throws IOException {
    metadataStore.put("versions", "m0", "{\"model\":\"m0\",\"version\":%d}".formatted(version));
  }

  /** Configures that a cold engine bears so many requests a second. */
  void configureColdEngines(int perSecond) throws IOException {
    metadataStore.put(
        "config",
        "main",
        CONFIGURATION
            .replace("\"version\":1,\"routes\"", "\"version\":2,\"routes\"")
            .replace(
                "\"max_conns\":50", "\"max_conns\":50,\"cold_s\":2.0,\"cold_per_s\":" + perSecond));
  }

  /** Registers an engine as another incarnation that is cold for some time. */
  void registerCold(ReplicaFake engine, long coldMillis) throws IOException {
    engine.beginIncarnation();
    metadataStore.put(
        "servers",
        engine.id(),
        engine
            .entry("engines", "ready")
            .replace("\"cold_left_ms\":0", "\"cold_left_ms\":" + coldMillis));
  }

  /** Returns the number of requests that the engines have executed. */
  int executed() {
    return engines.stream().mapToInt(engine -> engine.executions().size()).sum();
  }

  /**
   * Starts one or two instances on loopback addresses of their own, which know the first one as a
   * seed.
   */
  List<Instance> startInstances(int count) throws Exception {
    int port = FreePorts.nextAtHosts(count);
    for (int i = 1; i <= count; i++) {
      instances.add(new Instance(settings("127.0.0." + i, port, "127.0.0.1")));
    }
    for (Instance instance : instances) {
      instance.awaitReady();
      await(() -> instance.metric("bulrushpier_fleet_reporting") == count - 1);
    }
    return List.copyOf(instances);
  }

  /** Starts two instances that reach the store but not each other. */
  List<Instance> startInstancesThatAreCutOff() throws Exception {
    int port = FreePorts.nextAtHosts(2);
    for (int i = 1; i <= 2; i++) {
      instances.add(new Instance(settings("127.0.0." + i, port, "127.0.0.3")));
    }
    for (Instance instance : instances) {
      instance.awaitReady();
    }
    return List.copyOf(instances);
  }

  /** Stops all instances without warning and starts them again. */
  void restartInstances() throws Exception {
    for (Instance instance : instances) {
      instance.gateway.stop();
    }
    for (Instance instance : instances) {
      instance.gateway = Gateway.start(instance.settings);
    }
    for (Instance instance : instances) {
      instance.awaitReady();
    }
  }

  private GatewaySettings settings(String host, int fleetPort, String seed) throws IOException {
    return parse(
        settingsText(
            host,
            metadataStore.address(),
            "fleet-address = " + host + ":" + fleetPort,
            "seeds = " + seed + ":" + fleetPort,
            "order-lease-ms = 300",
            "weights-change-ms = " + CHANGE_MILLIS,
            String.join("\n", furtherSettings)));
  }

  /** Returns the settings file of an instance with new addresses and the given further lines. */
  static String settingsText(String host, Address store, String... lines) throws IOException {
    String format =
        """
        [gateway]
        name = entry-%s
        domain = norte
        caller-address = %s
        ready-address = %s
        metrics-address = %s
        platform-address = %s
        %s
        """;
    return format.formatted(
        host,
        FreePorts.next(host),
        FreePorts.next(host),
        FreePorts.next(host),
        store,
        String.join("\n", lines));
  }

  /** Parses a settings file that must have no findings. */
  static GatewaySettings parse(String text) {
    List<Finding> findings = new ArrayList<>();
    GatewaySettings settings = GatewaySettings.parse("test.ini", text, findings);
    if (!findings.isEmpty()) {
      throw new IllegalStateException(findings.toString());
    }
    return settings;
  }

  private int status(String uri) {
    return status(HttpRequest.newBuilder(URI.create(uri)));
  }

  /** Sends a request and returns the status of the response, or 0 without one. */
  int status(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits until the condition holds; the limit of 60 s is reached only by a test that fails. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + Duration.ofSeconds(60).toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("the condition did not hold within 60 s");
      }
      Thread.sleep(20);
    }
  }

  @Override
  public void close() throws IOException {
    threads.forEach(Thread::interrupt);
    for (Instance instance : instances) {
      instance.gateway.stop();
    }
    for (ReplicaFake engine : engines) {
      engine.close();
    }
    metadataStore.close();
  }
}
