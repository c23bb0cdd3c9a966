package org.bulrushpier.stream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream of server-sent events into whole events.
 *
 * <p>An upstream may stop in the middle of an event, so only whole events may be passed on where
 * another upstream shall continue the stream. Not thread-safe.
 */
public final class EventSplitter {

  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final int DECIMAL = 10;

  private final ByteArrayOutputStream event = new ByteArrayOutputStream(256);
  private boolean isLineStart = true;
  private boolean isLineEmpty = true;

  /** Takes whole events. */
  @FunctionalInterface
  public interface Sink {

    /**
     * Takes an event.
     *
     * @param bytes the event with its closing empty line
     * @param id its id, or -1 if it has none
     */
    void event(byte[] bytes, long id);
  }

  /**
   * Takes bytes of the stream.
   *
   * @param bytes the bytes; all are consumed
   * @param sink takes the events that became whole
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
   * Tells whether the bytes so far end in the middle of an event.
   *
   * @return true if part of an event is left
   */
  public boolean isPartial() {
    return event.size() > 0;
  }

  /** Forgets a part of an event. */
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

  /** Finds the number in the event's id line. */
  private static long id(byte[] bytes) {
    int start = 0;
    while (start < bytes.length) {
      int end = start;
      while (end < bytes.length && bytes[end] != '\n') {
        end++;
      }
      if (startsWith(bytes, start, ID)) {
        return number(bytes, start + ID.length, end);
      }
      start = end + 1;
    }
    return -1;
  }

  private static boolean startsWith(byte[] bytes, int at, byte[] prefix) {
    if (at + prefix.length > bytes.length) {
      return false;
    }
    for (int i = 0; i < prefix.length; i++) {
      if (bytes[at + i] != prefix[i]) {
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
