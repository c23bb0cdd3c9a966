package org.bulrushpier.rig.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Client of the launcher script, which starts and signals the processes of a site. This JVM starts
 * no processes itself.
 *
 * <p>Thread-safe, because each command is a single short write to the script's named pipe.
 */
public final class Launcher {

  private static final long START_TIMEOUT_MILLIS = 10_000;
  private static final long POLL_MILLIS = 5;

  private final Path directory;

  private Launcher(Path directory) {
    this.directory = directory;
  }

  /**
   * Returns the launcher whose directory the system property {@code bulrushpier.launcher} names.
   *
   * @return the launcher
   * @throws IllegalStateException if the property is not set
   */
  public static Launcher fromSystemProperty() {
    String directory = System.getProperty("bulrushpier.launcher");
    if (directory == null) {
      throw new IllegalStateException(
          "bulrushpier.launcher is not set: run bin/test or bin/measure");
    }
    return new Launcher(Path.of(directory));
  }

  /**
   * Returns the directory for the processes' files.
   *
   * @return the directory
   */
  public Path directory() {
    return directory;
  }

  /**
   * Starts a process and waits until its PID file exists. Signals sent before still go to an
   * earlier process of that name, as the script handles its orders one after the other.
   *
   * @param name the process's name
   * @param command the main class and its arguments
   */
  public void start(String name, String command) {
    String former = pidText(name);
    send("start " + name + " " + command);
    long deadline = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
    while (pidText(name).equals(former)) {
      if (System.currentTimeMillis() > deadline) {
        throw new IllegalStateException("launcher did not start process " + name);
      }
      org.bulrushpier.rig.Faults.sleep(POLL_MILLIS);
    }
  }

  /** Returns the content of a PID file, or an empty text without one. */
  private String pidText(String name) {
    try {
      return Files.readString(pidFile(name));
    } catch (NoSuchFileException e) {
      return "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Sends a signal to a process.
   *
   * @param name the process's name
   * @param signal the signal's name, such as KILL or STOP
   */
  public void signal(String name, String signal) {
    send("signal " + name + " " + signal);
  }

  /**
   * Returns whether a process is running.
   *
   * @param name the process's name
   * @return true if the process is running
   */
  public boolean isAlive(String name) {
    return ProcessHandle.of(pid(name)).map(ProcessHandle::isAlive).orElse(false);
  }

  /**
   * Returns the resident set size of a process.
   *
   * @param name the process's name
   * @return the size in bytes, or 0 if the process has exited
   */
  public long residentBytes(String name) {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + pid(name) + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("\\D", "")) * 1_024;
        }
      }
    } catch (IOException e) {
      return 0;
    }
    return 0;
  }

  private long pid(String name) {
    try {
      return Long.parseLong(Files.readString(pidFile(name)).strip());
    } catch (IOException e) {
      throw new IllegalStateException(name + " has no PID file: it was never started", e);
    }
  }

  private Path pidFile(String name) {
    return directory.resolve(name + ".pid");
  }

  private void send(String line) {
    try {
      Files.writeString(directory.resolve("orders"), line + "\n", StandardOpenOption.WRITE);
    } catch (IOException e) {
      throw new IllegalStateException("cannot write to the launcher's pipe", e);
    }
  }
}
