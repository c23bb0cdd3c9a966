package org.bulrushpier.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.Address;
import org.bulrushpier.site.CallerLimits;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CallerConnectionTest {

  private static final int TIMEOUT_SECONDS = 30;
  private static final int IDLE_CONNECTIONS = 300;
  private static final int REQUESTS_PER_CONNECTION = 2;
  private static final int LARGE_BODY_BYTES = 40_000;
  private static final long MAX_IDLE_CONNECTION_BYTES = 16 * 1_024;

  private final EventLoop loop = EventLoop.start();
  private final BlockingQueue<CallerConnection> connections = new LinkedBlockingQueue<>();
  private final BlockingQueue<InboundRequest> requests = new LinkedBlockingQueue<>();
  private final CompletableFuture<Void> disconnected = new CompletableFuture<>();
  private volatile CallerLimits limits = new CallerLimits(2_000, 1_000, 60_000, 60_000);
  private Address address;
  private Closeable listener;

  /** Records requests for the test to answer. */
  private final class RecordingHandler implements CallerConnection.Handler {
    @Override
    public void requestReceived(CallerConnection connection, InboundRequest request) {
      connections.add(connection);
      requests.add(request);
    }

    @Override
    public void callerDisconnected(CallerConnection connection) {
      disconnected.complete(null);
    }

    @Override
    public CallerLimits limits() {
      return limits;
    }
  }

  @BeforeEach
  void listen() throws IOException {
    address = RawServer.freeAddress();
    listener = loop.listen(address, new RecordingHandler());
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    loop.stop();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(address.host(), address.port());
    socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
    return socket;
  }

  private InboundRequest nextRequest() throws InterruptedException {
    return requests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void respond(String body) throws InterruptedException {
    CallerConnection connection = connections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    loop.run(() -> connection.respond(200, HttpFields.EMPTY, body.getBytes()));
  }

  @Test
  void disconnectDuringHandlingIsReported() throws Exception {
    Socket socket = connect();
    RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    assertThat(nextRequest().target()).isEqualTo("/a");

    socket.close();

    disconnected.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    try (Socket socket = connect()) {
      RawServer.write(
          socket,
          "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
              + "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
      InboundRequest first = nextRequest();
      assertThat(first.body()).asString().isEqualTo("abc");
      assertThat(requests).isEmpty();
      respond("one");
      assertThat(nextRequest().target()).isEqualTo("/b");
      respond("two");

      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 200").contains("Length: 3");
    }
  }

  @Test
  void chunkedBodyIsReadCompletely() throws Exception {
    try (Socket socket = connect()) {
      RawServer.write(
          socket,
          "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
              + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");

      assertThat(nextRequest().body()).asString().isEqualTo("abcde");
    }
  }

  @Test
  void smuggledRequestIsRejected() throws Exception {
    String[] rejected = {
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
          + "0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
      "GET /a HTTP/1.1\r\nHost: x\r\nX : y\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost: x\r\n folded: y\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"
    };
    for (String bytes : rejected) {
      try (Socket socket = connect()) {
        RawServer.write(socket, bytes);

        assertThat(RawServer.readHead(socket)).as(bytes).startsWith("HTTP/1.1 400");
        assertThat(requests).as(bytes).isEmpty();
      }
    }
  }

  @Test
  void oversizedHeadersAndBodiesAreRejected() throws Exception {
    try (Socket socket = connect()) {
      RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\nX: " + "y".repeat(3_000) + "\r\n\r\n");
      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 431");
    }
    try (Socket socket = connect()) {
      RawServer.write(socket, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n");
      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 413");
    }
    assertThat(requests).isEmpty();
  }

  @Test
  void abortedResponseDoesNotLookComplete() throws Exception {
    try (Socket socket = connect()) {
      RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
      nextRequest();
      CallerConnection connection = connections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      loop.run(
          () -> {
            connection.start(200, HttpFields.EMPTY, -1);
            connection.body(java.nio.ByteBuffer.wrap("part".getBytes()));
          });
      assertThat(RawServer.readHead(socket)).containsIgnoringCase("chunked");

      loop.run(connection::abort);

      String rest = new String(socket.getInputStream().readAllBytes());
      assertThat(rest).isEqualTo("4\r\npart\r\n");
    }
  }

  @Test
  void connectionCloseHeaderIsHonoured() throws Exception {
    try (Socket socket = connect()) {
      RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      nextRequest();
      respond("bye");

      assertThat(RawServer.readHead(socket)).containsIgnoringCase("Connection: close");
      assertThat(new String(socket.getInputStream().readAllBytes())).isEqualTo("bye");
    }
  }

  @Test
  void largestAnswerIsWrittenWholeAfterAnotherOne() throws Exception {
    int bodyBytes = 4 * 1_024 * 1_024;
    try (Socket socket = connect()) {
      RawServer.write(
          socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n");
      nextRequest();
      respond("y".repeat(bodyBytes));
      nextRequest();
      respond("z".repeat(bodyBytes));

      for (int i = 0; i < 2; i++) {
        assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 200");
        assertThat(socket.getInputStream().readNBytes(bodyBytes)).hasSize(bodyBytes);
      }
    }
  }

  @Test
  void answerIsNotCutOffByPipelinedRequests() throws Exception {
    limits = new CallerLimits(2_000, 1_000_000, 60_000, 60_000);
    try (Socket socket = connect()) {
      RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
      nextRequest();
      int pipelinedBytes = 300_000;
      final Thread writer =
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      RawServer.write(
                          socket,
                          "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: "
                              + pipelinedBytes
                              + "\r\n\r\n"
                              + "y".repeat(pipelinedBytes));
                    } catch (IOException e) {
                      throw new IllegalStateException(e);
                    }
                  });
      Thread.sleep(300);
      respond("");

      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 200");
      assertThat(nextRequest().body()).hasSize(pipelinedBytes);
      writer.join();
    }
  }

  /** Closing a socket with unread bytes resets the connection. */
  @Test
  void lastAnswerIsNotDestroyedByBytesThatFollowItsRequest() throws Exception {
    int bodyBytes = 3_000_000;
    for (int i = 0; i < 5; i++) {
      try (Socket socket = connect()) {
        RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        nextRequest();
        respond("z".repeat(bodyBytes));
        RawServer.write(socket, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
        Thread.sleep(100);

        assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 200");
        assertThat(socket.getInputStream().readAllBytes()).hasSize(bodyBytes);
        assertThat(requests).isEmpty();
      }
    }
  }

  /** An open connection kept the limit that was in force when it was opened. */
  @Test
  void openConnectionIsNotClosedBeforeRaisedIdleTimeout() throws Exception {
    limits = new CallerLimits(2_000, 1_000, 60_000, 600);
    try (Socket socket = connect()) {
      RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
      nextRequest();
      respond("");
      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 200");

      limits = new CallerLimits(2_000, 1_000, 60_000, 60_000);
      Thread.sleep(1_500);
      RawServer.write(socket, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");

      assertThat(nextRequest()).isNotNull();
    }
  }

  @Test
  void openConnectionTakesRequestsOfRaisedSizes() throws Exception {
    try (Socket socket = connect()) {
      RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
      nextRequest();
      respond("");
      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 200");

      limits = new CallerLimits(16_384, 10_000, 60_000, 60_000);
      RawServer.write(
          socket,
          "POST /b HTTP/1.1\r\nHost: x\r\nX: "
              + "y".repeat(3_000)
              + "\r\nContent-Length: 2000\r\n\r\n"
              + "z".repeat(2_000));

      assertThat(nextRequest().body()).hasSize(2_000);
    }
  }

  @Test
  void unfinishedRequestIsAnsweredWhenItsTimeIsOver() throws Exception {
    limits = new CallerLimits(2_000, 1_000, 60_000, 300);
    try (Socket socket = connect()) {
      RawServer.write(socket, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\ny");

      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 408");
      assertThat(requests).isEmpty();
    }
  }

  @Test
  void slowBodyIsReadWhileItsBytesArrive() throws Exception {
    limits = new CallerLimits(2_000, 1_000, 60_000, 1_000);
    try (Socket socket = connect()) {
      RawServer.write(socket, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n");
      for (int i = 0; i < 6; i++) {
        Thread.sleep(400);
        RawServer.write(socket, "y");
      }

      assertThat(nextRequest().body()).hasSize(6);
    }
  }

  @Test
  void answerThatIsNotYetWrittenCountsAsBeingAnswered() throws Exception {
    int bodyBytes = 4 * 1_024 * 1_024;
    try (Socket socket = connect()) {
      RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
      nextRequest();
      CallerConnection connection = connections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      boolean[] isAnswering = new boolean[1];
      loop.run(
          () -> {
            connection.respond(200, HttpFields.EMPTY, new byte[bodyBytes]);
            isAnswering[0] = connection.isAnswering();
          });
      assertThat(isAnswering[0]).isTrue();

      RawServer.readHead(socket);
      assertThat(socket.getInputStream().readNBytes(bodyBytes)).hasSize(bodyBytes);
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      while (isAnswering[0] && System.nanoTime() < deadline) {
        Thread.sleep(10);
        loop.run(() -> isAnswering[0] = connection.isAnswering());
      }
      assertThat(isAnswering[0]).isFalse();
    }
  }

  /** The parser closes the connection without a word if its handler fails. */
  @Test
  void requestWhoseHandlingFailsIsAnswered() throws Exception {
    Address failing = RawServer.freeAddress();
    CallerConnection.Handler handler =
        (connection, request) -> {
          throw new IllegalStateException("handling fails");
        };
    try (Closeable failingListener = loop.listen(failing, handler);
        Socket socket = new Socket(failing.host(), failing.port())) {
      socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
      RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");

      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 500");
    }
  }

  /** After a stall of the process the timer may run before the bytes that arrived are read. */
  @Test
  void requestThatArrivedDuringStallIsReadBeforeItsConnectionIsClosed() throws Exception {
    limits = new CallerLimits(2_000, 1_000, 60_000, 400);
    for (int i = 0; i < 5; i++) {
      try (Socket socket = connect()) {
        RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        nextRequest();
        respond("");
        assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 200");

        loop.run(
            () -> {
              sleep(500);
              write(socket, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
              sleep(100);
            });

        assertThat(nextRequest()).isNotNull();
        respond("");
        assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 200");
      }
    }
  }

  @Test
  void connectionIsKeptAfterRequestThatArrivedDuringStallIsAnsweredAtOnce() throws Exception {
    Address refusing = RawServer.freeAddress();
    CallerConnection.Handler handler =
        new RefusingHandler() {
          @Override
          public CallerLimits limits() {
            return new CallerLimits(2_000, 1_000, 60_000, 400);
          }
        };
    try (Closeable refusingListener = loop.listen(refusing, handler);
        Socket socket = new Socket(refusing.host(), refusing.port())) {
      socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
      RawServer.write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 503");

      loop.run(
          () -> {
            sleep(500);
            write(socket, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
            sleep(100);
          });
      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 503");
      RawServer.write(socket, "GET /c HTTP/1.1\r\nHost: x\r\n\r\n");

      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 503");
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void write(Socket socket, String text) {
    try {
      RawServer.write(socket, text);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Callers who were refused leave their connections open and return on new ones. */
  @Test
  void idleConnectionsHoldLittleMemory() throws Exception {
    Address refusing = RawServer.freeAddress();
    List<Socket> sockets = new ArrayList<>();
    try (Closeable refusingListener = loop.listen(refusing, new RefusingHandler())) {
      refuseLargeRequests(refusing).close();
      long before = usedHeapBytes();
      for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        sockets.add(refuseLargeRequests(refusing));
      }

      assertThat((usedHeapBytes() - before) / IDLE_CONNECTIONS)
          .isLessThan(MAX_IDLE_CONNECTION_BYTES);
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Refuses every request without closing the connection. */
  private static class RefusingHandler implements CallerConnection.Handler {
    @Override
    public void requestReceived(CallerConnection connection, InboundRequest request) {
      connection.respond(503, HttpFields.EMPTY, new byte[0]);
    }
  }

  private static Socket refuseLargeRequests(Address refusing) throws IOException {
    Socket socket = new Socket(refusing.host(), refusing.port());
    socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
    for (int i = 0; i < REQUESTS_PER_CONNECTION; i++) {
      RawServer.write(
          socket,
          "POST /a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: "
              + LARGE_BODY_BYTES
              + "\r\n\r\n"
              + "y".repeat(LARGE_BODY_BYTES));
      assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 503");
    }
    return socket;
  }

  private static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
