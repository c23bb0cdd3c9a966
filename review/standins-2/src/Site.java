import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A small deployment: a store, gateways as processes of their own, and a record of the run. */
final class Site implements AutoCloseable {

  static final long START = System.nanoTime();

  final Store store;
  private final Path root;
  private final Path folder;
  private final PrintWriter record;
  private final int fleetPort = freePort();
  private final List<Gateway> gateways = new ArrayList<>();

  /**
   * Starts the store.
   *
   * @param root the repository, in which the program starts
   * @param record the file to which the run is written
   */
  Site(Path root, Path record) throws IOException {
    this.root = root;
    this.record = new PrintWriter(Files.newBufferedWriter(record), true);
    folder = Files.createTempDirectory("bulrushpier-review");
    store = new Store();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** Returns the time since the start of the run, in milliseconds. */
  static long millis() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  synchronized void log(String format, Object... values) {
    record.println(
        String.format(Locale.ROOT, "%8.3f s  ", millis() / 1000.0)
            + String.format(Locale.ROOT, format, values));
  }

  /** Returns a port that is free at the addresses of all machines. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Returns the address of a machine; all machines use the same port to find each other. */
  private static String host(int machine) {
    return "127.0.0." + (machine + 1);
  }

  /** A gateway process, started with the line of the deploy file. */
  final class Gateway {
    final String name;
    final String callers;
    final String ready;
    private final Path settings;
    Process process;

    private Gateway(String name, String platform) throws IOException {
      this.name = name;
      String host = host(gateways.size());
      callers = host + ":" + freePort();
      ready = host + ":" + freePort();
      settings = folder.resolve(name + ".ini");
      Files.writeString(
          settings,
          String.join(
              "\n",
              "[gateway]",
              "name = " + name,
              "domain = lima-norte",
              "caller-address = " + callers,
              "ready-address = " + ready,
              "metrics-address = " + host + ":" + freePort(),
              "platform-address = " + platform,
              "fleet-address = " + host + ":" + fleetPort,
              "seeds = " + host(0) + ":" + fleetPort + "," + host(1) + ":" + fleetPort,
              "key-revocation-ms = 5000",
              "shutdown-seconds = 8",
              "retry-ratio = 0.2",
              "retry-minimum = 54",
              "retry-window-seconds = 10",
              "order-lease-ms = 3000",
              "weights-change-ms = 8000",
              "store-readers = 2",
              "region = lima",
              "domain-regions = lima-norte:lima,lima-centro:lima,lima-sur:lima",
              ""));
    }

    /** Replaces a value in the settings file. */
    void set(String key, String value) throws IOException {
      Files.writeString(
          settings,
          Files.readString(settings).replaceAll("(?m)^" + key + " = .*$", key + " = " + value));
      log("%s: its settings file says %s = %s now", name, key, value);
    }

    void start() throws IOException {
      ProcessBuilder builder =
          new ProcessBuilder(
              "target/gateway/runtime/bin/java",
              "@target/gateway/java.args",
              "org.bulrushpier.daemon.Main",
              "gateway");
      builder.directory(root.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("BULRUSHPIER_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = builder.start();
      log("%s started as process %d", name, process.pid());
    }

    /** Returns the lines that the process has written, without the path of its settings file. */
    List<String> output() throws IOException {
      String path = folder.toString() + "/";
      return Files.readAllLines(folder.resolve(name + ".log")).stream()
          .map(line -> line.replace(path, ""))
          .toList();
    }

    boolean isReady() {
      try (Http.Conn conn = Http.connect(ready)) {
        return conn.call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]).status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    void awaitReady() throws Exception {
      long end = millis() + 30_000;
      while (!isReady()) {
        if (millis() > end || !process.isAlive()) {
          throw new IllegalStateException(name + " is not ready");
        }
        Thread.sleep(50);
      }
      log("%s is ready", name);
    }

    void signal(String signal) throws Exception {
      log("%s gets SIG%s", name, signal);
      new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }
  }

  Gateway gateway(String name) throws IOException {
    return gateway(name, store.address());
  }

  Gateway gateway(String name, String platform) throws IOException {
    Gateway gateway = new Gateway(name, platform);
    gateways.add(gateway);
    return gateway;
  }

  private void endProcesses() {
    for (Gateway gateway : gateways) {
      if (gateway.process != null) {
        gateway.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    try {
      for (Gateway gateway : gateways) {
        if (gateway.process != null) {
          gateway.process.waitFor(5, TimeUnit.SECONDS);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    store.close();
    record.close();
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }
}
