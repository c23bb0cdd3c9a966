package org.bulrushpier.daemon.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection to an upstream or to the platform, which carries one request at a time.
 *
 * <p>Invariants: bytes that arrive while no response is pending close the connection, as they
 * belong to no request; a response to another request is discarded entirely, and so many of them or
 * such long ones close the connection; a response without a length is complete only when the peer
 * closes the connection in order, never when it resets it. Guarded by the loop's lock.
 */
final class OutboundConnection extends HttpConnection {

  /** Connect timeout, in milliseconds: tens of round trips. */
  static final long CONNECT_TIMEOUT_MILLIS = 300;

  private static final Logger log = LoggerFactory.getLogger("net");
  private static final int MAX_HEAD_BYTES = 32 * 1_024;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_STATUS = 599;

  /** The most interim responses before a final one. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  /** The most responses to other requests before the one to the pending request. */
  private static final int MAX_MISMATCHED_RESPONSES = 16;

  /** The most bytes of responses to other requests, framing included. */
  private static final int MAX_MISMATCHED_BYTES = 4 * 1_024 * 1_024;

  /**
   * Subtracted from an announced idle time, in milliseconds, so that the peer never closes first.
   */
  private static final long IDLE_MARGIN_MILLIS = 500;

  private final ConnectionPool.Group group;
  private final HttpParser parser;
  private OutboundRequest request;
  private HttpFields.Mutable fields = HttpFields.build();
  private int requests;
  private int status;
  private int interimResponses;
  private int mismatchedResponses;
  private int mismatchedBytes;
  private boolean isMismatched;
  private boolean isPaused;

  /** Bytes that had been read when reading was paused. */
  private ByteBuffer unread;

  private boolean isPersistent = true;
  private boolean isResponsePending;
  private boolean isHttp11;
  private long idleMillis;
  private long idleSinceMillis;

  OutboundConnection(EventLoop loop, EndPoint endPoint, Opening opening) {
    super(loop, endPoint);
    this.group = opening.group();
    this.parser = new HttpParser(new ResponseParserHandler(), MAX_HEAD_BYTES);
    this.idleMillis = group.idleMillis();
  }

  /** A connection that is being opened. */
  static final class Opening {
    private final ConnectionPool.Group group;
    private SocketChannel channel;
    private boolean isFailed;

    Opening(ConnectionPool.Group group) {
      this.group = group;
    }

    ConnectionPool.Group group() {
      return group;
    }

    void channel(SocketChannel opened) {
      channel = opened;
    }

    void failed(Throwable failure) {
      if (!isFailed) {
        isFailed = true;
        group.openFailed(failure);
        try {
          if (channel != null) {
            channel.close();
          }
        } catch (IOException e) {
          log.debug("net: cannot close socket.", e);
        }
      }
    }
  }

  @Override
  void opened() {
    group.opened(this);
  }

  void send(OutboundRequest outbound) {
    request = outbound;
    requests++;
    isResponsePending = true;
    isMismatched = false;
    interimResponses = 0;
    mismatchedResponses = 0;
    mismatchedBytes = 0;
    outbound.assigned(this);
    parser.setHeadResponse("HEAD".equals(outbound.method()));
    write(HttpEncoder.requestHead(outbound.method(), outbound.target(), outbound.fields()));
    if (outbound.body().length > 0) {
      write(ByteBuffer.wrap(outbound.body()));
    }
  }

  /** Closes the connection without notifying the listener of its request. */
  void drop() {
    request = null;
    isResponsePending = false;
    group.closed(this);
    disconnect();
  }

  /** Returns how long the connection may stay idle, in milliseconds. */
  long idleMillis() {
    return idleMillis;
  }

  long idleSinceMillis() {
    return idleSinceMillis;
  }

  void idleSinceMillis(long monotonicMillis) {
    idleSinceMillis = monotonicMillis;
  }

  @Override
  void received(ByteBuffer bytes) {
    while (bytes.hasRemaining() && !isClosed() && !isPaused) {
      if (!isResponsePending) {
        log.info(
            "net: {} sent {} unexpected bytes without a pending request; connection closed.",
            group.address(),
            bytes.remaining());
        drop();
        return;
      }
      int unparsed = bytes.remaining();
      parser.parseNext(bytes);
      if (isMismatched) {
        discarded(unparsed - bytes.remaining());
      }
      if (parser.isComplete() && isResponsePending) {
        parser.reset();
      }
    }
    if (isPaused && bytes.hasRemaining()) {
      unread = HttpEncoder.copy(bytes);
    }
    bytes.position(bytes.limit());
    if (!isResponsePending && !isClosed()) {
      group.markIdle(this);
    }
  }

  /** Reads no more of the response until {@link #resume}. */
  void pause() {
    isPaused = true;
    pauseReading();
  }

  /** Continues to read the response. */
  void resume() {
    isPaused = false;
    ByteBuffer next = unread;
    unread = null;
    if (next != null && !isClosed()) {
      received(next);
    }
    if (!isPaused) {
      resumeReading();
    }
  }

  @Override
  void closed() {
    unread = null;
  }

  private void discarded(int count) {
    mismatchedBytes += count;
    if (mismatchedBytes > MAX_MISMATCHED_BYTES && request != null) {
      fail("more than " + MAX_MISMATCHED_BYTES + " bytes of responses to other requests");
    }
  }

  @Override
  void ended(boolean isReset, String detail) {
    group.closed(this);
    if (request == null) {
      return;
    }
    request.listener().disconnected();
    // A peer that closes with unread bytes resets the connection. A failed write may be the only
    // sign of that, and another thread may be about to report it.
    if (!isReset && !isWritePending()) {
      parser.atEOF();
      parser.parseNext(ByteBuffer.allocate(0));
    }
    fail(detail);
  }

  private void fail(String detail) {
    final OutboundRequest failed = request;
    request = null;
    isResponsePending = false;
    group.closed(this);
    if (failed != null) {
      failed.listener().failed(detail);
    }
    disconnect();
  }

  private void responseComplete() {
    if (status < FIRST_FINAL_STATUS && ++interimResponses > MAX_INTERIM_RESPONSES) {
      fail("more than " + MAX_INTERIM_RESPONSES + " interim responses");
      return;
    }
    if (isMismatched && ++mismatchedResponses > MAX_MISMATCHED_RESPONSES) {
      fail("more than " + MAX_MISMATCHED_RESPONSES + " responses to other requests");
      return;
    }
    if (isMismatched || status < FIRST_FINAL_STATUS) {
      if (!isPersistent) {
        fail("the connection ended after an answer to another request");
      }
      return;
    }
    final OutboundRequest done = request;
    request = null;
    isResponsePending = false;
    boolean isReusable = isPersistent && isHttp11 && !parser.isAtEOF();
    if (!isReusable) {
      group.closed(this);
    }
    done.listener().completed();
    if (isReusable) {
      parser.reset();
    } else {
      disconnect();
    }
  }

  /** Handles the parser's events. */
  private final class ResponseParserHandler implements HttpParser.ResponseHandler {

    @Override
    public void startResponse(HttpVersion version, int newStatus, String reason) {
      status = newStatus;
      isHttp11 = version == HttpVersion.HTTP_1_1;
      isPersistent = true;
      fields = HttpFields.build();
    }

    @Override
    public void parsedHeader(HttpField field) {
      fields.add(field);
      if (field.getHeader() == HttpHeader.CONNECTION
          && field.contains(HttpHeaderValue.CLOSE.asString())) {
        isPersistent = false;
      }
      if (field.getHeader() == HttpHeader.KEEP_ALIVE) {
        parseKeepAlive(field.getValue());
      }
    }

    private void parseKeepAlive(String value) {
      int index = value.indexOf("timeout=");
      if (index < 0) {
        return;
      }
      String digits = value.substring(index + "timeout=".length()).split("[^0-9]", 2)[0];
      if (!digits.isEmpty() && digits.length() < Integer.toString(Integer.MAX_VALUE).length()) {
        long announced = Long.parseLong(digits) * 1_000 - IDLE_MARGIN_MILLIS;
        idleMillis = Math.min(group.idleMillis(), Math.max(0, announced));
      }
    }

    @Override
    public boolean headerComplete() {
      if (status > LAST_STATUS) {
        fail("status " + status + " is beyond those of HTTP");
        return true;
      }
      if (request == null || status < FIRST_FINAL_STATUS) {
        return false;
      }
      ResponseHead head =
          new ResponseHead(
              status, fields, parser.getContentLength(), requests == 1 && !isMismatched);
      isMismatched = !request.listener().matches(head);
      if (isMismatched) {
        log.info(
            "net: {} sent a response to another request; response discarded.", group.address());
      } else {
        request.listener().started(head);
      }
      return isPaused;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
      if (!isMismatched && request != null) {
        request.listener().body(bytes);
      }
      bytes.position(bytes.limit());
      return false;
    }

    @Override
    public boolean contentComplete() {
      return false;
    }

    @Override
    public boolean messageComplete() {
      if (request != null) {
        responseComplete();
      }
      return true;
    }

    @Override
    public void earlyEOF() {
      fail("the connection ended before the answer did");
    }

    @Override
    public void badMessage(HttpException failure) {
      fail("the answer cannot be read: " + failure.getReason());
    }
  }
}
