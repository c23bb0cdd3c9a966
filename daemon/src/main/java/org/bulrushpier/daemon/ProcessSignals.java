package org.bulrushpier.daemon;

import java.io.IOException;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The signals to a server process: SIGHUP asks it to read its settings again, SIGTERM to shut down.
 *
 * <p>They may come at any time from the first moment on, while nothing can act on them yet. They
 * are taken over before anything else is done, kept until the server has started, and passed on
 * then. Until they are taken over, the runtime ends the process on SIGHUP.
 *
 * <p>Invariants: a server does not start after SIGTERM, and one that has begun to start is shut
 * down; the listener gets one call at a time. Thread-safe.
 */
public final class ProcessSignals {

  private static final ProcessSignals INSTANCE = new ProcessSignals();

  private final Object lock = new Object();
  private Listener listener;
  private boolean isReloadDue;
  private boolean isTerminated;

  private ProcessSignals() {}

  /** Acts on signals. */
  public interface Listener {

    /** Reads the settings again. */
    void reload();

    /** Shuts down; the process ends when the call returns. */
    void terminate();
  }

  /** Starts a server. */
  @FunctionalInterface
  public interface Starter {

    /**
     * Starts the server.
     *
     * @return what acts on signals from now on
     * @throws IOException if the server cannot start
     */
    Listener start() throws IOException;
  }

  /** Takes the signals over; to be called first in a process that serves. */
  public static void install() {
    // Lambdas would cost some ms more at a start without a class data sharing archive.
    Signal.handle(
        new Signal("HUP"),
        new SignalHandler() {
          @Override
          public void handle(Signal signal) {
            INSTANCE.reload();
          }
        });
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread("shutdown") {
              @Override
              public void run() {
                INSTANCE.terminate();
              }
            });
  }

  /** Returns the signals of this process. */
  public static ProcessSignals installed() {
    return INSTANCE;
  }

  /** Creates signals that are passed on by calls, for tests. */
  static ProcessSignals ofCalls() {
    return new ProcessSignals();
  }

  /**
   * Starts the server unless the process is ending, and passes on what has come before.
   *
   * @param starter starts the server
   * @throws IOException if it cannot start
   */
  public void start(Starter starter) throws IOException {
    synchronized (lock) {
      if (isTerminated) {
        return;
      }
      listener = starter.start();
      if (isReloadDue) {
        isReloadDue = false;
        listener.reload();
      }
    }
  }

  /** Handles SIGHUP. */
  void reload() {
    synchronized (lock) {
      if (listener == null) {
        isReloadDue = true;
      } else {
        listener.reload();
      }
    }
  }

  /** Handles the end of the process, for which SIGTERM is the usual reason. */
  void terminate() {
    Listener active;
    synchronized (lock) {
      isTerminated = true;
      active = listener;
    }
    if (active != null) {
      active.terminate();
    }
  }
}
