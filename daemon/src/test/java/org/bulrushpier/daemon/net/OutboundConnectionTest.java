package org.bulrushpier.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.Address;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OutboundConnectionTest {

  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\n%s";

  private final EventLoop loop = EventLoop.start();
  private final ConnectionPool pool = ConnectionPool.of(loop, 10_000);

  @AfterEach
  void stop() {
    loop.stop();
  }

  /** Records a response. */
  private static class ResponseRecorder implements OutboundRequest.Listener {
    private final String id;
    private final StringBuilder body = new StringBuilder();
    private final CompletableFuture<String> outcome = new CompletableFuture<>();
    private boolean isSent;
    private boolean isObsolete;
    private final CompletableFuture<Void> askedWhetherObsolete = new CompletableFuture<>();

    ResponseRecorder(String id) {
      this.id = id;
    }

    @Override
    public boolean matches(ResponseHead head) {
      return id.equals(head.fields().get("Attempt-Id"));
    }

    @Override
    public boolean isObsolete() {
      askedWhetherObsolete.complete(null);
      return isObsolete;
    }

    @Override
    public void sending() {
      isSent = true;
    }

    @Override
    public void started(ResponseHead head) {}

    @Override
    public void body(ByteBuffer bytes) {
      body.append(StandardCharsets.ISO_8859_1.decode(bytes));
    }

    @Override
    public void completed() {
      outcome.complete("complete: " + body);
    }

    @Override
    public void failed(String detail) {
      outcome.complete("failed");
    }
  }

  private ResponseRecorder send(Address address, String id) {
    ResponseRecorder recorder = new ResponseRecorder(id);
    loop.run(() -> send(address, recorder));
    return recorder;
  }

  private void send(Address address, ResponseRecorder recorder) {
    send(address, recorder, new byte[0]);
  }

  private void send(Address address, ResponseRecorder recorder, byte[] body) {
    HttpFields fields =
        HttpFields.build()
            .add("Host", "x")
            .add("Attempt-Id", recorder.id)
            .add("Content-Length", Integer.toString(body.length));
    pool.send(
        address,
        OutboundRequest.of("POST", "/", fields, body, recorder),
        ConnectionPool.ANY_IDLE_TIME);
  }

  private static String outcome(ResponseRecorder recorder) throws Exception {
    return recorder.outcome.get(30, TimeUnit.SECONDS);
  }

  /**
   * After a restart under load, requests were sent up to a second after their deadline, because
   * their connections took that long to open.
   */
  @Test
  void requestThatBecameObsoleteWhileItsConnectionOpenedIsNotSent() throws Exception {
    CompletableFuture<String> firstRead = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              firstRead.complete(RawServer.readHead(socket));
              RawServer.write(socket, RESPONSE.formatted("second", "ok"));
            })) {
      ResponseRecorder first = new ResponseRecorder("first");
      first.isObsolete = true;
      loop.run(() -> send(server.address(), first));
      first.askedWhetherObsolete.get(30, TimeUnit.SECONDS);

      assertThat(outcome(send(server.address(), "second"))).isEqualTo("complete: ok");
      assertThat(firstRead.get()).contains("second");
      assertThat(first.isSent).isFalse();
      assertThat(outcome(first)).isEqualTo("failed");
    }
  }

  /** A response that waits for room must neither be read meanwhile nor lose bytes. */
  @Test
  void pausedResponseIsCompleteAfterItWasResumed() throws Exception {
    String body = "x".repeat(200_000);
    CompletableFuture<OutboundRequest> paused = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + body);
            })) {
      OutboundRequest[] outbound = new OutboundRequest[1];
      ResponseRecorder recorder =
          new ResponseRecorder("mine") {
            @Override
            public boolean matches(ResponseHead head) {
              return true;
            }

            @Override
            public void started(ResponseHead head) {
              outbound[0].pause();
              paused.complete(outbound[0]);
            }
          };
      HttpFields fields = HttpFields.build().add("Host", "x");
      outbound[0] = OutboundRequest.of("GET", "/", fields, new byte[0], recorder);
      loop.run(() -> pool.send(server.address(), outbound[0], ConnectionPool.ANY_IDLE_TIME));

      paused.get(30, TimeUnit.SECONDS);
      TimeUnit.MILLISECONDS.sleep(200);
      CompletableFuture<Integer> read = new CompletableFuture<>();
      loop.run(() -> read.complete(recorder.body.length()));
      assertThat(read.get()).isZero();
      loop.run(outbound[0]::resume);

      assertThat(outcome(recorder)).isEqualTo("complete: " + body);
    }
  }

  @Test
  void responseToAnotherRequestIsDiscarded() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, RESPONSE.formatted("other", "no"));
              RawServer.write(socket, RESPONSE.formatted("mine", "ok"));
            })) {
      assertThat(outcome(send(server.address(), "mine"))).isEqualTo("complete: ok");
    }
  }

  @Test
  void bytesAfterCompleteResponseCloseTheConnectionAndAreDiscarded() throws Exception {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(
                  socket, RESPONSE.formatted("a", "ok") + RESPONSE.formatted("a", "again"));
              RawServer.awaitEnd(socket, ended);
            },
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, RESPONSE.formatted("b", "b!"));
            })) {
      assertThat(outcome(send(server.address(), "a"))).isEqualTo("complete: ok");
      ended.get(30, TimeUnit.SECONDS);
      assertThat(outcome(send(server.address(), "b"))).isEqualTo("complete: b!");
    }
  }

  @Test
  void responseWithoutLengthIsCompleteOnlyAfterAnOrderlyClose() throws Exception {
    String responseWithoutLength = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\npart";
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, responseWithoutLength);
              socket.close();
            })) {
      assertThat(outcome(send(server.address(), "a"))).isEqualTo("complete: part");
    }
    CompletableFuture<Void> mayReset = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, responseWithoutLength);
              mayReset.join();
              RawServer.reset(socket);
            })) {
      ResponseRecorder recorder = send(server.address(), "a");
      while (recorder.body.length() < "part".length()) {
        Thread.onSpinWait();
      }
      mayReset.complete(null);
      assertThat(outcome(recorder)).isEqualTo("failed");
    }
  }

  /**
   * Guards against a part of an answer that counts as complete: a replica answers an upload without
   * a length and closes before it has read the rest. Only a write may show the reset.
   */
  @Test
  void responseWithoutLengthIsNotCompleteWhileTheRequestIsStillWritten() throws Exception {
    CompletableFuture<Void> isOver = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\npart");
              socket.shutdownOutput();
              isOver.join();
            })) {
      ResponseRecorder recorder = new ResponseRecorder("a");
      loop.run(() -> send(server.address(), recorder, new byte[64 * 1_024 * 1_024]));

      assertThat(outcome(recorder)).isEqualTo("failed");
      isOver.complete(null);
    }
  }

  /** Guards against statuses that no caller can read as an answer. */
  @Test
  void responseWithStatusThatIsNoneFails() throws Exception {
    for (String status : List.of("000", "099", "600", "999", "1000", "-20", "20")) {
      try (RawServer server =
          new RawServer(
              socket -> {
                RawServer.readHead(socket);
                RawServer.write(
                    socket,
                    "HTTP/1.1 " + status + " X\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n");
              })) {
        assertThat(outcome(send(server.address(), "a"))).as(status).isEqualTo("failed");
      }
    }
  }

  @Test
  void truncatedOrInvalidResponseFails() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(
                  socket, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 9\r\n\r\npart");
              socket.close();
            },
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(
                  socket,
                  "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + "4\r\npart\r\n");
              socket.close();
            },
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, "no HTTP at all\r\n\r\n");
            })) {
      assertThat(outcome(send(server.address(), "a"))).isEqualTo("failed");
      assertThat(outcome(send(server.address(), "b"))).isEqualTo("failed");
      assertThat(outcome(send(server.address(), "c"))).isEqualTo("failed");
    }
  }

  @Test
  void connectionIsReusedUnlessThePeerClosesIt() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, RESPONSE.formatted("a", "a1"));
              RawServer.readHead(socket);
              RawServer.write(
                  socket,
                  "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nConnection: close\r\n"
                      + "Content-Length: 2\r\n\r\nb1");
            },
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, RESPONSE.formatted("c", "c2"));
            })) {
      assertThat(outcome(send(server.address(), "a"))).isEqualTo("complete: a1");
      assertThat(outcome(send(server.address(), "b"))).isEqualTo("complete: b1");
      assertThat(outcome(send(server.address(), "c"))).isEqualTo("complete: c2");
      assertThat(pool.openedConnections()).isEqualTo(2);
    }
  }

  /** Reads a request and sends bytes. */
  private static RawServer.Script response(String text) {
    return socket -> {
      RawServer.readHead(socket);
      RawServer.write(socket, text);
    };
  }

  @Test
  void responseWithContradictoryFramingFails() throws Exception {
    for (String framing :
        List.of(
            "Content-Length: 2\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nContent-Length: 2",
            "Content-Length: 2\r\nContent-Length: 5",
            "Content-Length: -1",
            "Content-Length: 2, 2x")) {
      try (RawServer server =
          new RawServer(
              response(
                  "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
                      + framing
                      + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"))) {
        assertThat(outcome(send(server.address(), "a"))).as(framing).isEqualTo("failed");
      }
    }
  }

  @Test
  void bodyOfResponseThatHasNoneIsNotTakenForTheNextResponse() throws Exception {
    try (RawServer server =
        new RawServer(
            response(
                "HTTP/1.1 204 X\r\nAttempt-Id: a\r\nContent-Length: 46\r\n\r\n"
                    + RESPONSE.formatted("b", "no")),
            response(RESPONSE.formatted("b", "ok")))) {
      assertThat(outcome(send(server.address(), "a"))).isEqualTo("complete: ");
      assertThat(outcome(send(server.address(), "b"))).isEqualTo("complete: ok");
    }
  }

  @Test
  void connectionThatThePeerDoesNotKeepIsNotReused() throws Exception {
    for (String field : List.of("Keep-Alive: timeout=0", "Connection: close")) {
      try (RawServer server =
          new RawServer(
              response(
                  "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n"
                      + field
                      + "\r\n\r\nok"
                      + RESPONSE.formatted("b", "no")),
              response(RESPONSE.formatted("b", "ok")))) {
        assertThat(outcome(send(server.address(), "a"))).as(field).isEqualTo("complete: ok");
        assertThat(outcome(send(server.address(), "b"))).as(field).isEqualTo("complete: ok");
      }
    }
  }

  /** Trailers are no part of the body. */
  @Test
  void trailersAreSkipped() throws Exception {
    try (RawServer server =
        new RawServer(
            response(
                "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "2\r\nok\r\n0\r\nNot-Executed: 1\r\n\r\n"))) {
      assertThat(outcome(send(server.address(), "a"))).isEqualTo("complete: ok");
    }
  }

  @Test
  void interimResponsesAreSkipped() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(
                  socket, "HTTP/1.1 103 Early Hints\r\n\r\n" + RESPONSE.formatted("a", "ok"));
            })) {
      assertThat(outcome(send(server.address(), "a"))).isEqualTo("complete: ok");
    }
  }

  @Test
  void requestIsNotSentIfTheConnectionIsRefused() throws Exception {
    RawServer server = new RawServer();
    Address address = server.address();
    server.close();

    ResponseRecorder recorder = send(address, "a");

    assertThat(outcome(recorder)).isEqualTo("failed");
    assertThat(recorder.isSent).isFalse();
  }

  @Test
  void cancellingRequestClosesItsConnection() throws Exception {
    CompletableFuture<Void> received = new CompletableFuture<>();
    CompletableFuture<Void> ended = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              received.complete(null);
              RawServer.awaitEnd(socket, ended);
            })) {
      ResponseRecorder recorder = new ResponseRecorder("a");
      OutboundRequest outbound =
          OutboundRequest.of("GET", "/", HttpFields.EMPTY, new byte[0], recorder);
      loop.run(() -> pool.send(server.address(), outbound, ConnectionPool.ANY_IDLE_TIME));
      received.get(30, TimeUnit.SECONDS);

      loop.run(outbound::cancel);

      ended.get(30, TimeUnit.SECONDS);
      assertThat(recorder.outcome).isNotDone();
    }
  }
}
