package org.bulrushpier.daemon.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.limit.UnreadBytes;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Base class of inbound and outbound HTTP/1.1 connections: reads with the loop's lock held and
 * queues buffers to be written.
 *
 * <p>Invariant: the bytes of one connection are handled for no longer than a {@link ReadTurn}; then
 * the connection queues behind all others that are readable.
 *
 * <p>Nothing is read before the connection has been set up, as the selector's thread may handle
 * what arrives while another one opens the connection.
 *
 * <p>Reading goes on while a response is pending, so that the end of the connection is noticed
 * immediately, unless the subclass pauses it. A connection that closes after its last write first
 * ends its output and discards what still arrives, since closing a socket with unread bytes resets
 * it and could destroy that write on its way. Guarded by the loop's lock.
 */
abstract class HttpConnection extends AbstractConnection {

  private static final Logger log = LoggerFactory.getLogger("net");

  /**
   * The largest buffer that is passed to a write, in bytes. Writing copies it to memory outside of
   * the heap, which the thread keeps.
   */
  private static final int MAX_WRITE_BYTES = 64 * 1_024;

  /** Maximum number of queued buffers passed to one write. */
  private static final int MAX_BUFFERS_PER_WRITE = 16;

  /**
   * Maximum bytes queued for a peer that does not read; a write beyond it closes the connection.
   */
  private static final long MAX_QUEUED_BYTES = 4L * 1_024 * 1_024;

  /** How long input is discarded after the last write, in milliseconds. */
  private static final long LINGER_MILLIS = 1_000;

  final EventLoop loop;
  private final ArrayDeque<ByteBuffer> writeQueue = new ArrayDeque<>();
  private long queuedBytes;
  private long writingBytes;
  private final UnreadBytes unread = new UnreadBytes();
  private boolean isWriting;
  private boolean closesAfterWrite;
  private boolean isLingering;
  private boolean isClosed;
  private boolean isReading;
  private boolean isReadingPaused;
  private final ReadTurn turn = new ReadTurn();
  private final Callback readCallback = new ReadCallback();

  HttpConnection(EventLoop loop, EndPoint endPoint) {
    super(endPoint, loop.threads());
    this.loop = loop;
  }

  /** Sets the connection up, before anything is read from it. */
  abstract void opened();

  /** Handles bytes that were read. The buffer is shared, so bytes that are kept must be copied. */
  abstract void received(ByteBuffer bytes);

  /** The peer closed its side, or the connection failed if {@code isReset} is true. */
  abstract void ended(boolean isReset, String detail);

  @Override
  public final void onOpen() {
    super.onOpen();
    loop.run(
        () -> {
          opened();
          awaitReadable();
        });
  }

  @Override
  public void onFillable() {
    loop.run(this::read);
  }

  private void awaitReadable() {
    if (!isClosed && !isReadingPaused && getEndPoint().isOpen()) {
      getEndPoint().fillInterested(readCallback);
    }
  }

  private void read() {
    if (readAvailable()) {
      awaitReadable();
    }
  }

  /**
   * Reads what has arrived, for at most one turn. Between two notifications this finds bytes of
   * which the connection has not been notified yet, as after a stall of this process.
   *
   * @return false if the connection ended
   */
  final boolean readAvailable() {
    isReading = true;
    turn.begin();
    try {
      boolean goesOn = true;
      while (goesOn && !isClosed && !isReadingPaused) {
        ByteBuffer buffer = turn.buffer(loop.readBuffer());
        int count = getEndPoint().fill(buffer);
        if (count < 0) {
          finish(false, "the peer closed the connection");
          return false;
        }
        if (count > 0 && !closesAfterWrite) {
          received(buffer);
        }
        goesOn = turn.goesOnAfter(count);
      }
    } catch (IOException e) {
      finish(true, String.valueOf(e.getMessage()));
      return false;
    } catch (RuntimeException | StackOverflowError | AssertionError e) {
      log.error(
          "net: bytes from {} could not be handled.", getEndPoint().getRemoteSocketAddress(), e);
      finish(true, "the bytes received could not be handled");
      return false;
    } finally {
      isReading = false;
      flush();
      recordPendingOutput();
    }
    return true;
  }

  private void finish(boolean isReset, String detail) {
    if (isClosed) {
      return;
    }
    if (!isLingering) {
      ended(isReset, detail);
    }
    disconnect();
  }

  /** Queues a buffer, which is written at once unless a read is in progress that may add more. */
  final void write(ByteBuffer buffer) {
    if (isClosed || !buffer.hasRemaining()) {
      return;
    }
    if (queuedBytes > MAX_QUEUED_BYTES) {
      queueFull(queuedBytes + writingBytes);
      return;
    }
    queuedBytes += buffer.remaining();
    unread.written(buffer.remaining(), MonotonicClock.millis());
    for (int start = buffer.position(); start < buffer.limit(); start += MAX_WRITE_BYTES) {
      writeQueue.add(buffer.slice(start, Math.min(MAX_WRITE_BYTES, buffer.limit() - start)));
    }
    if (!isReading) {
      flush();
      recordPendingOutput();
    }
  }

  private void flush() {
    if (isWriting || isClosed) {
      return;
    }
    if (writeQueue.isEmpty()) {
      if (closesAfterWrite && !isLingering) {
        linger();
      }
      return;
    }
    int count = Math.min(MAX_BUFFERS_PER_WRITE, writeQueue.size());
    ByteBuffer[] buffers = new ByteBuffer[count];
    for (int i = 0; i < count; i++) {
      buffers[i] = writeQueue.poll();
      queuedBytes -= buffers[i].remaining();
      writingBytes += buffers[i].remaining();
    }
    isWriting = true;
    getEndPoint().write(new WriteCallback(), buffers);
  }

  /**
   * The peer has not read all that was written.
   *
   * @param bytes the bytes that wait to be written
   */
  void outputPending(long bytes) {}

  /**
   * The peer has read so little that no more is queued for it; the connection must be closed.
   *
   * @param bytes the bytes that wait to be written
   */
  void queueFull(long bytes) {
    finish(true, "the peer does not read");
  }

  /** The connection was closed and keeps no bytes any more. */
  void closed() {}

  private void recordPendingOutput() {
    if (!isClosed) {
      outputPending(queuedBytes + writingBytes);
    }
  }

  /** Returns the age of the oldest byte that waits to be written, in milliseconds; 0 if none. */
  final long unreadMillis() {
    return unread.oldestMillis(MonotonicClock.millis());
  }

  private void linger() {
    isLingering = true;
    getEndPoint().shutdownOutput();
    loop.after(LINGER_MILLIS, this::disconnect);
    resumeReading();
  }

  /** Stops reading, so that the peer's bytes stay in the socket until reading is resumed. */
  final void pauseReading() {
    isReadingPaused = true;
  }

  /** Continues to read after a pause. */
  final void resumeReading() {
    if (isReadingPaused) {
      isReadingPaused = false;
      if (!isReading) {
        awaitReadable();
      }
    }
  }

  /** Returns whether bytes wait to be written. */
  final boolean isWritePending() {
    return !isClosed && (isWriting || !writeQueue.isEmpty());
  }

  /** Closes the connection once all queued buffers are written and the peer has closed its side. */
  final void closeAfterWrite() {
    closesAfterWrite = true;
    flush();
  }

  /** Returns whether the connection is closed or reads no more as it will be closed. */
  final boolean isClosing() {
    return isClosed || closesAfterWrite;
  }

  /** Closes the connection immediately; {@link #ended} is not called. */
  final void disconnect() {
    if (!isClosed) {
      isClosed = true;
      writeQueue.clear();
      getEndPoint().close();
      closed();
    }
  }

  /**
   * Returns whether the connection is closed.
   *
   * @return true once either side has closed it
   */
  public final boolean isClosed() {
    return isClosed;
  }

  /** Reads when bytes are available. */
  private final class ReadCallback implements Callback {
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

  /** Continues with the queue after a write. */
  private final class WriteCallback implements Callback {
    @Override
    public void succeeded() {
      loop.run(
          () -> {
            isWriting = false;
            unread.read(writingBytes);
            writingBytes = 0;
            flush();
            recordPendingOutput();
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
