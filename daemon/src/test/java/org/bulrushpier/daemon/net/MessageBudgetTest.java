package org.bulrushpier.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.Address;
import org.bulrushpier.site.CallerLimits;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against callers whose bodies, each within the limit, together fill the heap. */
class MessageBudgetTest {

  private static final int TIMEOUT_SECONDS = 10;
  private static final int BUDGET_BYTES = 8 * 1_024 * 1_024;

  /** Two of these exceed the part of the budget that requests may take. */
  private static final int BODY_BYTES = 2_500_000;

  private static final CallerLimits LIMITS = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

  private final EventLoop loop = EventLoop.start(BUDGET_BYTES);
  private final BlockingQueue<CallerConnection> connections = new LinkedBlockingQueue<>();
  private final BlockingQueue<InboundRequest> requests = new LinkedBlockingQueue<>();
  private Address address;
  private Closeable listener;

  @BeforeEach
  void listen() throws IOException {
    address = RawServer.freeAddress();
    listener =
        loop.listen(
            address,
            new CallerConnection.Handler() {
              @Override
              public void requestReceived(CallerConnection connection, InboundRequest request) {
                connections.add(connection);
                requests.add(request);
              }

              @Override
              public CallerLimits limits() {
                return LIMITS;
              }
            });
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

  private Socket sendBody(int length) throws IOException {
    Socket socket = connect();
    byte[] body = new byte[length];
    Arrays.fill(body, (byte) 'p');
    Thread.ofVirtual().start(() -> writeIgnoringClose(socket, body));
    return socket;
  }

  private static void writeIgnoringClose(Socket socket, byte[] body) {
    try {
      RawServer.write(
          socket, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length + "\r\n\r\n");
      socket.getOutputStream().write(body);
    } catch (IOException e) {
      // A refused request is not read to its end.
    }
  }

  private void respond() throws InterruptedException {
    CallerConnection connection = connections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    loop.run(
        () -> connection.respond(200, HttpFields.EMPTY, "ok".getBytes(StandardCharsets.UTF_8)));
  }

  private InboundRequest nextRequest() throws InterruptedException {
    return requests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private long keptBytes() {
    AtomicLong kept = new AtomicLong();
    loop.run(() -> kept.set(loop.budget().used()));
    return kept.get();
  }

  @Test
  void bodyWaitsUntilAnotherHasBeenAnswered() throws Exception {
    try (Socket first = sendBody(BODY_BYTES)) {
      assertThat(nextRequest().body()).hasSize(BODY_BYTES);
      try (Socket second = sendBody(BODY_BYTES)) {
        assertThat(requests.poll(200, TimeUnit.MILLISECONDS)).isNull();
        assertThat(keptBytes()).isLessThan(BUDGET_BYTES / 2);

        respond();

        assertThat(RawServer.readHead(first)).startsWith("HTTP/1.1 200");
        byte[] body = nextRequest().body();
        assertThat(body).hasSize(BODY_BYTES);
        assertThat(body[BODY_BYTES - 1]).isEqualTo((byte) 'p');
        respond();
        assertThat(RawServer.readHead(second)).startsWith("HTTP/1.1 200");
      }
    }
    assertNothingIsKept();
  }

  @Test
  void requestForWhichNoRoomIsFoundIsRefusedAndDoesNotRun() throws Exception {
    try (Socket first = sendBody(BODY_BYTES)) {
      nextRequest();
      try (Socket second = sendBody(BODY_BYTES)) {
        assertThat(RawServer.readHead(second))
            .startsWith("HTTP/1.1 503")
            .contains("Connection: close");
      }
      assertThat(requests).isEmpty();
      respond();
      assertThat(RawServer.readHead(first)).startsWith("HTTP/1.1 200");
    }
    assertNothingIsKept();
  }

  @Test
  void smallRequestsAreServedWhileLargeBodiesWait() throws Exception {
    try (Socket first = sendBody(BODY_BYTES);
        Socket second = sendBody(BODY_BYTES);
        Socket small = connect()) {
      nextRequest();
      respond();
      nextRequest();
      RawServer.write(small, "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
      assertThat(nextRequest().target()).isEqualTo("/b");
      assertThat(first.isClosed() || second.isClosed()).isFalse();
    }
  }

  @Test
  void chunkedBodiesDoNotExceedTheBudget() throws Exception {
    String chunk = "10000\r\n" + "x".repeat(65_536) + "\r\n";
    for (int i = 0; i < 6; i++) {
      Socket socket = connect();
      RawServer.write(socket, "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
      Thread.ofVirtual().start(() -> writeChunks(socket, chunk));
    }
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
    while (System.nanoTime() < end) {
      assertThat(keptBytes()).isLessThan(BUDGET_BYTES);
    }
    try (Socket small = connect()) {
      RawServer.write(small, "GET /d HTTP/1.1\r\nHost: x\r\n\r\n");
      assertThat(nextRequest().target()).isEqualTo("/d");
    }
  }

  private static void writeChunks(Socket socket, String chunk) {
    try {
      for (int i = 0; i < 48; i++) {
        RawServer.write(socket, chunk);
      }
    } catch (IOException e) {
      // A refused request is not read to its end.
    }
  }

  /** A caller that reads slowly keeps its response in memory. */
  @Test
  void unreadResponsesDoNotExceedTheBudget() throws Exception {
    for (int i = 0; i < 8; i++) {
      Socket socket = connect();
      RawServer.write(socket, "GET /e HTTP/1.1\r\nHost: x\r\n\r\n");
      nextRequest();
      CallerConnection connection = connections.take();
      loop.run(() -> connection.respond(200, HttpFields.EMPTY, new byte[4_000_000]));
      assertThat(keptBytes()).isLessThan(BUDGET_BYTES);
      socket.setSoTimeout(10);
      try {
        assertThat(socket.getInputStream().read()).isEqualTo('H');
      } catch (SocketTimeoutException e) {
        assertThat(i).isPositive();
      }
    }
  }

  private void assertNothingIsKept() throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (keptBytes() > 0 && System.nanoTime() < end) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(keptBytes()).isZero();
  }
}
