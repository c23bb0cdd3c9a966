package org.bulrushpier.daemon.net;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.ToLongFunction;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.limit.ByteBudget;
import org.bulrushpier.limit.SlowReaders;
import org.bulrushpier.site.CallerLimits;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A caller's connection, which reads one request at a time and writes its response.
 *
 * <p>Jetty's own server does not notice that a caller disconnects while its request is handled.
 * This connection therefore uses Jetty's end point and parser directly: it continues to read,
 * buffers bytes of pipelined requests, and notifies the handler when the caller disconnects.
 *
 * <p>Invariants: at most one request is unanswered; a response that was cut short never looks
 * complete, because the connection is closed instead; an idle connection holds no body and no
 * header cache, as callers may leave thousands of them open. Guarded by the loop's lock.
 */
public final class CallerConnection extends HttpConnection {

  /** How long a request waits for room before it is refused, in milliseconds. */
  private static final long ROOM_WAIT_MILLIS = 500;

  /** The memory that a header field takes beside its bytes, roughly. */
  private static final int FIELD_BYTES = 128;

  /**
   * Bytes of pipelined requests buffered while a request is being answered, beyond which no more
   * are read. The end of the connection is not noticed then.
   */
  private static final int MAX_PIPELINED_BYTES = 64 * 1_024;

  private static final Logger log = LoggerFactory.getLogger("net");

  private static final ByteBuffer CONTINUE =
      ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes()).asReadOnlyBuffer();

  /** Handles the requests of connections. Called with the loop's lock held. */
  public interface Handler {

    /**
     * Handles a complete request, which must be answered now or later.
     *
     * @param connection the connection on which to respond
     * @param request the request
     */
    void requestReceived(CallerConnection connection, InboundRequest request);

    /**
     * The caller disconnected before its request was answered.
     *
     * @param connection the closed connection
     */
    default void callerDisconnected(CallerConnection connection) {}

    /**
     * Returns the limits for requests. They apply to open connections from their next request or
     * wait on.
     *
     * @return the limits in force
     */
    default CallerLimits limits() {
      return CallerLimits.DEFAULT;
    }

    /**
     * A request is refused without being read to its end, as there is no room for it.
     *
     * @return the header fields of the response, which must state that the request has not run
     */
    default HttpFields refusedForLackOfRoom() {
      return HttpFields.EMPTY;
    }

    /**
     * A caller is about to be cut, as others need the room that its unread output takes.
     *
     * @param kind what it loses
     */
    default void slowReaderCut(SlowReaders.Kind kind) {}

    /**
     * Returns whether responses should ask callers to close their connections.
     *
     * @return true while the process is shutting down
     */
    default boolean isShuttingDown() {
      return false;
    }
  }

  private final Handler handler;
  private HttpParser parser;
  private int parserHeaderBytes;

  /** The bytes of the request from its first one to the end of its response. */
  private final ByteBudget.Account kept;

  private final MessageBuffer body;
  private final ByteBudget.Account keptAhead;
  private final Output output = new Output();
  private final ByteBudget.Account keptOutput;
  private boolean isHeadComplete;
  private boolean isAwaitingRoom;
  private ByteBuffer pipelined;
  private HttpFields.Mutable fields = HttpFields.build();
  private String method;
  private String target;
  private boolean isPersistent;
  private boolean isResponding;
  private boolean isChunkedResponse;
  private boolean isResponseStarted;
  private boolean isParsing;
  private boolean isParserResetPending;
  private EventLoop.Timer timer;
  private ToLongFunction<CallerLimits> awaited;
  private long awaitedSinceMillis;
  private Object attachment;

  CallerConnection(EventLoop loop, EndPoint endPoint, Handler handler) {
    super(loop, endPoint);
    this.handler = handler;
    ByteBudget budget = loop.budget();
    kept = budget.open(ByteBudget.Use.REQUEST);
    body = MessageBuffer.of(kept, Integer.MAX_VALUE);
    keptAhead = budget.open(ByteBudget.Use.REQUEST);
    keptOutput = budget.openOutput(output);
    createParser(handler.limits().headerBytes());
  }

  private void createParser(int headerBytes) {
    parserHeaderBytes = headerBytes;
    parser = new HttpParser(new RequestParserHandler(), headerBytes, HttpCompliance.RFC7230);
    parser.setHeaderCacheSize(0);
  }

  @Override
  void opened() {
    awaitRequest();
  }

  /**
   * Returns the state that the handler attached to the current request.
   *
   * @return the attachment, or null
   */
  public Object attachment() {
    return attachment;
  }

  /**
   * Attaches state of the handler to the current request.
   *
   * @param state the state, or null
   */
  public void attach(Object state) {
    attachment = state;
  }

  /**
   * Sends a complete response.
   *
   * @param status the status code
   * @param responseFields the header fields, without framing
   * @param content the body, which must not be changed any more
   */
  public void respond(int status, HttpFields responseFields, byte[] content) {
    respond(status, responseFields, List.of(ByteBuffer.wrap(content)));
  }

  /**
   * Sends a complete response without copying its body.
   *
   * @param status the status code
   * @param responseFields the header fields, without framing
   * @param content the body, whose bytes must not be changed any more
   */
  public void respond(int status, HttpFields responseFields, List<ByteBuffer> content) {
    start(status, responseFields, content.stream().mapToLong(ByteBuffer::remaining).sum());
    content.forEach(this::write);
    complete();
  }

  /**
   * Starts a response.
   *
   * @param status the status code
   * @param responseFields the header fields, without framing
   * @param length the body's length in bytes, or -1 to send it in chunks
   */
  public void start(int status, HttpFields responseFields, long length) {
    isResponseStarted = true;
    isChunkedResponse = length < 0;
    HttpFields.Mutable all = HttpFields.build(responseFields);
    if (isChunkedResponse) {
      all.put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
    } else {
      all.put(HttpHeader.CONTENT_LENGTH, length);
    }
    if (handler.isShuttingDown()) {
      isPersistent = false;
    }
    if (!isPersistent) {
      all.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }
    write(HttpEncoder.responseHead(status, all));
  }

  /**
   * Sends a part of the body; its bytes are copied before the call returns.
   *
   * @param bytes the part
   */
  public void body(ByteBuffer bytes) {
    if (bytes.hasRemaining()) {
      write(isChunkedResponse ? HttpEncoder.chunk(bytes) : HttpEncoder.copy(bytes));
    }
  }

  /** Completes the response and reads the next request. */
  public void complete() {
    if (isClosed()) {
      return;
    }
    if (isChunkedResponse) {
      write(HttpEncoder.lastChunk());
    }
    isResponding = false;
    attachment = null;
    body.release();
    if (!isPersistent) {
      closeAfterWrite();
    } else if (isParsing) {
      isParserResetPending = true;
    } else {
      readNextRequest();
    }
  }

  private void readNextRequest() {
    parser.reset();
    awaitRequest();
    readPipelined();
  }

  private void readPipelined() {
    if (pipelined != null) {
      ByteBuffer bytes = pipelined;
      pipelined = null;
      keptAhead.close();
      received(bytes);
    }
    if (pipelined == null) {
      resumeReading();
    }
  }

  /** Continues with the next pipelined request after timers and other connections. */
  private void yieldBefore(ByteBuffer next) {
    bufferPipelined(next);
    pauseReading();
    loop.after(
        0,
        () -> {
          if (!isResponding && !isAwaitingRoom && !isClosing()) {
            readPipelined();
          }
        });
  }

  /** Closes the connection so that the caller detects that the response is incomplete. */
  public void abort() {
    stopTimer();
    attachment = null;
    disconnect();
  }

  /**
   * Returns whether the head of the response was sent.
   *
   * @return true once {@link #start} was called for the current request
   */
  public boolean isResponseStarted() {
    return isResponseStarted;
  }

  /**
   * Returns whether a request is being answered or a part of its response is yet to be written.
   *
   * @return true until the whole response was written
   */
  public boolean isAnswering() {
    return !isClosed() && (isResponding || isWritePending());
  }

  /** Closes the connection if no request is being read or answered. */
  public void closeIfIdle() {
    if (!isAnswering() && !isClosing() && parser.isStart() && pipelined == null) {
      stopTimer();
      disconnect();
    }
  }

  @Override
  void received(ByteBuffer bytes) {
    long endMillis = MonotonicClock.millis() + ReadTurn.MAX_MILLIS;
    while (bytes.hasRemaining() && !isClosing()) {
      if (isResponding || isAwaitingRoom) {
        bufferPipelined(bytes);
        return;
      }
      if (parser.isStart()) {
        beginRequest();
      }
      if (parser.isState(HttpParser.State.CLOSE) || parser.isState(HttpParser.State.CLOSED)) {
        return;
      }
      isParsing = true;
      int unparsed = bytes.remaining();
      parser.parseNext(bytes);
      isParsing = false;
      if (!isHeadComplete) {
        countUnfinishedHead(unparsed - bytes.remaining());
      }
      if (isParserResetPending) {
        isParserResetPending = false;
        readNextRequest();
        if (bytes.hasRemaining() && !isClosing() && MonotonicClock.millis() >= endMillis) {
          yieldBefore(bytes);
          return;
        }
      }
    }
  }

  /** Counts what was read of a head, and reads on only when there is room for it. */
  private void countUnfinishedHead(int bytes) {
    boolean hadRoom = kept.force(bytes);
    if (!hadRoom && !isClosing() && !kept.growOrWait(0, this::roomGranted)) {
      awaitRoom();
    }
  }

  /** Reads no more until there is room, for a limited time. */
  private void awaitRoom() {
    isAwaitingRoom = true;
    pauseReading();
    stopTimer();
    timer = loop.after(ROOM_WAIT_MILLIS, this::refuseForLackOfRoom);
  }

  private void roomGranted() {
    if (isAwaitingRoom && !isClosing()) {
      isAwaitingRoom = false;
      startTimer(
          isHeadComplete ? CallerLimits::idleTimeoutMillis : CallerLimits::headerTimeoutMillis);
      readPipelined();
    }
  }

  private void refuseForLackOfRoom() {
    if (!isResponding && !isClosing()) {
      log.info(
          "net: request refused, as {} of {} bytes for messages are taken.",
          loop.budget().used(),
          loop.budget().capacity());
      refuse(HttpStatus.SERVICE_UNAVAILABLE_503, handler.refusedForLackOfRoom());
    }
  }

  /** The output as the budget sees it. Guarded by the loop's lock. */
  private final class Output implements ByteBudget.Output {

    @Override
    public SlowReaders.Kind kind() {
      return isResponding && isChunkedResponse ? SlowReaders.Kind.STREAM : SlowReaders.Kind.READY;
    }

    @Override
    public long unreadMillis() {
      return CallerConnection.this.unreadMillis();
    }

    @Override
    public void cut(long bytes) {
      cutReader(bytes, "others need the room");
    }
  }

  private void cutReader(long bytes, String reason) {
    if (isClosed()) {
      return;
    }
    log.info(
        "net: {} was cut as it reads slowly and {}: {}, {} bytes unread, the oldest for {} ms.",
        getEndPoint().getRemoteSocketAddress(),
        reason,
        output.kind(),
        bytes,
        output.unreadMillis());
    handler.slowReaderCut(output.kind());
    try {
      ended(true, reason);
    } finally {
      disconnect();
    }
  }

  @Override
  void outputPending(long bytes) {
    if (!keptOutput.resize(bytes)) {
      cutReader(bytes, "there is no more room");
    }
  }

  @Override
  void queueFull(long bytes) {
    cutReader(bytes, "its queue is full");
  }

  @Override
  void closed() {
    pipelined = null;
    body.release();
    keptAhead.close();
    keptOutput.close();
  }

  private void beginRequest() {
    int headerBytes = handler.limits().headerBytes();
    if (headerBytes != parserHeaderBytes) {
      createParser(headerBytes);
    }
    startTimer(CallerLimits::headerTimeoutMillis);
  }

  @Override
  void ended(boolean isReset, String detail) {
    stopTimer();
    if (isResponding) {
      handler.callerDisconnected(this);
    }
  }

  private void bufferPipelined(ByteBuffer bytes) {
    int bufferedBytes = pipelined == null ? 0 : pipelined.remaining();
    ByteBuffer all = ByteBuffer.allocate(bufferedBytes + bytes.remaining());
    if (pipelined != null) {
      all.put(pipelined);
    }
    boolean hasRoom = keptAhead.force(bytes.remaining());
    pipelined = all.put(bytes).flip();
    if (!hasRoom || pipelined.remaining() > MAX_PIPELINED_BYTES) {
      pauseReading();
    }
  }

  private void awaitRequest() {
    isResponseStarted = false;
    isHeadComplete = false;
    fields = HttpFields.build();
    startTimer(CallerLimits::idleTimeoutMillis);
  }

  /** Starts to wait for the caller, for as long as the limit in force at the end of the wait. */
  private void startTimer(ToLongFunction<CallerLimits> limit) {
    stopTimer();
    awaited = limit;
    awaitedSinceMillis = MonotonicClock.millis();
    timer = loop.after(limit.applyAsLong(handler.limits()), this::waitEnded);
  }

  private void waitEnded() {
    if (isResponding || isClosing()) {
      return;
    }
    long waitedMillis = MonotonicClock.millis() - awaitedSinceMillis;
    long limitMillis = awaited.applyAsLong(handler.limits());
    if (waitedMillis < limitMillis) {
      timer = loop.after(limitMillis - waitedMillis, this::waitEnded);
    } else if (parser.isStart()) {
      closeUnlessRequestArrived();
    } else {
      log.info(
          "net: unfinished request rejected after a wait of {} ms (limit {} ms).",
          waitedMillis,
          limitMillis);
      reject(HttpStatus.REQUEST_TIMEOUT_408);
    }
  }

  private void closeUnlessRequestArrived() {
    EventLoop.Timer ended = timer;
    if (readAvailable() && timer == ended) {
      disconnect();
    }
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  /** Ends a request whose handling failed; the parser would close the connection silently. */
  private void handlingFailed(InboundRequest request, Throwable cause) {
    log.error("net: handling of {} {} failed.", request.method(), request.target(), cause);
    if (isResponding && !isClosing()) {
      if (isResponseStarted) {
        handler.callerDisconnected(this);
        abort();
      } else {
        reject(HttpStatus.INTERNAL_SERVER_ERROR_500);
      }
    }
  }

  private void reject(int status) {
    refuse(status, HttpFields.EMPTY);
  }

  private void refuse(int status, HttpFields responseFields) {
    isResponding = true;
    isAwaitingRoom = false;
    isPersistent = false;
    stopTimer();
    respond(status, responseFields, new byte[0]);
  }

  /** Handles the parser's events. */
  private final class RequestParserHandler implements HttpParser.RequestHandler {

    @Override
    public void startRequest(String newMethod, String uri, HttpVersion version) {
      method = newMethod;
      target = uri;
      isPersistent = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
      fields.add(field);
      kept.force(FIELD_BYTES);
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
      isHeadComplete = true;
      long length = parser.getContentLength();
      if (length > handler.limits().bodyBytes()) {
        reject(HttpStatus.PAYLOAD_TOO_LARGE_413);
        return true;
      }
      startTimer(CallerLimits::idleTimeoutMillis);
      return length > 0 && !reserveBody((int) length);
    }

    /** Makes room for the whole body, as bodies that are read in part could wait for each other. */
    private boolean reserveBody(int length) {
      if (!kept.canEverGrow(length)) {
        refuseForLackOfRoom();
        return false;
      }
      if (body.reserve(length, CallerConnection.this::roomGranted)) {
        return true;
      }
      awaitRoom();
      return false;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
      if (body.size() + bytes.remaining() > handler.limits().bodyBytes()) {
        bytes.position(bytes.limit());
        reject(HttpStatus.PAYLOAD_TOO_LARGE_413);
        return true;
      }
      awaitedSinceMillis = MonotonicClock.millis();
      if (!body.append(bytes)) {
        refuseForLackOfRoom();
        return true;
      }
      return false;
    }

    @Override
    public boolean contentComplete() {
      return false;
    }

    @Override
    public boolean messageComplete() {
      if (isResponding || isClosing()) {
        return true;
      }
      stopTimer();
      isResponding = true;
      InboundRequest request = new InboundRequest(method, target, fields, body.toByteArray());
      try {
        handler.requestReceived(CallerConnection.this, request);
      } catch (RuntimeException | StackOverflowError | AssertionError e) {
        handlingFailed(request, e);
      }
      return true;
    }

    @Override
    public void earlyEOF() {
      disconnect();
    }

    @Override
    public void badMessage(HttpException failure) {
      if (!isResponding && !isClosing()) {
        reject(failure.getCode());
      }
    }
  }
}
