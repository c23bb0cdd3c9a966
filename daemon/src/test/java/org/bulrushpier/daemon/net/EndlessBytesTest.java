package org.bulrushpier.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.Address;
import org.bulrushpier.MonotonicClock;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against peers whose bytes cost more to handle than to send: while they sent, timers and
 * all other connections waited until the peers paused.
 */
class EndlessBytesTest {

  /** Unanswered requests must end within this time after their timeout, in milliseconds. */
  private static final long MAX_DELAY_MILLIS = 500;

  private static final int FAULTY_PEERS = 3;
  private static final int MAX_CONNECTIONS = 20;
  private static final int SOUND_REQUESTS = 10;
  private static final long PLAY_MILLIS = 3_000;
  private static final int REPETITIONS = 4_000;
  private static final String MATCHING_HEAD =
      "HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String FOREIGN_HEAD =
      "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String SMALL_CHUNK = "1\r\nx\r\n";
  private static final String FOREIGN_RESPONSE =
      "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n";

  private final EventLoop loop = EventLoop.start();
  private final ConnectionPool pool = ConnectionPool.of(loop, 10_000);
  private final List<RawServer> servers = new ArrayList<>();

  @AfterEach
  void stop() throws IOException {
    loop.stop();
    for (RawServer server : servers) {
      server.close();
    }
  }

  /** Completes with the outcome of a request. */
  private static final class Response implements OutboundRequest.Listener {
    private final CompletableFuture<String> outcome = new CompletableFuture<>();

    @Override
    public boolean matches(ResponseHead head) {
      return "mine".equals(head.fields().get("Attempt-Id"));
    }

    @Override
    public void started(ResponseHead head) {}

    @Override
    public void body(ByteBuffer bytes) {}

    @Override
    public void completed() {
      outcome.complete("complete");
    }

    @Override
    public void failed(String detail) {
      outcome.complete("failed: " + detail);
    }
  }

  private Response send(Address address) {
    Response response = new Response();
    HttpFields fields = HttpFields.build().add("Host", "x");
    loop.run(
        () ->
            pool.send(
                address,
                OutboundRequest.of("GET", "/", fields, new byte[0], response),
                ConnectionPool.ANY_IDLE_TIME));
    return response;
  }

  private Address serve(RawServer.Script script) throws IOException {
    RawServer server =
        new RawServer(
            Collections.nCopies(MAX_CONNECTIONS, script).toArray(RawServer.Script[]::new));
    servers.add(server);
    return server.address();
  }

  /** Serves a head and then the same bytes again and again until the connection is closed. */
  private Address serveEndless(String head, String repeated) throws IOException {
    byte[] bytes = repeated.repeat(REPETITIONS).getBytes(StandardCharsets.ISO_8859_1);
    return serve(
        socket -> {
          RawServer.readHead(socket);
          RawServer.write(socket, head);
          writeEndless(socket, bytes);
        });
  }

  private static void writeEndless(Socket socket, byte[] bytes) throws IOException {
    OutputStream out = socket.getOutputStream();
    long end = MonotonicClock.millis() + PLAY_MILLIS;
    while (MonotonicClock.millis() < end) {
      out.write(bytes);
    }
  }

  private Address serveSound() throws IOException {
    return serve(
        socket -> {
          while (true) {
            RawServer.readHead(socket);
            RawServer.write(
                socket, "HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 0\r\n\r\n");
          }
        });
  }

  private void assertOthersAreServed() throws Exception {
    Address sound = serveSound();
    for (int i = 0; i < SOUND_REQUESTS; i++) {
      CompletableFuture<Long> timer = new CompletableFuture<>();
      long due = MonotonicClock.millis() + 100;
      loop.after(100, () -> timer.complete(MonotonicClock.millis() - due));
      assertThat(timer.get(PLAY_MILLIS, TimeUnit.MILLISECONDS)).isLessThan(MAX_DELAY_MILLIS);
      assertThat(send(sound).outcome.get(MAX_DELAY_MILLIS, TimeUnit.MILLISECONDS))
          .isEqualTo("complete");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {MATCHING_HEAD, FOREIGN_HEAD})
  void endlessSmallChunksDoNotDelayOtherConnections(String head) throws Exception {
    Address faulty = serveEndless(head, SMALL_CHUNK);
    for (int i = 0; i < FAULTY_PEERS; i++) {
      send(faulty);
    }
    assertOthersAreServed();
  }

  @Test
  void endlessResponsesToOtherRequestsDoNotDelayOtherConnections() throws Exception {
    Address faulty = serveEndless("", FOREIGN_RESPONSE);
    List<Response> responses = new ArrayList<>();
    for (int i = 0; i < FAULTY_PEERS; i++) {
      responses.add(send(faulty));
    }
    assertOthersAreServed();
    for (Response response : responses) {
      assertThat(response.outcome.get(MAX_DELAY_MILLIS, TimeUnit.MILLISECONDS))
          .startsWith("failed");
    }
  }

  /** Nothing limited what was discarded of a response that no request waits for. */
  @Test
  void endlessResponseToAnotherRequestIsCutOff() throws Exception {
    Response response = send(serveEndless(FOREIGN_HEAD, SMALL_CHUNK));
    assertThat(response.outcome.get(PLAY_MILLIS, TimeUnit.MILLISECONDS)).startsWith("failed");
  }

  /** Requests that are answered at once are handled one after the other until none is left. */
  @Test
  void endlessPipelinedRequestsDoNotDelayOtherConnections() throws Exception {
    Address address = serveSlowly();
    byte[] bytes =
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
            .repeat(REPETITIONS)
            .getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < FAULTY_PEERS; i++) {
      Socket socket = new Socket(address.host(), address.port());
      inBackground(() -> socket.getInputStream().transferTo(OutputStream.nullOutputStream()));
      inBackground(
          () -> {
            writeEndless(socket, bytes);
            return null;
          });
    }
    assertOthersAreServed();
  }

  private static void inBackground(Callable<?> task) {
    Thread.ofVirtual().start(() -> callIgnoringFailure(task));
  }

  /** The connection may be closed at any moment. */
  private static void callIgnoringFailure(Callable<?> task) {
    try {
      task.call();
    } catch (Exception e) {
      assertThat(e).isInstanceOf(IOException.class);
    }
  }

  /** Serves requests whose handling takes a fifth of a millisecond each. */
  private Address serveSlowly() throws Exception {
    Address address = RawServer.freeAddress();
    loop.listen(
        address,
        (connection, request) -> {
          long end = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(200);
          while (System.nanoTime() < end) {
            Thread.onSpinWait();
          }
          connection.respond(200, HttpFields.EMPTY, new byte[0]);
        });
    return address;
  }
}
