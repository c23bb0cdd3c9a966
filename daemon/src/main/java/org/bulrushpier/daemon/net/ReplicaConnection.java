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
 * A connection to an upstream or to the platform: one request at a time.
 *
 * <p>Invariants: bytes that arrive while no request is due close the connection, as they belong to
 * no request; an answer to another request is dropped whole; an answer without a length is complete
 * only when the connection ends in order, never when it is reset. Confined to the loop's lock.
 */
final class ReplicaConnection extends HttpConnection {

  /** How long a connection may take to open, in milliseconds: tens of round trips. */
  static final long CONNECT_MILLIS = 300;

  private static final Logger log = LoggerFactory.getLogger("net");
  private static final int MAX_HEAD_BYTES = 32 * 1_024;
  private static final int FIRST_FINAL_STATUS = 200;

  /** Taken off an announced idle time, in milliseconds, so that the peer never closes first. */
  private static final long IDLE_MARGIN_MILLIS = 500;

  private final ConnectionPool.Group group;
  private final HttpParser parser;
  private Outbound request;
  private HttpFields.Mutable fields = HttpFields.build();
  private int status;
  private boolean isForeign;
  private boolean isPersistent = true;
  private boolean isDue;
  private boolean isHttp11;
  private long idleMillis;
  private long idleSince;

  ReplicaConnection(NetLoop loop, EndPoint endPoint, Opening opening) {
    super(loop, endPoint);
    this.group = opening.group();
    this.parser = new HttpParser(new Responses(), MAX_HEAD_BYTES);
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
        group.openFailed(String.valueOf(failure.getMessage()));
        try {
          if (channel != null) {
            channel.close();
          }
        } catch (IOException e) {
          log.debug("net: a socket did not close.", e);
        }
      }
    }
  }

  @Override
  public void onOpen() {
    super.onOpen();
    loop.run(() -> group.opened(this));
  }

  void send(Outbound outbound) {
    request = outbound;
    isDue = true;
    isForeign = false;
    outbound.assigned(this);
    parser.setHeadResponse("HEAD".equals(outbound.method()));
    write(HttpText.requestHead(outbound.method(), outbound.target(), outbound.fields()));
    if (outbound.body().length > 0) {
      write(ByteBuffer.wrap(outbound.body()));
    }
  }

  /** Closes the connection because its request was given up. */
  void drop() {
    request = null;
    isDue = false;
    group.closed(this);
    disconnect();
  }

  /** How long the connection may be kept idle, in milliseconds. */
  long idleMillis() {
    return idleMillis;
  }

  long idleSince() {
    return idleSince;
  }

  void idleSince(long monotonicMillis) {
    idleSince = monotonicMillis;
  }

  @Override
  void received(ByteBuffer bytes) {
    while (bytes.hasRemaining() && !isClosed()) {
      if (!isDue) {
        log.info(
            "net: {} sent {} bytes that belong to no request; closed.",
            group.address(),
            bytes.remaining());
        drop();
        return;
      }
      parser.parseNext(bytes);
      if (parser.isComplete() && isDue) {
        parser.reset();
      }
    }
    bytes.position(bytes.limit());
    if (!isDue && !isClosed()) {
      group.idle(this);
    }
  }

  @Override
  void ended(boolean isReset, String detail) {
    group.closed(this);
    if (request == null) {
      return;
    }
    if (!isReset) {
      parser.atEOF();
      parser.parseNext(ByteBuffer.allocate(0));
    }
    fail(detail);
  }

  private void fail(String detail) {
    final Outbound failed = request;
    request = null;
    isDue = false;
    group.closed(this);
    if (failed != null) {
      failed.listener().failed(detail);
    }
    disconnect();
  }

  private void finished() {
    if (isForeign || status < FIRST_FINAL_STATUS) {
      if (!isPersistent) {
        fail("the connection ended after an answer to another request");
      }
      return;
    }
    final Outbound done = request;
    request = null;
    isDue = false;
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

  /** Receives the parser's events. */
  private final class Responses implements HttpParser.ResponseHandler {

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
        keepAlive(field.getValue());
      }
    }

    private void keepAlive(String value) {
      int at = value.indexOf("timeout=");
      if (at < 0) {
        return;
      }
      String digits = value.substring(at + "timeout=".length()).split("[^0-9]", 2)[0];
      if (!digits.isEmpty() && digits.length() < Integer.toString(Integer.MAX_VALUE).length()) {
        long announced = Long.parseLong(digits) * 1_000 - IDLE_MARGIN_MILLIS;
        idleMillis = Math.min(group.idleMillis(), Math.max(0, announced));
      }
    }

    @Override
    public boolean headerComplete() {
      if (request == null || status < FIRST_FINAL_STATUS) {
        return false;
      }
      AnswerHead head = new AnswerHead(status, fields, parser.getContentLength());
      isForeign = !request.listener().isMine(head);
      if (isForeign) {
        log.info("net: {} answered another request first; dropped.", group.address());
      } else {
        request.listener().started(head);
      }
      return false;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
      if (!isForeign && request != null) {
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
        finished();
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
