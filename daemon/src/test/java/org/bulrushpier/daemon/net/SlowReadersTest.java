package org.bulrushpier.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.Address;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.limit.ByteBudget;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers that read slowly and whose unread bytes take the room of others: others'
 * requests were refused until the slow callers had read or left.
 */
class SlowReadersTest {

  private static final int TIMEOUT_SECONDS = 10;
  private static final int BUDGET_BYTES = 8 * 1_024 * 1_024;
  private static final int REQUESTS = 10;
  private static final int CHUNK_BYTES = 32 * 1_024;

  /** More than sockets buffer for a caller that does not read. */
  private static final int MAX_CHUNKS = 400;

  /** A request may wait this long for room, in milliseconds. */
  private static final long ROOM_WAIT_MILLIS = 500;

  /** A stream whose caller is this far behind may be cut, in milliseconds. */
  private static final long PATIENCE_MILLIS = 2_000;

  private final EventLoop loop = EventLoop.start(BUDGET_BYTES);
  private final BlockingQueue<CallerConnection> connections = new LinkedBlockingQueue<>();
  private final BlockingQueue<CallerConnection> lost = new LinkedBlockingQueue<>();
  private final List<Socket> sockets = new ArrayList<>();
  private volatile boolean isHandlerFaulty;
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
              }

              @Override
              public void callerDisconnected(CallerConnection connection) {
                lost.add(connection);
                if (isHandlerFaulty) {
                  throw new IllegalStateException("on purpose");
                }
              }
            });
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    loop.stop();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
    socket.connect(new InetSocketAddress(address.host(), address.port()));
    sockets.add(socket);
    return socket;
  }

  private CallerConnection request(Socket socket) throws Exception {
    RawServer.write(socket, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    return connections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Streams to a caller that reads nothing until so many bytes are kept for it. */
  private CallerConnection streamUnread(int bytes) throws Exception {
    CallerConnection connection = request(connect());
    long before = keptBytes();
    loop.run(() -> connection.start(200, HttpFields.EMPTY, -1));
    for (int i = 0; i < MAX_CHUNKS && keptBytes() < before + bytes; i++) {
      loop.run(() -> connection.body(ByteBuffer.allocate(CHUNK_BYTES)));
    }
    assertThat(keptBytes()).isGreaterThanOrEqualTo(before + bytes);
    return connection;
  }

  private long keptBytes() {
    AtomicLong kept = new AtomicLong();
    loop.run(() -> kept.set(loop.budget().used()));
    return kept.get();
  }

  /** Sends a request with a body and returns after how many milliseconds it has arrived. */
  private long arrivalMillis(int bodyBytes) throws Exception {
    Socket socket = connect();
    final long sentMillis = MonotonicClock.millis();
    RawServer.write(socket, "POST /fast HTTP/1.1\r\nHost: x\r\n");
    RawServer.write(socket, "Content-Length: " + bodyBytes + "\r\n\r\n" + "p".repeat(bodyBytes));
    CallerConnection connection = connections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    final long arrivedMillis = MonotonicClock.millis();
    assertThat(connection).as("the request of a caller that reads").isNotNull();
    loop.run(() -> connection.respond(200, HttpFields.EMPTY, new byte[0]));
    assertThat(RawServer.readHead(socket)).startsWith("HTTP/1.1 200");
    socket.close();
    return arrivedMillis - sentMillis;
  }

  private CallerConnection nextLost() throws InterruptedException {
    return lost.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static void fallBehind() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(PATIENCE_MILLIS + 100);
  }

  @Test
  void manySlowReadersDoNotDelayOneThatReads() throws Exception {
    int slowReaders = 20;
    for (int i = 0; i < slowReaders; i++) {
      streamUnread(300_000);
    }
    fallBehind();

    List<Long> arrivalMillis = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      arrivalMillis.add(arrivalMillis(300_000));
    }

    arrivalMillis.sort(Comparator.naturalOrder());
    assertThat(arrivalMillis.get(REQUESTS / 2)).isLessThan(ROOM_WAIT_MILLIS);

    assertThat(nextLost()).isNotNull();
    // No more are cut than others need room.
    assertThat(lost).hasSizeLessThan(slowReaders / 2);
  }

  @Test
  void fewCallersAreCut() throws Exception {
    final CallerConnection small = streamUnread(1_000_000);
    final CallerConnection large = streamUnread(3_500_000);
    fallBehind();

    arrivalMillis(500_000);

    assertThat(nextLost()).isSameAs(large);
    assertThat(lost).isEmpty();
    assertThat(small.isClosed()).isFalse();
  }

  @Test
  void readyAnswerIsDeliveredLateWhileStreamsGiveWay() throws Exception {
    Socket late = connect();
    CallerConnection ready = request(late);
    int readyBytes = 3_900_000;
    loop.run(() -> ready.respond(200, HttpFields.EMPTY, new byte[readyBytes]));
    // Sockets buffer a part of it, so the request is as large as the rest of its room.
    int unreadBytes = (int) keptBytes();
    assertThat(unreadBytes).isPositive();
    final CallerConnection stream = streamUnread(3_000_000);
    fallBehind();

    arrivalMillis(4_100_000 - unreadBytes);

    assertThat(nextLost()).isSameAs(stream);
    assertThat(lost).isEmpty();
    assertThat(RawServer.readHead(late)).startsWith("HTTP/1.1 200");
    InputStream in = late.getInputStream();
    assertThat(in.readNBytes(readyBytes)).hasSize(readyBytes);
  }

  @Test
  void roomIsMadeAlthoughTheLossOfCallersCannotBeHandled() throws Exception {
    isHandlerFaulty = true;
    streamUnread(3_000_000);
    streamUnread(3_000_000);
    fallBehind();

    arrivalMillis(1_000_000);
    arrivalMillis(3_500_000);

    assertThat(nextLost()).isNotNull();
    assertThat(nextLost()).isNotNull();
    assertThat(keptBytes()).isZero();
  }

  /** Its response would be cut off by its replica if it waited for room there. */
  @Test
  void bytesThatWaitAlreadyGetTheirRoomOnceOthersAreFarBehind() throws Exception {
    streamUnread(3_000_000);
    streamUnread(3_000_000);
    BlockingQueue<Long> granted = new LinkedBlockingQueue<>();
    loop.run(
        () -> {
          ByteBudget.Account account = loop.budget().open(ByteBudget.Use.RESPONSE);
          assertThat(account.growOrWait(1_000_000, () -> granted.add(account.bytes()))).isFalse();
        });
    assertThat(granted).isEmpty();
    fallBehind();
    loop.run(loop.budget()::relieve);

    assertThat(granted.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(1_000_000L);
  }
}
