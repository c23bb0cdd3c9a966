package org.bulrushpier.daemon.serve;

import java.nio.ByteBuffer;
import java.util.List;
import org.bulrushpier.daemon.net.MessageBuffer;
import org.bulrushpier.daemon.net.OutboundRequest;
import org.bulrushpier.limit.ByteBudget;
import org.bulrushpier.stream.EventSplitter;

/**
 * What is kept of an upstream's response: its whole body, or the event of a stream that is not yet
 * complete.
 *
 * <p>A body of known length waits at the upstream until there is room for all of it. One of unknown
 * length grows as it arrives; if there is no more room, the largest of these gives way, as a faulty
 * upstream may send without end.
 *
 * <p>Guarded by the loop's lock.
 */
final class ResponseBody {

  /** The largest body that is collected before it is forwarded, in bytes. */
  static final int MAX_BYTES = 4 * 1_024 * 1_024;

  /** A growing array may take twice the bytes that it holds. */
  private static final int ARRAY_GROWTH = 2;

  private final EventSplitter splitter = new EventSplitter();
  private final ByteBudget.Account account;
  private final MessageBuffer buffer;
  private boolean isReleased;

  private ResponseBody(ByteBudget.Account account) {
    this.account = account;
    this.buffer = MessageBuffer.of(account, MAX_BYTES);
  }

  /**
   * Begins a body of known length, which is not read before there is room for it.
   *
   * @param budget the budget
   * @param length the length in bytes, at most {@link #MAX_BYTES}
   * @param outbound the request, whose response waits if there is no room
   * @return the body
   */
  static ResponseBody ofLength(ByteBudget budget, int length, OutboundRequest outbound) {
    ResponseBody body = new ResponseBody(budget.open(ByteBudget.Use.RESPONSE));
    if (!body.buffer.reserve(length, outbound::resume)) {
      outbound.pause();
    }
    return body;
  }

  /**
   * Begins a body of unknown length or a stream.
   *
   * @param budget the budget
   * @param evicted ends the attempt, as others need the room
   * @return the body
   */
  static ResponseBody ofUnknownLength(ByteBudget budget, Runnable evicted) {
    return new ResponseBody(budget.openEvictable(ByteBudget.Use.RESPONSE, evicted));
  }

  /**
   * Appends bytes of a body that is collected.
   *
   * @param bytes the bytes, all of which are consumed
   * @return whether they were kept; otherwise the body is too long or there is no room
   */
  boolean append(ByteBuffer bytes) {
    return isReleased || buffer.append(bytes);
  }

  /**
   * Appends bytes of a stream.
   *
   * @param bytes the bytes, all of which are consumed
   * @param sink receives the events that they complete
   * @return whether the rest was kept; otherwise the event is too long or there is no room
   */
  boolean feed(ByteBuffer bytes, EventSplitter.Sink sink) {
    splitter.feed(bytes, sink);
    return isReleased
        || (!splitter.isTooLong() && account.resize(ARRAY_GROWTH * splitter.partialBytes()));
  }

  /** Returns whether a stream so far ends in the middle of an event. */
  boolean isPartial() {
    return splitter.isPartial();
  }

  /** Returns the collected bytes, which must not be changed. */
  List<ByteBuffer> buffers() {
    return buffer.buffers();
  }

  /** Keeps nothing any more, also of bytes that follow. */
  void release() {
    isReleased = true;
    splitter.reset();
    buffer.release();
  }
}
