package org.bulrushpier.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.Address;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against bytes that are read before a connection has been set up: setting it up then
 * discarded what they had led to.
 */
class ConnectionOpeningTest {

  private static final int TIMEOUT_SECONDS = 5;

  private final EventLoop loop = EventLoop.start();
  private final ReadableEndPoint endPoint = new ReadableEndPoint();

  @AfterEach
  void stop() {
    loop.stop();
  }

  /** Notifies of bytes that are there already as soon as its reader asks for them. */
  private static final class ReadableEndPoint extends ByteArrayEndPoint {
    @Override
    protected void execute(Runnable task) {
      task.run();
    }
  }

  @Test
  void headThatArrivesWithItsConnectionKeepsItsFields() {
    List<InboundRequest> requests = new ArrayList<>();
    CallerConnection connection =
        new CallerConnection(loop, endPoint, (caller, request) -> requests.add(request));
    endPoint.setConnection(connection);
    endPoint.addInput("POST /a HTTP/1.1\r\nHost: x\r\nKey: k\r\nContent-Length: 3\r\n\r\n");

    connection.onOpen();
    endPoint.addInputAndExecute("abc");

    assertThat(requests).hasSize(1);
    assertThat(requests.getFirst().fields().get("Key")).isEqualTo("k");
  }

  /** The body's room had been taken with its head and was taken again with its bytes. */
  @Test
  void bodyIsCountedOnceIfItsHeadArrivesWithItsConnection() {
    CallerConnection connection = new CallerConnection(loop, endPoint, (caller, request) -> {});
    endPoint.setConnection(connection);
    endPoint.addInput("POST /a HTTP/1.1\r\nContent-Length: 200000\r\nHost: x\r\n\r\n");
    connection.onOpen();
    long keptBytes = loop.budget().used();

    endPoint.addInputAndExecute("p".repeat(100_000));

    assertThat(loop.budget().used()).isEqualTo(keptBytes);
  }

  /** The request waited on the closed connection until its own time was over. */
  @Test
  void requestFailsIfItsConnectionEndsAsItOpens() throws Exception {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    ConnectionPool pool = ConnectionPool.of(loop, 10_000);
    Address address = RawServer.freeAddress();
    endPoint.addInputEOF();
    loop.run(
        () -> {
          pool.send(address, request(outcome), ConnectionPool.ANY_IDLE_TIME);
          OutboundConnection connection =
              new OutboundConnection(
                  loop, endPoint, new OutboundConnection.Opening(pool.group(address)));
          endPoint.setConnection(connection);
          connection.onOpen();
        });

    assertThat(outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).contains("ended before the answer");
  }

  private static OutboundRequest request(CompletableFuture<String> outcome) {
    OutboundRequest.Listener listener =
        new OutboundRequest.Listener() {
          @Override
          public void started(ResponseHead head) {}

          @Override
          public void body(ByteBuffer bytes) {}

          @Override
          public void completed() {
            outcome.complete("completed");
          }

          @Override
          public void failed(String detail) {
            outcome.complete(detail);
          }
        };
    return OutboundRequest.of(
        "GET", "/", HttpFields.build().add("Host", "x"), new byte[0], listener);
  }
}
