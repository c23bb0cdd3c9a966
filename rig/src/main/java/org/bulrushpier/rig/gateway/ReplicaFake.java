package org.bulrushpier.rig.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.Address;

/**
 * Fake replica of the users' platform, for a plain service or an engine, which records the requests
 * it executes and the orders it accepts.
 *
 * <p>Thread-safe; guarded by one lock. Its behaviour can be changed at any time.
 */
public final class ReplicaFake implements Closeable {

  /** How the replica handles requests. */
  public enum Behaviour {
    /** Executes the request and answers it. */
    ANSWER,
    /** Refuses the request with 503 and marks it as not executed. */
    REFUSE,
    /** Executes the request and closes the connection without a response. */
    LOSE_ANSWER,
    /** Executes the request and answers 500 with the replica's seal. */
    FAIL,
    /** Closes the connection within the third event of a stream that was not resumed. */
    CUT_STREAM,
    /** Executes the request and never responds; closes the connection on release. */
    SILENT,
    /** Pauses the stream after its first event until the replica is released. */
    HOLD_STREAM,
    /** Sends header fields until the connection is closed. */
    ENDLESS_HEAD,
    /** Sends interim responses until the connection is closed. */
    ENDLESS_INTERIM,
    /** Sends body chunks, all in one line, until the connection is closed. */
    ENDLESS_BODY
  }

  /** The number of events in a complete stream. */
  public static final int EVENTS = 5;

  private static final int ACCEPTED = 202;

  private final String id;
  private final RawHttpServer server;
  private final List<Execution> executions = new ArrayList<>();
  private final List<String> orders = new ArrayList<>();
  private final CountDownLatch released = new CountDownLatch(1);
  private final AtomicLong endlessBytes = new AtomicLong();
  private Behaviour behaviour = Behaviour.ANSWER;
  private int version = 1;
  private boolean isIgnoringOrders;

  /**
   * An executed request.
   *
   * @param target the path and query
   * @param headers the header fields by lower-case name
   * @param body the body
   */
  public record Execution(String target, Map<String, String> headers, String body) {}

  private ReplicaFake(String id) throws IOException {
    this.id = id;
    server = new RawHttpServer(this::handle);
  }

  /**
   * Starts a replica on a free port.
   *
   * @param id the replica's instance id
   * @return the replica
   * @throws IOException if no port is free
   */
  public static ReplicaFake start(String id) throws IOException {
    return new ReplicaFake(id);
  }

  /**
   * Returns the listen address.
   *
   * @return the address
   */
  public Address address() {
    return server.address();
  }

  /**
   * Changes how subsequent requests are handled.
   *
   * @param next the new behaviour
   */
  public synchronized void setBehaviour(Behaviour next) {
    behaviour = next;
  }

  /**
   * Changes how subsequent orders are handled.
   *
   * @param isIgnoring true to close their connections without carrying them out
   */
  public synchronized void ignoreOrders(boolean isIgnoring) {
    isIgnoringOrders = isIgnoring;
  }

  /** Releases the requests and streams that are waiting. */
  public void release() {
    released.countDown();
  }

  /**
   * Returns the executed requests.
   *
   * @return the requests in the order of their arrival
   */
  public synchronized List<Execution> executions() {
    return List.copyOf(executions);
  }

  /**
   * Returns the accepted orders.
   *
   * @return the bodies of the orders in the order of their arrival
   */
  public synchronized List<String> orders() {
    return List.copyOf(orders);
  }

  /**
   * Returns the replica's registry entry.
   *
   * @param service the name of its service
   * @param state {@code ready} or {@code draining}
   * @return the entry as JSON
   */
  public synchronized String entry(String service, String state) {
    return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"norte\",\"version\":\"v1\","
            + "\"slots\":6,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000,"
            + "\"models\":[{\"name\":\"m0\",\"version\":%d,\"adapters\":[]}]}")
        .formatted(service, address(), state, version);
  }

  private boolean handle(RawHttpServer.Request request, Socket socket) throws IOException {
    return switch (request.path()) {
      case "/report" -> RawHttpServer.sendJson(socket, 200, report());
      case "/order" -> order(request, socket);
      case "/kv-events" -> kvEvents(request, socket);
      default -> call(request, socket);
    };
  }

  private synchronized String report() {
    return ("{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":%d}],"
            + "\"busy\":false,\"seq\":%d,\"queued\":0,\"running\":0,"
            + "\"kv_used\":0,\"kv_total\":50000,\"handles\":0}")
        .formatted(version, orders.size());
  }

  private synchronized boolean order(RawHttpServer.Request request, Socket socket)
      throws IOException {
    if (isIgnoringOrders) {
      return false;
    }
    orders.add(request.body());
    version++;
    return RawHttpServer.sendJson(socket, ACCEPTED, "");
  }

  private boolean kvEvents(RawHttpServer.Request request, Socket socket) throws IOException {
    try {
      Thread.sleep(Long.parseLong(request.headers().getOrDefault("wait-ms", "0")));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
    return RawHttpServer.sendJson(
        socket, 200, "{\"boot_epoch\":1,\"next_token\":0,\"lost\":false,\"events\":[]}");
  }

  private boolean call(RawHttpServer.Request request, Socket socket) throws IOException {
    Behaviour current;
    synchronized (this) {
      current = behaviour;
      if (!request.header("expect-instance").equals(id)) {
        RawHttpServer.send(
            socket, "HTTP/1.1 421 X\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        return true;
      }
      if (current != Behaviour.REFUSE) {
        executions.add(new Execution(request.target(), request.headers(), request.body()));
      }
    }
    String attemptHeaders =
        "Attempt-Id: " + request.header("attempt-id") + "\r\nServer-Seal: " + id + "\r\n";
    return switch (current) {
      case REFUSE ->
          sendAll(socket, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      case LOSE_ANSWER -> false;
      case FAIL ->
          sendAll(socket, "HTTP/1.1 500 X\r\n" + attemptHeaders + "Content-Length: 4\r\n\r\nfail");
      case ENDLESS_HEAD ->
          sendWithoutEnd(socket, "HTTP/1.1 200 X\r\n" + attemptHeaders, "X-A: aaaaaaaa\r\n");
      case ENDLESS_INTERIM -> sendWithoutEnd(socket, "", "HTTP/1.1 100 X\r\n\r\n");
      case ENDLESS_BODY ->
          sendWithoutEnd(
              socket,
              "HTTP/1.1 200 X\r\n" + attemptHeaders + "Transfer-Encoding: chunked\r\n\r\n",
              "400\r\n" + "a".repeat(1_024) + "\r\n");
      case SILENT, HOLD_STREAM, CUT_STREAM, ANSWER -> {
        if (current == Behaviour.SILENT) {
          awaitRelease();
          yield false;
        }
        yield request.headers().containsKey("model")
            ? stream(request, socket, attemptHeaders, current)
            : sendAll(
                socket, "HTTP/1.1 200 X\r\n" + attemptHeaders + "Content-Length: 4\r\n\r\ndone");
      }
    };
  }

  private static boolean sendAll(Socket socket, String text) throws IOException {
    RawHttpServer.send(socket, text);
    return true;
  }

  /** Repeats a text until the peer closes the connection. */
  private boolean sendWithoutEnd(Socket socket, String start, String repeated) throws IOException {
    RawHttpServer.send(socket, start);
    while (released.getCount() > 0) {
      RawHttpServer.send(socket, repeated);
      endlessBytes.addAndGet(repeated.length());
    }
    return false;
  }

  /** Returns the number of bytes that endless responses have taken so far. */
  public long endlessBytes() {
    return endlessBytes.get();
  }

  private boolean stream(
      RawHttpServer.Request request, Socket socket, String attemptHeaders, Behaviour current)
      throws IOException {
    RawHttpServer.send(
        socket,
        "HTTP/1.1 200 X\r\n"
            + attemptHeaders
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    int firstEvent = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0")) + 1;
    for (int event = firstEvent; event <= EVENTS; event++) {
      if (current == Behaviour.CUT_STREAM && firstEvent == 1 && event == 3) {
        sendChunk(socket, "id: " + event + "\nda");
        return false;
      }
      sendChunk(socket, "id: " + event + "\ndata: " + event + "\n\n");
      if (current == Behaviour.HOLD_STREAM && event == firstEvent) {
        awaitRelease();
      }
    }
    RawHttpServer.send(socket, "0\r\n\r\n");
    return true;
  }

  private void awaitRelease() {
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void sendChunk(Socket socket, String text) throws IOException {
    RawHttpServer.send(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  @Override
  public void close() throws IOException {
    release();
    server.close();
  }
}
