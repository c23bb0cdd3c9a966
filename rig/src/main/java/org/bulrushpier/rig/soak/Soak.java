package org.bulrushpier.rig.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.gateway.CallerFake.Route;
import org.bulrushpier.rig.site.Launcher;
import org.bulrushpier.rig.soak.Observer.Promise;

/**
 * A soak: real instances of the gateway serve clients while faults are played that are drawn from a
 * seed, and the promises to callers and operators are checked. With an even seed, one instance of
 * each failure domain reads the metadata store for the others.
 *
 * <pre>{@code
 * Soak.Result result = Soak.run(Launcher.fromSystemProperty(), 1, 60);
 * }</pre>
 *
 * <p>The seed determines the faults and the calls, but not their timing relative to each other. The
 * faults and violations are logged in {@code soak.log} in the launcher's directory, beside the logs
 * of the instances. Not thread-safe.
 */
public final class Soak {

  private static final int CLIENTS = 40;
  private static final long START_TIMEOUT_MILLIS = 30_000;
  private static final long RECOVERY_TIMEOUT_MILLIS = 40_000;
  private static final long POLL_MILLIS = 100;

  private final PrintWriter log;
  private final Observer observer;
  private final SoakSite site;

  /**
   * What a soak saw. Immutable and thread-safe.
   *
   * @param seed the seed
   * @param faults the number of faults
   * @param versions the newest version of the weights
   * @param counts the counts of executions and answers
   * @param violations the violations by promise
   */
  public record Result(
      long seed,
      int faults,
      int versions,
      Map<String, Integer> counts,
      Map<String, List<String>> violations) {

    /** Returns the result with only the first violations of each promise. */
    Result shortened(int count) {
      Map<String, List<String>> first = new TreeMap<>();
      violations.forEach(
          (promise, texts) -> first.put(promise, texts.subList(0, Math.min(count, texts.size()))));
      return new Result(seed, faults, versions, counts, first);
    }
  }

  private Soak(Launcher launcher, int storeReaders) throws IOException {
    log = new PrintWriter(Files.newBufferedWriter(launcher.directory().resolve("soak.log")), true);
    observer = new Observer(this::log);
    site = SoakSite.start(launcher, observer, storeReaders);
  }

  /**
   * Runs a soak.
   *
   * @param launcher the launcher, which the soak has to itself
   * @param seed the seed
   * @param seconds the time in which faults start, in seconds
   * @return what was seen
   * @throws IOException if the fakes cannot be started
   */
  public static Result run(Launcher launcher, long seed, int seconds) throws IOException {
    return play(
        launcher,
        seed,
        Schedule.draw(
            seed, seconds * 1_000L, SoakSite.INSTANCES, SoakSite.ENGINES, SoakSite.REPLICAS));
  }

  /** Runs a soak with the given faults; the seed determines the calls. */
  static Result play(Launcher launcher, long seed, Schedule schedule) throws IOException {
    Soak soak = new Soak(launcher, seed % 2 == 0 ? 1 : 0);
    try (soak.log;
        soak.site) {
      return soak.playAndCheck(seed, schedule);
    }
  }

  private synchronized void log(String text) {
    log.println(Instant.now() + " " + text);
  }

  private Result playAndCheck(long seed, Schedule schedule) throws IOException {
    if (!await(this::isReady, START_TIMEOUT_MILLIS)) {
      throw new IllegalStateException("not all instances became ready");
    }
    List<Client> clients = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Client client = new Client(site, observer, "c" + i, i % 2 == 0, seed * CLIENTS + i);
      clients.add(client);
      threads.add(Thread.ofVirtual().start(client));
    }
    playFaults(schedule);
    log("all faults have ended");
    checkRecovery();
    observer.count("watchesAtReaders", site.watchesAtReaders());
    clients.forEach(Client::stop);
    join(threads);
    return new Result(
        seed, schedule.entries().size(), site.version(), observer.counts(), observer.violations());
  }

  private boolean isReady() {
    return site.instances().stream().allMatch(Instance::isReady);
  }

  private static boolean await(BooleanSupplier condition, long millis) {
    long deadline = MonotonicClock.millis() + millis;
    while (!condition.getAsBoolean()) {
      if (MonotonicClock.millis() > deadline) {
        return false;
      }
      Faults.sleep(POLL_MILLIS);
    }
    return true;
  }

  private void playFaults(Schedule schedule) {
    long start = MonotonicClock.millis();
    List<Thread> threads = new ArrayList<>();
    for (Schedule.Entry entry : schedule.entries()) {
      Faults.sleep(start + entry.atMillis() - MonotonicClock.millis());
      log(entry.toString());
      threads.add(Thread.ofVirtual().start(() -> site.play(entry.fault())));
    }
    join(threads);
  }

  private static void join(List<Thread> threads) {
    try {
      for (Thread thread : threads) {
        thread.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Checks that the newest weights get in place and that each instance answers all calls. */
  private void checkRecovery() throws IOException {
    if (!await(this::isReady, RECOVERY_TIMEOUT_MILLIS)) {
      observer.violated(Promise.RECOVERY, "not all instances became ready again");
    }
    if (!await(() -> site.outdatedEngines().isEmpty(), RECOVERY_TIMEOUT_MILLIS)) {
      observer.violated(
          Promise.RECOVERY,
          "outdated engines: " + site.outdatedEngines() + ", requested: " + site.version());
    }
    for (Instance instance : site.instances()) {
      for (Route route : Route.values()) {
        Client client =
            new Client(site, observer, instance.name() + "-" + route, false, instance.hashCode());
        if (!await(() -> isAnswered(client, instance, route), RECOVERY_TIMEOUT_MILLIS)) {
          observer.violated(Promise.RECOVERY, route + " at " + instance.name() + " not answered");
        }
      }
    }
  }

  private static boolean isAnswered(Client client, Instance instance, Route route) {
    try {
      return client.connect(instance) && client.call(route).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }
}
