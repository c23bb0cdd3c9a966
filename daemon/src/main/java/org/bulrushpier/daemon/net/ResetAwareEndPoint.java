package org.bulrushpier.daemon.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An end point that distinguishes a connection reset from an orderly close.
 *
 * <p>Jetty's own end point reports both as the end of input, but a response without a length is
 * complete only after an orderly close. Thread safety is that of its superclass.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {

  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return -1;
    }
    int position = BufferUtil.flipToFill(buffer);
    try {
      int filled = getChannel().read(buffer);
      if (filled > 0) {
        notIdle();
      } else if (filled < 0) {
        shutdownInput();
      }
      return filled;
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
  }
}
