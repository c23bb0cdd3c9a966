package org.bulrushpier.daemon.serve;

import org.bulrushpier.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured lines for decisions and changed beliefs.
 *
 * <pre>{@code
 * log.event("placed", "request", id, "replica", replica, "expectedMs", expected);
 * }</pre>
 *
 * <p>Bounded: beyond a number of lines a second, lines are counted instead of written, and the
 * count follows in a line of its own. Lines leave through an appender that drops rather than
 * blocks. Confined to the loop's lock.
 */
final class EventLog {

  /** Lines a second: several for each request that an instance of today can serve. */
  private static final int LINES_PER_SECOND = 600;

  private static final long SECOND_MILLIS = 1_000;
  private static final Logger log = LoggerFactory.getLogger("events");

  private long secondStart;
  private int lines;
  private long dropped;

  /** Writes a line; names and values alternate. */
  void event(String event, Object... pairs) {
    long now = MonotonicClock.millis();
    if (now - secondStart >= SECOND_MILLIS) {
      secondStart = now;
      lines = 0;
      if (dropped > 0) {
        log.atInfo().addKeyValue("lines", dropped).log("lines-dropped");
        dropped = 0;
      }
    }
    if (++lines > LINES_PER_SECOND) {
      dropped++;
      return;
    }
    LoggingEventBuilder line = log.atInfo();
    for (int i = 0; i + 1 < pairs.length; i += 2) {
      line = line.addKeyValue(pairs[i].toString(), pairs[i + 1]);
    }
    line.log(event);
  }
}
