package org.bulrushpier.daemon;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Counts the bytes read from a stream.
 *
 * <p>Not thread-safe; confined to one reader.
 */
final class CountingInputStream extends FilterInputStream {

  private long count;

  CountingInputStream(InputStream in) {
    super(in);
  }

  /** Returns the number of bytes read since the last call. */
  long drainCount() {
    long drained = count;
    count = 0;
    return drained;
  }

  @Override
  public int read() throws IOException {
    int value = super.read();
    count += value < 0 ? 0 : 1;
    return value;
  }

  @Override
  public int read(byte[] bytes, int offset, int length) throws IOException {
    int read = super.read(bytes, offset, length);
    count += Math.max(0, read);
    return read;
  }
}
