import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A process of the deploy file's role, with settings like those of a small deployment. */
final class Gateway implements AutoCloseable {

  /** The words of the role's run line in deploy/system.toml. */
  private static final List<String> RUN = runLine();

  private static final List<Gateway> STARTED = new ArrayList<>();

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(Gateway::killAll));
  }

  /** The loopback hosts of machines, which all use the same ports. */
  private static final List<String> HOSTS =
      List.of("127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5");

  private static final int SEEDS = 3;
  private static final int PORTS = 5;

  /** The first of the ports, which are free on all hosts. */
  private static final int FIRST_PORT = freePorts();

  final String name;
  final String callers;
  private final String ready;
  private final Path settings;
  private final File output;
  private Process process;

  private Gateway(String name, int machine, int machines, String store, Path folder)
      throws IOException {
    this.name = name;
    String host = HOSTS.get(machine);
    callers = host + ":" + FIRST_PORT;
    ready = host + ":" + (FIRST_PORT + 1);
    settings = folder.resolve(name + ".ini");
    output = folder.resolve(name + ".log").toFile();
    String seeds =
        HOSTS.stream()
            .limit(Math.min(machines, SEEDS))
            .map(seed -> seed + ":" + (FIRST_PORT + 2))
            .collect(Collectors.joining(","));
    Files.writeString(
        settings,
        """
        [gateway]
        name = %s
        domain = norte
        caller-address = %s
        ready-address = %s
        metrics-address = %s:%d
        platform-address = %s
        fleet-address = %s:%d
        seeds = %s
        key-revocation-ms = 5000
        shutdown-seconds = 8
        retry-ratio = 0.2
        retry-minimum = 54
        retry-window-seconds = 10
        order-lease-ms = 3000
        weights-change-ms = 8000
        """
            .formatted(
                name, callers, ready, host, FIRST_PORT + 3, store, host, FIRST_PORT + 4, seeds));
  }

  /** Starts the process of a deployment's only machine, and waits until it is ready. */
  static Gateway start(String name, String store, Path folder) throws Exception {
    return start(name, 0, 1, store, folder);
  }

  /**
   * Starts the process of one of several machines, and waits until it is ready.
   *
   * @param machine the number of the machine, from 0
   * @param machines the number of machines, at most 4
   */
  static Gateway start(String name, int machine, int machines, String store, Path folder)
      throws Exception {
    Gateway gateway = new Gateway(name, machine, machines, store, folder);
    synchronized (STARTED) {
      STARTED.add(gateway);
    }
    gateway.launch();
    gateway.awaitReady();
    return gateway;
  }

  private void launch() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(RUN).redirectErrorStream(true);
    builder.environment().put("BULRUSHPIER_NODE_FILE", settings.toString());
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output));
    process = builder.start();
  }

  /** Starts a process that was killed, as the platform does. */
  void startAgain() throws IOException {
    launch();
  }

  private void awaitReady() throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!isReady()) {
      if (System.nanoTime() > end || !process.isAlive()) {
        throw new CannotRun(name + " did not become ready");
      }
      Thread.sleep(50);
    }
  }

  /** Asks the question that the platform asks. */
  boolean isReady() {
    try (Http.Connection connection = Http.Connection.open(ready, 500)) {
      return connection.exchange("GET", "/ready", Map.of("Host", ready), new byte[0]).status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the exit value of a process that has ended. */
  int exitValue() {
    return process.exitValue();
  }

  /** Returns the last line of the output that is neither a log event nor a warning. */
  String lastWords() throws IOException {
    return Files.readAllLines(output.toPath()).stream()
        .filter(line -> !line.startsWith("{") && !line.startsWith("WARNING"))
        .reduce("", (first, second) -> second);
  }

  private static void killAll() {
    synchronized (STARTED) {
      for (Gateway gateway : STARTED) {
        if (gateway.process != null) {
          gateway.process.destroyForcibly();
        }
      }
    }
  }

  @Override
  public void close() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  private static List<String> runLine() {
    try {
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = ")) {
          return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
      }
    } catch (IOException e) {
      throw new CannotRun(e.toString());
    }
    throw new CannotRun("deploy/system.toml has no run line");
  }

  private static int freePorts() {
    for (int attempt = 0; attempt < 200; attempt++) {
      int first = ThreadLocalRandom.current().nextInt(20_000, 30_000);
      if (HOSTS.stream().allMatch(host -> areFree(host, first))) {
        return first;
      }
    }
    throw new CannotRun("no free ports");
  }

  private static boolean areFree(String host, int first) {
    for (int port = first; port < first + PORTS; port++) {
      try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName(host));
          DatagramSocket udp = new DatagramSocket(port, InetAddress.getByName(host))) {
        continue;
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  /** The case cannot be run. */
  static final class CannotRun extends RuntimeException {
    CannotRun(String message) {
      super(message);
    }
  }
}
