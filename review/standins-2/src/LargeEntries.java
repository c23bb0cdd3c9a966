import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Another writer puts some large entries of another form among those of the replicas. Two gateways
 * serve a plain service before and after that; a gateway that ends is started again.
 */
final class LargeEntries {

  /** The number of entries of the other writer, each smaller than {@code value_bytes}. */
  private static final int ENTRIES = 8;

  /** The small objects in an entry. */
  private static final int OBJECTS = 99_000;

  private static final int VALUE_BYTES = 1_048_576;
  private static final long CALM_MILLIS = 5_000;
  private static final long WATCHED_MILLIS = 25_000;
  private static final long RESTART_MILLIS = 1_000;

  /** More requests than this may not end so (rule LOST). */
  private static final int MAX_LOST = 3;

  /** So many ends of the processes of two machines are a fault (rule Fault). */
  private static final int MAX_ENDS = 3;

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
        {"name":"registro-falla","host":"lima.example","path_prefix":"/defi252/",
         "kind":"non_idempotent","timeout_ms":1500,"goal_ms":100,"priority":2,"service":"fichas",
         "max_attempts":1,"public":false,"sticky":false,"can_resume":false,"gap_aim_ms":0}],
       "services":[{"name":"fichas","health_path":"/health","max_conns":100,"protocol":"h1",
         "tls":false}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
         "idle_timeout_ms":15000},
       "tenants":[{"name":"surco","api_keys":["key-1"],"priority":1}]}
      """;

  private LargeEntries() {}

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
      code = run(site, isTrouble);
    }
    System.exit(code);
  }

  /** Returns an entry of another writer: fields are missing, and models have no name. */
  private static String otherEntry(int number) {
    StringBuilder models = new StringBuilder();
    for (int i = 0; i < OBJECTS; i++) {
      models.append(i == 0 ? "" : ",").append("{\"a\":1}");
    }
    return "{\"service\":\"inventory\",\"number\":" + number + ",\"models\":[" + models + "]}";
  }

  private static int run(Site site, boolean isTrouble) throws Exception {
    site.store.put("config", "main", CONFIGURATION.replace("\n", ""));
    List<Replica> replicas = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Replica replica = new Replica("i-fichas-" + i, "fichas", 200);
      replicas.add(replica);
      site.store.put("servers", replica.id, replica.entry());
    }
    List<Site.Gateway> gateways =
        List.of(site.gateway("front-lima-norte-1"), site.gateway("front-lima-norte-2"));
    for (Site.Gateway gateway : gateways) {
      gateway.start();
    }
    Map<Site.Gateway, Clients> clients = new LinkedHashMap<>();
    for (Site.Gateway gateway : gateways) {
      gateway.awaitReady();
      clients.put(
          gateway,
          new Clients(
              site,
              gateway.callers,
              "/defi252/2f",
              12,
              200,
              gateway.name + ".",
              id -> replicas.stream().anyMatch(replica -> replica.runs.containsKey(id))));
    }
    Thread.sleep(CALM_MILLIS);
    boolean wasServed = clients.values().stream().allMatch(c -> c.served.get() > 0);
    if (!wasServed) {
      site.log("nothing was served before the other entries came");
      return 2;
    }
    if (isTrouble) {
      for (int i = 1; i <= ENTRIES; i++) {
        String entry = otherEntry(i);
        if (entry.length() > VALUE_BYTES) {
          throw new IllegalStateException("an entry is too large");
        }
        site.store.put("servers", "inventory-" + i, entry);
        site.log("another writer puts servers/inventory-%d, %d bytes", i, entry.length());
      }
    }
    Map<Site.Gateway, Integer> ends = watch(site, gateways);
    clients.values().forEach(Clients::close);
    int lost = 0;
    for (Site.Gateway gateway : gateways) {
      Clients own = clients.get(gateway);
      lost += own.lost.get();
      site.log(
          "%s: sent %d, served %d, other answers %d, ran and ended without an answer %d,"
              + " not taken %d; its process ended by itself %d times",
          gateway.name,
          own.sent.get(),
          own.served.get(),
          own.refused.get(),
          own.lost.get(),
          own.unserved.get(),
          ends.get(gateway));
    }
    boolean isBroken =
        lost > MAX_LOST || ends.values().stream().allMatch(count -> count >= MAX_ENDS);
    site.log(isBroken ? "BROKEN" : "held");
    return isBroken ? 1 : 0;
  }

  /** Starts gateways again that end, and counts how often each has ended. */
  private static Map<Site.Gateway, Integer> watch(Site site, List<Site.Gateway> gateways)
      throws Exception {
    Map<Site.Gateway, Integer> ends = new LinkedHashMap<>();
    gateways.forEach(gateway -> ends.put(gateway, 0));
    Map<Site.Gateway, Long> restartMillis = new LinkedHashMap<>();
    long end = Site.millis() + WATCHED_MILLIS;
    while (Site.millis() < end) {
      for (Site.Gateway gateway : gateways) {
        Long restart = restartMillis.get(gateway);
        if (restart == null && !gateway.process.isAlive()) {
          ends.merge(gateway, 1, Integer::sum);
          restartMillis.put(gateway, Site.millis() + RESTART_MILLIS);
          site.log(
              "%s ended by itself with code %d: %s",
              gateway.name, gateway.process.exitValue(), gateway.output().getLast());
        } else if (restart != null && Site.millis() >= restart) {
          restartMillis.remove(gateway);
          gateway.start();
        }
      }
      Thread.sleep(20);
    }
    return ends;
  }
}
