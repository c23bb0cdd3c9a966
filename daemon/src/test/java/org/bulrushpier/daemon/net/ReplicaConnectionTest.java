package org.bulrushpier.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.Address;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReplicaConnectionTest {

  private static final String ANSWER =
      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\n%s";

  private final NetLoop loop = NetLoop.start();
  private final ConnectionPool pool = ConnectionPool.of(loop, 10_000);

  @AfterEach
  void stop() {
    loop.stop();
  }

  /** Collects an answer. */
  private static final class Asker implements Outbound.Listener {
    private final String id;
    private final StringBuilder body = new StringBuilder();
    private final CompletableFuture<String> outcome = new CompletableFuture<>();
    private boolean isSent;

    Asker(String id) {
      this.id = id;
    }

    @Override
    public boolean isMine(AnswerHead head) {
      return id.equals(head.fields().get("Attempt-Id"));
    }

    @Override
    public void sending() {
      isSent = true;
    }

    @Override
    public void started(AnswerHead head) {}

    @Override
    public void body(ByteBuffer bytes) {
      body.append(StandardCharsets.ISO_8859_1.decode(bytes));
    }

    @Override
    public void completed() {
      outcome.complete("whole: " + body);
    }

    @Override
    public void failed(String detail) {
      outcome.complete("failed");
    }
  }

  private Asker ask(Address address, String id) {
    Asker asker = new Asker(id);
    HttpFields fields = HttpFields.build().add("Host", "x").add("Attempt-Id", id);
    loop.run(
        () ->
            pool.send(
                address,
                Outbound.of("GET", "/", fields, new byte[0], asker),
                ConnectionPool.ANY_AGE));
    return asker;
  }

  private static String outcome(Asker asker) throws Exception {
    return asker.outcome.get(30, TimeUnit.SECONDS);
  }

  @Test
  void anAnswerToAnotherRequestIsDropped() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, ANSWER.formatted("other", "no"));
              RawServer.write(socket, ANSWER.formatted("mine", "ok"));
            })) {
      assertThat(outcome(ask(server.address(), "mine"))).isEqualTo("whole: ok");
    }
  }

  @Test
  void bytesAfterCompleteAnswerCloseTheConnectionAndBelongToNobody() throws Exception {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, ANSWER.formatted("a", "ok") + ANSWER.formatted("a", "again"));
              RawServer.awaitEnd(socket, ended);
            },
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, ANSWER.formatted("b", "b!"));
            })) {
      assertThat(outcome(ask(server.address(), "a"))).isEqualTo("whole: ok");
      ended.get(30, TimeUnit.SECONDS);
      assertThat(outcome(ask(server.address(), "b"))).isEqualTo("whole: b!");
    }
  }

  @Test
  void anAnswerWithoutLengthIsWholeAtAnOrderlyEndOnly() throws Exception {
    String unframed = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\npart";
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, unframed);
              socket.close();
            })) {
      assertThat(outcome(ask(server.address(), "a"))).isEqualTo("whole: part");
    }
    CompletableFuture<Void> mayReset = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, unframed);
              mayReset.join();
              RawServer.reset(socket);
            })) {
      Asker asker = ask(server.address(), "a");
      while (asker.body.length() < "part".length()) {
        Thread.onSpinWait();
      }
      mayReset.complete(null);
      assertThat(outcome(asker)).isEqualTo("failed");
    }
  }

  @Test
  void anAnswerCutShortFails() throws Exception {
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
      assertThat(outcome(ask(server.address(), "a"))).isEqualTo("failed");
      assertThat(outcome(ask(server.address(), "b"))).isEqualTo("failed");
      assertThat(outcome(ask(server.address(), "c"))).isEqualTo("failed");
    }
  }

  @Test
  void connectionIsReusedUnlessThePeerEndsIt() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, ANSWER.formatted("a", "a1"));
              RawServer.readHead(socket);
              RawServer.write(
                  socket,
                  "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nConnection: close\r\n"
                      + "Content-Length: 2\r\n\r\nb1");
            },
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(socket, ANSWER.formatted("c", "c2"));
            })) {
      assertThat(outcome(ask(server.address(), "a"))).isEqualTo("whole: a1");
      assertThat(outcome(ask(server.address(), "b"))).isEqualTo("whole: b1");
      assertThat(outcome(ask(server.address(), "c"))).isEqualTo("whole: c2");
      assertThat(pool.opened()).isEqualTo(2);
    }
  }

  @Test
  void interimAnswersArePassedOver() throws Exception {
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              RawServer.write(
                  socket, "HTTP/1.1 103 Early Hints\r\n\r\n" + ANSWER.formatted("a", "ok"));
            })) {
      assertThat(outcome(ask(server.address(), "a"))).isEqualTo("whole: ok");
    }
  }

  @Test
  void refusedConnectionMeansThatNothingWasSent() throws Exception {
    RawServer server = new RawServer();
    Address address = server.address();
    server.close();

    Asker asker = ask(address, "a");

    assertThat(outcome(asker)).isEqualTo("failed");
    assertThat(asker.isSent).isFalse();
  }

  @Test
  void cancelledRequestEndsItsConnection() throws Exception {
    CompletableFuture<Void> received = new CompletableFuture<>();
    CompletableFuture<Void> ended = new CompletableFuture<>();
    try (RawServer server =
        new RawServer(
            socket -> {
              RawServer.readHead(socket);
              received.complete(null);
              RawServer.awaitEnd(socket, ended);
            })) {
      Asker asker = new Asker("a");
      Outbound outbound = Outbound.of("GET", "/", HttpFields.EMPTY, new byte[0], asker);
      loop.run(() -> pool.send(server.address(), outbound, ConnectionPool.ANY_AGE));
      received.get(30, TimeUnit.SECONDS);

      loop.run(outbound::cancel);

      ended.get(30, TimeUnit.SECONDS);
      assertThat(asker.outcome).isNotDone();
    }
  }
}
