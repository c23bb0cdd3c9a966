package org.bulrushpier.rig.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The copies of runs that all replicas of the process hold for each other. Thread-safe.
 *
 * <p>A copy is complete as soon as it is begun, and lasts until its run has ended or its holder has
 * crashed.
 */
final class RunCopiesFake {

  private static final Set<String> COPIES = ConcurrentHashMap.newKeySet();

  private RunCopiesFake() {}

  /** Begins the copy that a request orders, if it orders one. */
  static void begin(RawHttpServer.Request request) {
    if (!request.header("kv-backup").isEmpty()) {
      COPIES.add(request.header("kv-backup") + "/" + request.header("attempt-id"));
    }
  }

  /** Removes the copy that a request has ordered. */
  static void end(RawHttpServer.Request request) {
    COPIES.remove(request.header("kv-backup") + "/" + request.header("attempt-id"));
  }

  /** Uses up the copy that a request names; returns false if there is none at this holder. */
  static boolean use(RawHttpServer.Request request, String holder) {
    return request.header("kv-from").startsWith(holder + "/")
        && COPIES.remove(request.header("kv-from"));
  }

  /** Removes all copies of a holder. */
  static void clear(String holder) {
    COPIES.removeIf(copy -> copy.startsWith(holder + "/"));
  }
}
