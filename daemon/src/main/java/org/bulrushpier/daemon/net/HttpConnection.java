package org.bulrushpier.daemon.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/**
 * What both ends of HTTP/1.1 share: reading under the loop's lock, and a queue of pieces to write.
 *
 * <p>Reading never pauses while an answer is due, so that the end of the connection is noticed at
 * once. Confined to the loop's lock.
 */
abstract class HttpConnection extends AbstractConnection {

  /** How many pieces one write takes from the queue. */
  private static final int PIECES_PER_WRITE = 16;

  /** Bytes queued to a peer that does not read, after which the connection is given up. */
  private static final long MAX_QUEUED_BYTES = 4L * 1_024 * 1_024;

  final NetLoop loop;
  private final ArrayDeque<ByteBuffer> outbound = new ArrayDeque<>();
  private long queuedBytes;
  private boolean isWriting;
  private boolean closesAfterWrite;
  private boolean isClosed;
  private boolean isReading;
  private final Callback readable = new Readable();

  HttpConnection(NetLoop loop, EndPoint endPoint) {
    super(endPoint, loop.threads());
    this.loop = loop;
  }

  /** Takes bytes that were read. The buffer is shared: what is kept must be copied. */
  abstract void received(ByteBuffer bytes);

  /** The peer ended its side, or the connection failed; {@code isReset} tells which. */
  abstract void ended(boolean isReset, String detail);

  @Override
  public void onOpen() {
    super.onOpen();
    loop.run(this::interest);
  }

  @Override
  public void onFillable() {
    loop.run(this::read);
  }

  private void interest() {
    if (!isClosed && getEndPoint().isOpen()) {
      getEndPoint().fillInterested(readable);
    }
  }

  private void read() {
    isReading = true;
    try {
      while (!isClosed) {
        ByteBuffer buffer = loop.readBuffer();
        buffer.clear().limit(0);
        int count = getEndPoint().fill(buffer);
        if (count < 0) {
          finish(false, "the peer closed the connection");
          return;
        }
        if (count == 0) {
          break;
        }
        received(buffer);
        if (count < NetLoop.READ_BYTES / 2) {
          break;
        }
      }
    } catch (IOException e) {
      finish(true, String.valueOf(e.getMessage()));
      return;
    } finally {
      isReading = false;
      flush();
    }
    interest();
  }

  private void finish(boolean isReset, String detail) {
    if (isClosed) {
      return;
    }
    ended(isReset, detail);
    disconnect();
  }

  /** Queues a piece; it is written at once unless more is being read that may add to it. */
  final void write(ByteBuffer piece) {
    if (isClosed || !piece.hasRemaining()) {
      return;
    }
    outbound.add(piece);
    queuedBytes += piece.remaining();
    if (queuedBytes > MAX_QUEUED_BYTES) {
      finish(true, "the peer does not read");
      return;
    }
    if (!isReading) {
      flush();
    }
  }

  private void flush() {
    if (isWriting || isClosed) {
      return;
    }
    if (outbound.isEmpty()) {
      if (closesAfterWrite) {
        disconnect();
      }
      return;
    }
    int count = Math.min(PIECES_PER_WRITE, outbound.size());
    ByteBuffer[] pieces = new ByteBuffer[count];
    for (int i = 0; i < count; i++) {
      pieces[i] = outbound.poll();
      queuedBytes -= pieces[i].remaining();
    }
    isWriting = true;
    getEndPoint().write(new Written(), pieces);
  }

  /** Closes once everything queued is written. */
  final void closeAfterWrite() {
    closesAfterWrite = true;
    flush();
  }

  /** Closes at once; nothing more is told. */
  final void disconnect() {
    if (!isClosed) {
      isClosed = true;
      outbound.clear();
      getEndPoint().close();
    }
  }

  /**
   * Tells whether the connection is over.
   *
   * @return true once either side has ended it
   */
  public final boolean isClosed() {
    return isClosed;
  }

  /** What follows when bytes can be read. */
  private final class Readable implements Callback {
    @Override
    public void succeeded() {
      onFillable();
    }

    @Override
    public void failed(Throwable cause) {
      loop.run(() -> finish(true, String.valueOf(cause)));
    }

    @Override
    public InvocationType getInvocationType() {
      return InvocationType.NON_BLOCKING;
    }
  }

  /** What follows a write. */
  private final class Written implements Callback {
    @Override
    public void succeeded() {
      loop.run(
          () -> {
            isWriting = false;
            flush();
          });
    }

    @Override
    public void failed(Throwable cause) {
      loop.run(
          () -> {
            isWriting = false;
            finish(true, String.valueOf(cause.getMessage()));
          });
    }

    @Override
    public InvocationType getInvocationType() {
      return InvocationType.NON_BLOCKING;
    }
  }
}
