package org.bulrushpier.daemon.serve;

import org.bulrushpier.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes structured log lines for decisions and changes of known state.
 *
 * <pre>{@code
 * log.event("placed", "request", id, "replica", replica, "expectedMs", expected);
 * }</pre>
 *
 * <p>Rate-limited: beyond a fixed number of lines per second, lines are counted instead of written,
 * and the count is written in a separate line. The appender drops lines rather than block. Guarded
 * by the loop's lock.
 */
final class EventLog {

  /** Maximum lines per second: several per request at the load that an instance can serve today. */
  private static final int MAX_LINES_PER_SECOND = 600;

  private static final long SECOND_MILLIS = 1_000;
  private static final Logger log = LoggerFactory.getLogger("events");

  private long windowStartMillis;
  private int lines;
  private long dropped;

  /** Writes a line with the given field names and values, which alternate. */
  void event(String event, Object... pairs) {
    long now = MonotonicClock.millis();
    if (now - windowStartMillis >= SECOND_MILLIS) {
      windowStartMillis = now;
      lines = 0;
      if (dropped > 0) {
        log.atInfo().addKeyValue("lines", dropped).log("lines-dropped");
        dropped = 0;
      }
    }
    if (++lines > MAX_LINES_PER_SECOND) {
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
