package org.bulrushpier.daemon.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.bulrushpier.site.CallerLimits;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;

/**
 * A caller's connection: reads one request at a time and writes its answer.
 *
 * <p>Jetty's own server does not notice that a caller left while its request is handled, so the
 * connection is built on Jetty's end point and parser: it goes on reading, keeps bytes of a next
 * request aside, and tells the handler when the caller is gone.
 *
 * <p>Invariants: at most one request is unanswered; an answer that was cut short never looks
 * complete, because the connection is closed instead. Confined to the loop's lock.
 */
public final class CallerConnection extends HttpConnection {

  /** Bytes of following requests kept while one is being answered. */
  private static final int MAX_AHEAD_BYTES = 64 * 1_024;

  private static final ByteBuffer CONTINUE =
      ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes()).asReadOnlyBuffer();

  /** Takes the requests of connections. Called under the loop's lock. */
  public interface Handler {

    /**
     * Takes a whole request. It must be answered, now or later.
     *
     * @param connection where the answer goes
     * @param request the request
     */
    void requested(CallerConnection connection, InboundRequest request);

    /**
     * The caller left before its request was answered.
     *
     * @param connection the closed connection
     */
    default void left(CallerConnection connection) {}

    /**
     * Returns the limits for requests on new connections.
     *
     * @return the limits in force
     */
    default CallerLimits limits() {
      return CallerLimits.DEFAULT;
    }

    /**
     * Tells whether answers should ask callers to close their connections.
     *
     * @return true while the process is leaving
     */
    default boolean isLeaving() {
      return false;
    }
  }

  private final Handler handler;
  private final HttpParser parser;
  private final CallerLimits limits;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private ByteBuffer ahead;
  private HttpFields.Mutable fields = HttpFields.build();
  private String method;
  private String target;
  private boolean isPersistent;
  private boolean isAnswering;
  private boolean isChunkedAnswer;
  private boolean isAnswerStarted;
  private boolean isParsing;
  private boolean isResetDue;
  private NetLoop.Timer timer;
  private Object attachment;

  CallerConnection(NetLoop loop, EndPoint endPoint, Handler handler) {
    super(loop, endPoint);
    this.handler = handler;
    this.limits = handler.limits();
    this.parser = new HttpParser(new Requests(), limits.headerBytes(), HttpCompliance.RFC7230);
  }

  @Override
  public void onOpen() {
    super.onOpen();
    loop.run(this::awaitRequest);
  }

  /**
   * Returns what the handler attached to the request being answered.
   *
   * @return the attachment, or null
   */
  public Object attachment() {
    return attachment;
  }

  /**
   * Attaches the handler's state to the request being answered.
   *
   * @param state the state, or null
   */
  public void attach(Object state) {
    attachment = state;
  }

  /**
   * Sends a whole answer.
   *
   * @param status the status
   * @param answerFields the fields, without framing
   * @param content the body
   */
  public void answer(int status, HttpFields answerFields, byte[] content) {
    start(status, answerFields, content.length);
    body(ByteBuffer.wrap(content));
    complete();
  }

  /**
   * Starts an answer.
   *
   * @param status the status
   * @param answerFields the fields, without framing
   * @param length the body's length in bytes, or -1 if it is not known
   */
  public void start(int status, HttpFields answerFields, long length) {
    isAnswerStarted = true;
    isChunkedAnswer = length < 0;
    HttpFields.Mutable all = HttpFields.build(answerFields);
    if (isChunkedAnswer) {
      all.put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
    } else {
      all.put(HttpHeader.CONTENT_LENGTH, length);
    }
    if (handler.isLeaving()) {
      isPersistent = false;
    }
    if (!isPersistent) {
      all.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }
    write(HttpText.responseHead(status, all));
  }

  /**
   * Sends a piece of the body; its bytes are copied or written before the call returns.
   *
   * @param bytes the piece
   */
  public void body(ByteBuffer bytes) {
    if (bytes.hasRemaining()) {
      write(isChunkedAnswer ? HttpText.chunk(bytes) : HttpText.copy(bytes));
    }
  }

  /** Ends the answer and reads the next request. */
  public void complete() {
    if (isClosed()) {
      return;
    }
    if (isChunkedAnswer) {
      write(HttpText.lastChunk());
    }
    isAnswering = false;
    attachment = null;
    if (!isPersistent) {
      closeAfterWrite();
    } else if (isParsing) {
      isResetDue = true;
    } else {
      next();
    }
  }

  private void next() {
    parser.reset();
    awaitRequest();
    if (ahead != null) {
      ByteBuffer bytes = ahead;
      ahead = null;
      received(bytes);
    }
  }

  /** Cuts the answer off, so that the caller sees that it is not complete. */
  public void abort() {
    stopTimer();
    attachment = null;
    disconnect();
  }

  /**
   * Tells whether the head of the answer was sent.
   *
   * @return true once {@link #start} was called for the current request
   */
  public boolean isAnswerStarted() {
    return isAnswerStarted;
  }

  /** Closes the connection if no request is being read or answered. */
  public void closeIfIdle() {
    if (!isAnswering && parser.isStart()) {
      stopTimer();
      disconnect();
    }
  }

  @Override
  void received(ByteBuffer bytes) {
    while (bytes.hasRemaining() && !isClosed()) {
      if (isAnswering) {
        keepAhead(bytes);
        return;
      }
      if (parser.isStart()) {
        startTimer(limits.headerTimeoutMillis());
      }
      if (parser.isState(HttpParser.State.CLOSE) || parser.isState(HttpParser.State.CLOSED)) {
        return;
      }
      isParsing = true;
      parser.parseNext(bytes);
      isParsing = false;
      if (isResetDue) {
        isResetDue = false;
        next();
      }
    }
  }

  @Override
  void ended(boolean isReset, String detail) {
    stopTimer();
    if (isAnswering) {
      handler.left(this);
    }
  }

  private void keepAhead(ByteBuffer bytes) {
    int kept = ahead == null ? 0 : ahead.remaining();
    if (kept + bytes.remaining() > MAX_AHEAD_BYTES) {
      handler.left(this);
      abort();
      return;
    }
    ByteBuffer all = ByteBuffer.allocate(kept + bytes.remaining());
    if (ahead != null) {
      all.put(ahead);
    }
    ahead = all.put(bytes).flip();
  }

  private void awaitRequest() {
    isAnswerStarted = false;
    fields = HttpFields.build();
    body.reset();
    startTimer(limits.idleTimeoutMillis());
  }

  private void startTimer(long millis) {
    stopTimer();
    timer = loop.after(millis, this::timedOut);
  }

  private void timedOut() {
    if (!isAnswering) {
      disconnect();
    }
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  private void reject(int status) {
    isAnswering = true;
    isPersistent = false;
    stopTimer();
    answer(status, HttpFields.EMPTY, new byte[0]);
  }

  /** Receives the parser's events. */
  private final class Requests implements HttpParser.RequestHandler {

    @Override
    public void startRequest(String newMethod, String uri, HttpVersion version) {
      method = newMethod;
      target = uri;
      isPersistent = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
      fields.add(field);
      if (field.getHeader() == HttpHeader.CONNECTION
          && field.contains(HttpHeaderValue.CLOSE.asString())) {
        isPersistent = false;
      }
      if (field.getHeader() == HttpHeader.EXPECT) {
        write(CONTINUE.duplicate());
      }
    }

    @Override
    public boolean headerComplete() {
      if (parser.getContentLength() > limits.bodyBytes()) {
        reject(413);
        return true;
      }
      startTimer(limits.idleTimeoutMillis());
      return false;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
      byte[] piece = new byte[bytes.remaining()];
      bytes.get(piece);
      if (body.size() + piece.length > limits.bodyBytes()) {
        reject(413);
        return true;
      }
      body.write(piece, 0, piece.length);
      return false;
    }

    @Override
    public boolean contentComplete() {
      return false;
    }

    @Override
    public boolean messageComplete() {
      if (isAnswering || isClosed()) {
        return true;
      }
      stopTimer();
      isAnswering = true;
      InboundRequest request = new InboundRequest(method, target, fields, body.toByteArray());
      handler.requested(CallerConnection.this, request);
      return true;
    }

    @Override
    public void earlyEOF() {
      disconnect();
    }

    @Override
    public void badMessage(HttpException failure) {
      if (!isAnswering) {
        reject(failure.getCode());
      }
    }
  }
}
