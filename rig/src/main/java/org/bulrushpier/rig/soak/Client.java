package org.bulrushpier.rig.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.Faults;
import org.bulrushpier.rig.gateway.CallerFake;
import org.bulrushpier.rig.gateway.CallerFake.Answer;
import org.bulrushpier.rig.gateway.CallerFake.Call;
import org.bulrushpier.rig.gateway.CallerFake.Route;

/**
 * A client that makes calls one after the other until it is stopped.
 *
 * <p>It either keeps its connection as long as the connection lasts, also to an instance that is
 * not ready, or makes each call over a new connection to a ready instance. Not thread-safe, except
 * for {@link #stop}.
 */
final class Client implements Runnable {

  private static final long WAIT_MILLIS = 6_000;
  private static final int TIMEOUT_MILLIS = 8_000;
  private static final int MAX_PAUSE_MILLIS = 400;

  /** One in so many calls over a connection that is kept comes after a long pause. */
  private static final int LONG_PAUSES = 8;

  private static final int SESSIONS = 30;
  private static final int MAX_EVENTS = 40;
  private static final int LONG_EVENTS = 100;

  private final SoakSite site;
  private final Observer observer;
  private final String name;
  private final boolean keepsConnection;
  private final Random random;
  private int calls;
  private long idleSinceMillis;
  private CallerFake caller;
  private Instance instance;
  private Instance.Run run;
  private volatile boolean isStopped;

  Client(SoakSite site, Observer observer, String name, boolean keepsConnection, long seed) {
    this.site = site;
    this.observer = observer;
    this.name = name;
    this.keepsConnection = keepsConnection;
    this.random = new Random(seed);
  }

  /** Makes the client return after its current call. */
  void stop() {
    isStopped = true;
  }

  @Override
  public void run() {
    try {
      while (!isStopped) {
        pause();
        List<Instance> ready = site.instances().stream().filter(Instance::isReady).toList();
        if (caller != null
            || (!ready.isEmpty() && connect(ready.get(random.nextInt(ready.size()))))) {
          int kind = random.nextInt(100);
          call(
              kind < 45
                  ? Route.STREAM
                  : kind < 65 ? Route.NOTE : kind < 85 ? Route.ONCE : Route.SAFE);
        }
      }
      disconnect();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits before the next call, at times for long on an open connection. */
  private void pause() throws IOException {
    if (caller == null || random.nextInt(LONG_PAUSES) > 0) {
      Faults.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    } else {
      long longest = observer.longestPauseMillis(instance, run, idleSinceMillis);
      Faults.sleep((long) (random.nextDouble() * longest));
    }
    if (caller != null
        && idleMillis() > observer.longestPauseMillis(instance, run, idleSinceMillis)) {
      disconnect();
    }
  }

  private long idleMillis() {
    return MonotonicClock.millis() - idleSinceMillis;
  }

  /** Connects to an instance; returns false if it cannot be reached. */
  boolean connect(Instance target) {
    try {
      instance = target;
      run = target.run();
      caller = CallerFake.open(target.callerAddress(), TIMEOUT_MILLIS);
      idleSinceMillis = MonotonicClock.millis();
      return true;
    } catch (IOException e) {
      caller = null;
      return false;
    }
  }

  /** Makes a call over the present connection. */
  Answer call(Route route) throws IOException {
    return call(route, "", "body");
  }

  /**
   * Makes a call with a given body over the present connection, whose prompt has a further part
   * unless it is empty.
   */
  Answer call(Route route, String part, String body) throws IOException {
    int customer = random.nextInt(site.keys().size());
    List<String> customers = List.copyOf(site.keys().keySet());
    int events = random.nextInt(20) == 0 ? LONG_EVENTS : 1 + random.nextInt(MAX_EVENTS);
    Call call =
        new Call(
            name + "-" + ++calls,
            route,
            site.keys().get(customers.get(customer)),
            random.nextInt(SESSIONS),
            events,
            WAIT_MILLIS,
            part);
    observer.callBegins(call, customers.get(customer), instance, run, idleSinceMillis);
    Answer answer = caller.send(call, body);
    idleSinceMillis = MonotonicClock.millis();
    observer.callEnds(call, answer);
    if (!answer.isWhole() || !keepsConnection) {
      disconnect();
    }
    return answer;
  }

  private void disconnect() throws IOException {
    if (caller != null) {
      caller.close();
      caller = null;
    }
  }
}
