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
import java.util.concurrent.TimeUnit;

/** A process of the deploy file's role, with settings like those of a small deployment. */
final class Gateway implements AutoCloseable {

  /** The words of the role's run line in deploy/system.toml. */
  private static final List<String> RUN = runLine();

  private static final List<Gateway> STARTED = new ArrayList<>();

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(Gateway::killAll));
  }

  final String name;
  final String callers;
  private final String ready;
  private final Path settings;
  private final File output;
  private Process process;

  private Gateway(String name, String store, Path folder, int callers, int ready, int first)
      throws IOException {
    this.name = name;
    this.callers = "127.0.0.1:" + callers;
    this.ready = "127.0.0.1:" + ready;
    settings = folder.resolve(name + "-" + callers + ".ini");
    output = folder.resolve(name + "-" + callers + ".log").toFile();
    Files.writeString(
        settings,
        """
        [gateway]
        name = %s
        domain = norte
        caller-address = %s
        ready-address = %s
        metrics-address = 127.0.0.1:%d
        platform-address = %s
        fleet-address = 127.0.0.1:%d
        seeds = 127.0.0.1:%d
        key-revocation-ms = 5000
        shutdown-seconds = 8
        retry-ratio = 0.2
        retry-minimum = 54
        retry-window-seconds = 10
        order-lease-ms = 3000
        weights-change-ms = 8000
        """
            .formatted(name, this.callers, this.ready, first, store, first + 1, first + 1));
  }

  /** Starts a process and waits until it is ready. */
  static Gateway start(String name, String store, Path folder) throws Exception {
    int[] ports = freePorts();
    Gateway gateway = new Gateway(name, store, folder, ports[0], ports[1], ports[2]);
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

  /** Returns free ports: for callers, for the readiness check, and the first of two in a row. */
  private static int[] freePorts() throws IOException {
    try (ServerSocket a = loopback(0); ServerSocket b = loopback(0)) {
      for (int attempt = 0; attempt < 50; attempt++) {
        try (ServerSocket c = loopback(0)) {
          int port = c.getLocalPort();
          try (DatagramSocket d =
              new DatagramSocket(port + 1, InetAddress.getByName("127.0.0.1"))) {
            return new int[] {a.getLocalPort(), b.getLocalPort(), port};
          } catch (IOException e) {
            continue;
          }
        }
      }
    }
    throw new CannotRun("no free ports");
  }

  private static ServerSocket loopback(int port) throws IOException {
    return new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
  }

  /** The case cannot be run. */
  static final class CannotRun extends RuntimeException {
    CannotRun(String message) {
      super(message);
    }
  }
}
