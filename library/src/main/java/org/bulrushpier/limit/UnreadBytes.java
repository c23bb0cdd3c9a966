package org.bulrushpier.limit;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The bytes that were written to a peer and that it has not read, and how old the oldest of them
 * is.
 *
 * <p>Invariant: the age is never too small, and too large by {@value #RESOLUTION_MILLIS} ms at
 * most. Takes no memory beside itself while nothing is unread for longer than that. Not
 * thread-safe.
 */
public final class UnreadBytes {

  /** Bytes written within this time count as written together, in milliseconds. */
  static final long RESOLUTION_MILLIS = 100;

  private Part oldest = Part.NONE;

  /** What was written after the oldest part; null if nothing was. */
  private Queue<Part> later;

  private Part newest = Part.NONE;

  /** Bytes that were written at about the same time. Not thread-safe. */
  private static final class Part {
    static final Part NONE = new Part(0);

    private final long sinceMillis;
    private long bytes;

    Part(long sinceMillis) {
      this.sinceMillis = sinceMillis;
    }
  }

  /**
   * Adds bytes that were written.
   *
   * @param bytes the number of bytes
   * @param nowMillis the monotonic time in milliseconds
   */
  public void written(long bytes, long nowMillis) {
    if (oldest == Part.NONE) {
      oldest = new Part(nowMillis);
      newest = oldest;
    } else if (nowMillis - newest.sinceMillis >= RESOLUTION_MILLIS) {
      newest = new Part(nowMillis);
      if (later == null) {
        later = new ArrayDeque<>();
      }
      later.add(newest);
    }
    newest.bytes += bytes;
  }

  /**
   * Removes the oldest bytes, as the peer has read them.
   *
   * @param bytes the number of bytes
   */
  public void read(long bytes) {
    long remaining = bytes;
    while (oldest != Part.NONE && remaining >= oldest.bytes) {
      remaining -= oldest.bytes;
      next();
    }
    if (oldest != Part.NONE) {
      oldest.bytes -= remaining;
    }
  }

  private void next() {
    oldest = later == null ? Part.NONE : later.remove();
    if (later != null && later.isEmpty()) {
      later = null;
    }
  }

  /**
   * Returns the age of the oldest byte that has not been read.
   *
   * @param nowMillis the monotonic time in milliseconds
   * @return the age in milliseconds, or 0 if everything has been read
   */
  public long oldestMillis(long nowMillis) {
    return oldest == Part.NONE ? 0 : nowMillis - oldest.sinceMillis;
  }
}
