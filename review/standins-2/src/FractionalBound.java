import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The settings change: {@code grace_s} becomes 7.5, which the deploy file's template writes as
 * {@code shutdown-seconds}. The machines get SIGHUP, and later are stopped and started in turn.
 */
final class FractionalBound {

  private static final String FRACTION = "7.5";
  private static final String WHOLE = "7";
  private static final long CALM_MILLIS = 3_000;
  private static final long GRACE_MILLIS = 8_000;
  private static final long START_MILLIS = 5_000;
  private static final long RESTART_MILLIS = 1_000;

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

  private FractionalBound() {}

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
      code = run(site, isTrouble);
    }
    System.exit(code);
  }

  private static int run(Site site, boolean isTrouble) throws Exception {
    site.store.put("config", "main", CONFIGURATION.replace("\n", ""));
    Replica replica = new Replica("i-fichas-1", "fichas", 20);
    site.store.put("servers", replica.id, replica.entry());
    List<Site.Gateway> gateways =
        List.of(site.gateway("front-lima-norte-1"), site.gateway("front-lima-norte-2"));
    for (Site.Gateway gateway : gateways) {
      gateway.start();
    }
    List<Clients> clients = new ArrayList<>();
    for (Site.Gateway gateway : gateways) {
      gateway.awaitReady();
      clients.add(
          new Clients(
              site,
              gateway.callers,
              "/defi252/2f",
              4,
              200,
              gateway.name + ".",
              replica.runs::containsKey));
    }
    Thread.sleep(CALM_MILLIS);
    if (clients.stream().anyMatch(c -> c.served.get() == 0)) {
      site.log("nothing was served before the settings changed");
      return 2;
    }
    for (Site.Gateway gateway : gateways) {
      gateway.set("shutdown-seconds", isTrouble ? FRACTION : WHOLE);
      gateway.signal("HUP");
    }
    Thread.sleep(CALM_MILLIS);
    List<Integer> ends = new ArrayList<>();
    for (Site.Gateway gateway : gateways) {
      ends.add(restart(site, gateway));
    }
    List<Integer> servedBefore = clients.stream().map(c -> c.served.get()).toList();
    Thread.sleep(CALM_MILLIS);
    clients.forEach(Clients::close);
    for (int i = 0; i < gateways.size(); i++) {
      Clients own = clients.get(i);
      site.log(
          "%s: sent %d, served %d, of these %d after the restarts, not taken %d; its process ended"
              + " by itself %d times",
          gateways.get(i).name,
          own.sent.get(),
          own.served.get(),
          own.served.get() - servedBefore.get(i),
          own.unserved.get(),
          ends.get(i));
    }
    boolean isBroken = ends.stream().allMatch(count -> count >= MAX_ENDS);
    site.log(isBroken ? "BROKEN" : "held");
    return isBroken ? 1 : 0;
  }

  /** Stops and starts a machine as planned; returns how often its process ended by itself. */
  private static int restart(Site site, Site.Gateway gateway) throws Exception {
    gateway.signal("TERM");
    if (!gateway.process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
      gateway.signal("KILL");
      gateway.process.waitFor();
    }
    site.log("%s has stopped", gateway.name);
    for (int ends = 0; ends < MAX_ENDS; ends++) {
      gateway.start();
      long end = Site.millis() + START_MILLIS;
      while (Site.millis() < end && gateway.process.isAlive() && !gateway.isReady()) {
        Thread.sleep(50);
      }
      if (gateway.process.isAlive()) {
        return ends;
      }
      site.log(
          "%s ended by itself with code %d: %s",
          gateway.name, gateway.process.exitValue(), gateway.output().getLast());
      Thread.sleep(RESTART_MILLIS);
    }
    return MAX_ENDS;
  }
}
