package org.bulrushpier.daemon.net;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.limit.ByteBudget;

/**
 * Collects the body of a message up to a limit and within the budget, since a faulty peer may send
 * without end.
 *
 * <p>Bytes are kept in segments, so that growing neither copies nor doubles them. Guarded by the
 * loop's lock.
 */
public final class MessageBuffer {

  private static final int MIN_SEGMENT_BYTES = 1_024;
  private static final int MAX_SEGMENT_BYTES = 64 * 1_024;

  private final ByteBudget.Account account;
  private final int maxBytes;
  private final List<byte[]> segments = new ArrayList<>();
  private int lastSegmentBytes;
  private int size;

  private MessageBuffer(ByteBudget.Account account, int maxBytes) {
    this.account = account;
    this.maxBytes = maxBytes;
  }

  /**
   * Creates an empty buffer.
   *
   * @param account accounts for the bytes; closed by {@link #release}
   * @param maxBytes the largest number of bytes that it holds
   * @return the buffer
   */
  public static MessageBuffer of(ByteBudget.Account account, int maxBytes) {
    return new MessageBuffer(account, maxBytes);
  }

  /**
   * Makes room for a body whose length is known before its first byte has arrived.
   *
   * @param length the length in bytes
   * @param granted called when there is room, if that is not now
   * @return whether there is room now
   */
  public boolean reserve(int length, Runnable granted) {
    if (account.growOrWait(length, () -> grantSegment(length, granted))) {
      addSegment(length);
      return true;
    }
    return false;
  }

  private void grantSegment(int length, Runnable granted) {
    addSegment(length);
    granted.run();
  }

  private void addSegment(int length) {
    segments.add(new byte[length]);
    lastSegmentBytes = 0;
  }

  /**
   * Appends bytes.
   *
   * @param added the bytes, all of which are consumed
   * @return whether the bytes were kept; otherwise they exceed the limit or the budget
   */
  public boolean append(ByteBuffer added) {
    if (added.remaining() > maxBytes - size) {
      added.position(added.limit());
      return false;
    }
    while (added.hasRemaining()) {
      if (roomInLastSegment() == 0 && !addNextSegment(added.remaining())) {
        added.position(added.limit());
        return false;
      }
      int count = Math.min(added.remaining(), roomInLastSegment());
      added.get(segments.getLast(), lastSegmentBytes, count);
      lastSegmentBytes += count;
      size += count;
    }
    return true;
  }

  private int roomInLastSegment() {
    return segments.isEmpty() ? 0 : segments.getLast().length - lastSegmentBytes;
  }

  private boolean addNextSegment(int needed) {
    int length = Math.clamp(Math.max(needed, size), MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
    if (!account.grow(length)) {
      return false;
    }
    addSegment(length);
    return true;
  }

  /** Returns the number of collected bytes. */
  public int size() {
    return size;
  }

  /** Returns the collected bytes, which must not be changed, without copying them. */
  public List<ByteBuffer> buffers() {
    List<ByteBuffer> buffers = new ArrayList<>();
    for (byte[] segment : segments) {
      boolean isLast = segment == segments.getLast();
      buffers.add(ByteBuffer.wrap(segment, 0, isLast ? lastSegmentBytes : segment.length));
    }
    return buffers;
  }

  /** Returns the collected bytes in one array, which must not be changed and replaces them here. */
  public byte[] toByteArray() {
    if (segments.size() != 1 || segments.getFirst().length != size) {
      ByteBuffer all = ByteBuffer.allocate(size);
      buffers().forEach(all::put);
      segments.clear();
      segments.add(all.array());
      lastSegmentBytes = size;
    }
    return segments.getFirst();
  }

  /** Discards the bytes. */
  public void release() {
    segments.clear();
    lastSegmentBytes = 0;
    size = 0;
    account.close();
  }
}
