package org.bulrushpier.rig;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushpier.daemon.http.Call;

/**
 * The faults that are injected into a fake, as numeric values by name.
 *
 * <p>A fault is set by {@code PUT /faults/NAME?value=NUMBER}; {@code DELETE /faults} clears all of
 * them. The value of a counted fault is the number of times that it is still to occur. Thread-safe.
 */
public final class Faults {

  private static final String PREFIX = "/faults";

  private final Map<String, Long> values = new ConcurrentHashMap<>();

  /** Creates an instance without faults. */
  public Faults() {}

  /**
   * Handles a request if it sets or clears faults.
   *
   * @param call the request and its response
   * @return false if the request is for another resource and was not handled
   */
  public boolean handle(Call call) {
    if (!call.path().startsWith(PREFIX)) {
      return false;
    }
    if (call.method().equals("DELETE")) {
      values.clear();
    } else {
      String name = call.path().substring(PREFIX.length() + 1);
      values.put(name, call.queryNumber("value", 1));
    }
    call.json(200, values);
    return true;
  }

  /**
   * Returns the value of a fault.
   *
   * @param name the fault's name
   * @return the value, or 0 if the fault is not set
   */
  public long value(String name) {
    return values.getOrDefault(name, 0L);
  }

  /**
   * Decrements a counted fault unless it is 0.
   *
   * @param name the fault's name
   * @return true if the fault occurs now
   */
  public boolean consume(String name) {
    boolean[] occurs = new boolean[1];
    values.computeIfPresent(
        name,
        (n, remaining) -> {
          occurs[0] = remaining > 0;
          return Math.max(0, remaining - 1);
        });
    return occurs[0];
  }

  /**
   * Sleeps for the duration that is the value of a fault.
   *
   * @param name the fault's name
   */
  public void delay(String name) {
    sleep(value(name));
  }

  /**
   * Sleeps; returns early, with the interrupt flag set, if the thread is interrupted.
   *
   * @param millis the duration in milliseconds; no sleep if it is not positive
   */
  public static void sleep(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
