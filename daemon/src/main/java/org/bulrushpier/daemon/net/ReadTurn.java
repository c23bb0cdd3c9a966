package org.bulrushpier.daemon.net;

import java.nio.ByteBuffer;
import org.bulrushpier.MonotonicClock;

/**
 * Bounds how long the loop handles the bytes of one connection before timers and other connections
 * get their turn.
 *
 * <p>The time that bytes take to handle depends on their content, which a peer may choose so that
 * handling them takes longer than sending them. Each read is therefore half as large as the one
 * before if that took too long. Guarded by the loop's lock.
 */
final class ReadTurn {

  /** Time after which a turn ends, in milliseconds. */
  static final long MAX_MILLIS = 2;

  /** Bytes after which a turn ends. */
  private static final int MAX_BYTES = 4 * EventLoop.READ_BYTES;

  private static final int MIN_READ_BYTES = 1_024;

  private int readBytes = EventLoop.READ_BYTES;
  private int turnBytes;
  private long startMillis;

  /** Begins a turn. */
  void begin() {
    turnBytes = 0;
    startMillis = MonotonicClock.millis();
  }

  /** Returns an empty buffer for the next read, which shares the content of the given one. */
  ByteBuffer buffer(ByteBuffer shared) {
    return shared.slice(0, readBytes).limit(0);
  }

  /**
   * Records that bytes were read and handled.
   *
   * @param bytes the number of bytes
   * @return whether the turn goes on, as more bytes are likely to have arrived and there is time
   */
  boolean goesOnAfter(int bytes) {
    boolean isLikelyDrained = bytes < readBytes / 2;
    turnBytes += bytes;
    boolean isLate = MonotonicClock.millis() - startMillis >= MAX_MILLIS;
    readBytes =
        isLate
            ? Math.max(MIN_READ_BYTES, readBytes / 2)
            : Math.min(EventLoop.READ_BYTES, readBytes * 2);
    return !isLikelyDrained && !isLate && turnBytes < MAX_BYTES;
  }
}
