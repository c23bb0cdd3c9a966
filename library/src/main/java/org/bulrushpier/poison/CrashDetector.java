package org.bulrushpier.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushpier.replica.Replica;

/**
 * Tells the crash of a replica from the loss of single connections: a process that ends takes all
 * its connections with it, so a replica that goes on answering other requests after an answer broke
 * off has not crashed. A replica that had said that it leaves ends as planned.
 *
 * <p>Invariant: the answers that break off with a replica within {@value #CONFIRMATION_MILLIS} ms
 * make up one crash. Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class CrashDetector {

  /** The time after which a replica that sends nothing more is taken to have crashed, in ms. */
  static final long CONFIRMATION_MILLIS = 150;

  /**
   * The same while connections with answers that have begun are open, in milliseconds: packets that
   * would end them may have been lost.
   */
  static final long OPEN_CONFIRMATION_MILLIS = 600;

  /** Bytes that were underway when a connection broke off may be read so much later, in ms. */
  private static final long SETTLING_MILLIS = 50;

  private record Suspicion(long millis, Set<String> parts) {}

  private final Map<Replica, Suspicion> suspicions = new LinkedHashMap<>();

  /**
   * Records that the connection of an answer that had begun ended before the answer did.
   *
   * @param replica the replica
   * @param parts the ids of the shared parts of the prompt
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void answerBrokeOff(Replica replica, Collection<String> parts, long nowMillis) {
    if (!replica.isLeaving()) {
      suspicions
          .computeIfAbsent(replica, r -> new Suspicion(nowMillis, new HashSet<>()))
          .parts
          .addAll(parts);
    }
  }

  /**
   * Returns the crashes of which the detector has become certain.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the crashes since the last call
   */
  public List<Crash> confirmed(long nowMillis) {
    List<Crash> crashes = new ArrayList<>();
    Iterator<Map.Entry<Replica, Suspicion>> it = suspicions.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<Replica, Suspicion> entry = it.next();
      Replica replica = entry.getKey();
      Suspicion suspicion = entry.getValue();
      long needed = replica.hasStartedRequest() ? OPEN_CONFIRMATION_MILLIS : CONFIRMATION_MILLIS;
      if (replica.lastActivityMillis() > suspicion.millis + SETTLING_MILLIS) {
        it.remove();
      } else if (nowMillis - suspicion.millis >= needed) {
        it.remove();
        crashes.add(new Crash(replica.entry().incarnation(), suspicion.millis, suspicion.parts));
      }
    }
    return crashes;
  }
}
