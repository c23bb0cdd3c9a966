package org.bulrushpier.daemon.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Collects the body of a response up to a limit, since a faulty server may send without end.
 *
 * <p>Not thread-safe.
 */
public final class BoundedBuffer {

  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private BoundedBuffer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Creates an empty buffer.
   *
   * @param maxBytes the largest number of bytes that it holds
   * @return the buffer
   */
  public static BoundedBuffer of(int maxBytes) {
    return new BoundedBuffer(maxBytes);
  }

  /**
   * Appends bytes.
   *
   * @param added the bytes, all of which are consumed
   * @return false if the limit would be exceeded; the bytes are then discarded
   */
  public boolean append(ByteBuffer added) {
    if (added.remaining() > maxBytes - bytes.size()) {
      added.position(added.limit());
      return false;
    }
    byte[] copy = new byte[added.remaining()];
    added.get(copy);
    bytes.write(copy, 0, copy.length);
    return true;
  }

  /** Returns a copy of the collected bytes. */
  public byte[] toByteArray() {
    return bytes.toByteArray();
  }
}
