import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings change while two machines start: each process gets SIGHUP soon after its start. A
 * process that ends is started again.
 */
final class EarlyHangup {

  /** The number of changes of the settings, each soon after a start of the processes. */
  private static final int CHANGES = 3;

  private static final long SIGNAL_MILLIS = 200;
  private static final long WATCHED_MILLIS = 1_500;

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[],"services":[],"limits":{},"tenants":[]}
      """;

  private EarlyHangup() {}

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
      code = run(site, isTrouble);
    }
    System.exit(code);
  }

  private static int run(Site site, boolean isTrouble) throws Exception {
    site.store.put("config", "main", CONFIGURATION.strip());
    List<Site.Gateway> gateways =
        List.of(site.gateway("front-lima-norte-1"), site.gateway("front-lima-norte-2"));
    List<Integer> ends = new ArrayList<>();
    for (Site.Gateway gateway : gateways) {
      ends.add(runOne(site, gateway, isTrouble));
    }
    for (Site.Gateway gateway : gateways) {
      gateway.awaitReady();
    }
    boolean isBroken = ends.stream().allMatch(count -> count >= CHANGES);
    for (int i = 0; i < gateways.size(); i++) {
      site.log("%s ended by itself %d times", gateways.get(i).name, ends.get(i));
    }
    site.log(isBroken ? "BROKEN" : "held");
    return isBroken ? 1 : 0;
  }

  /** Returns how often the process of a machine ended by itself. */
  private static int runOne(Site site, Site.Gateway gateway, boolean isTrouble) throws Exception {
    int ends = 0;
    gateway.start();
    for (int i = 0; i < CHANGES; i++) {
      Thread.sleep(SIGNAL_MILLIS);
      if (isTrouble) {
        gateway.signal("HUP");
      }
      long end = Site.millis() + WATCHED_MILLIS;
      while (Site.millis() < end && gateway.process.isAlive()) {
        Thread.sleep(20);
      }
      if (!gateway.process.isAlive()) {
        ends++;
        site.log("%s ended by itself with code %d", gateway.name, gateway.process.exitValue());
        gateway.start();
      }
    }
    return ends;
  }
}
