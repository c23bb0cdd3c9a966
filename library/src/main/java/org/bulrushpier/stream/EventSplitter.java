package org.bulrushpier.stream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>An upstream may fail in the middle of an event, so only complete events may be forwarded if
 * another upstream is to continue the stream. Not thread-safe.
 */
public final class EventSplitter {

  /** Given in place of an id for a block that is no event, such as a comment. */
  public static final long NO_EVENT = -2;

  private static final byte[] DATA = "data".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final int DECIMAL = 10;

  /** The length above which an event is considered malformed, in bytes. */
  private static final int MAX_EVENT_BYTES = 1_024 * 1_024;

  private final ByteArrayOutputStream event = new ByteArrayOutputStream(256);
  private boolean isLineStart = true;
  private boolean isLineEmpty = true;

  /** Receives complete events. */
  @FunctionalInterface
  public interface Sink {

    /**
     * Receives an event.
     *
     * @param bytes the bytes of the event, including the terminating empty line
     * @param id the id of the event, -1 if it has no numeric id, or {@link #NO_EVENT}
     */
    void event(byte[] bytes, long id);
  }

  /**
   * Processes the next bytes of the stream.
   *
   * @param bytes the bytes, all of which are consumed
   * @param sink receives the events that these bytes complete
   */
  public void feed(ByteBuffer bytes, Sink sink) {
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      event.write(next);
      if (next == '\n') {
        if (isLineStart || isLineEmpty) {
          emit(sink);
        }
        isLineStart = true;
        isLineEmpty = true;
      } else {
        isLineStart = false;
        isLineEmpty &= next == '\r';
      }
    }
  }

  /**
   * Returns whether the stream so far ends in the middle of an event.
   *
   * @return true if an incomplete event is buffered
   */
  public boolean isPartial() {
    return event.size() > 0;
  }

  /** Returns the length of the incomplete event, in bytes. */
  public long partialBytes() {
    return event.size();
  }

  /**
   * Returns whether the incomplete event exceeds the permitted length, so that the stream should be
   * closed.
   *
   * @return true if it is longer than {@value #MAX_EVENT_BYTES} bytes
   */
  public boolean isTooLong() {
    return event.size() > MAX_EVENT_BYTES;
  }

  /** Discards the incomplete event, if any. */
  public void reset() {
    event.reset();
    isLineStart = true;
    isLineEmpty = true;
  }

  private void emit(Sink sink) {
    byte[] bytes = event.toByteArray();
    event.reset();
    sink.event(bytes, id(bytes));
  }

  /** Returns the number in the id line of a block, -1 if it has data only, or NO_EVENT. */
  private static long id(byte[] bytes) {
    long absent = NO_EVENT;
    int start = 0;
    while (start < bytes.length) {
      int end = start;
      while (end < bytes.length && bytes[end] != '\n') {
        end++;
      }
      if (startsWith(bytes, start, ID)) {
        return number(bytes, start + ID.length, end);
      }
      if (startsWith(bytes, start, DATA)) {
        absent = -1;
      }
      start = end + 1;
    }
    return absent;
  }

  private static boolean startsWith(byte[] bytes, int offset, byte[] prefix) {
    if (offset + prefix.length > bytes.length) {
      return false;
    }
    for (int i = 0; i < prefix.length; i++) {
      if (bytes[offset + i] != prefix[i]) {
        return false;
      }
    }
    return true;
  }

  private static long number(byte[] bytes, int from, int to) {
    long value = -1;
    for (int i = from; i < to; i++) {
      if (bytes[i] >= '0' && bytes[i] <= '9') {
        value = Math.max(0, value) * DECIMAL + bytes[i] - '0';
      } else if (bytes[i] != ' ' && bytes[i] != '\r') {
        return -1;
      }
    }
    return value;
  }
}
