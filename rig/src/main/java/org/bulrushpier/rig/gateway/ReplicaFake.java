package org.bulrushpier.rig.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.bulrushpier.Address;

/**
 * A replica of the platform, plain or engine, with a record of what it ran and was ordered.
 *
 * <p>Thread-safe; one lock. Its behaviour can be changed at any time.
 */
public final class ReplicaFake implements Closeable {

  /** What it does with calls. */
  public enum Behaviour {
    /** Answers. */
    ANSWER,
    /** Says that it is full and did not run the call. */
    REFUSE,
    /** Runs the call and ends the connection without an answer. */
    LOSE_ANSWER,
    /** Runs the call, fails it and signs the failure. */
    FAIL,
    /** Ends the connection in the middle of a fresh stream's third event. */
    CUT_STREAM,
    /** Runs the call and never answers. */
    SILENT,
    /** Streams until it is released. */
    HOLD_STREAM
  }

  /** The events of a whole stream. */
  public static final int EVENTS = 5;

  private static final int ACCEPTED = 202;

  private final String id;
  private final RawHttpServer server;
  private final List<Ran> record = new ArrayList<>();
  private final List<String> orders = new ArrayList<>();
  private final CountDownLatch released = new CountDownLatch(1);
  private Behaviour behaviour = Behaviour.ANSWER;
  private int version = 1;

  /**
   * A call that ran.
   *
   * @param target path and query
   * @param fields the fields by name in lower case
   * @param body the body
   */
  public record Ran(String target, Map<String, String> fields, String body) {}

  private ReplicaFake(String id) throws IOException {
    this.id = id;
    server = new RawHttpServer(this::answer);
  }

  /**
   * Starts a replica on a free port.
   *
   * @param id its id
   * @return the replica
   * @throws IOException if no port is free
   */
  public static ReplicaFake start(String id) throws IOException {
    return new ReplicaFake(id);
  }

  /**
   * Returns where it listens.
   *
   * @return the address
   */
  public Address address() {
    return server.address();
  }

  /**
   * Changes what it does with calls.
   *
   * @param next the behaviour
   */
  public synchronized void behave(Behaviour next) {
    behaviour = next;
  }

  /** Lets held streams end. */
  public void release() {
    released.countDown();
  }

  /**
   * Returns what it ran.
   *
   * @return the calls in their order
   */
  public synchronized List<Ran> ran() {
    return List.copyOf(record);
  }

  /**
   * Returns the orders that it accepted.
   *
   * @return their bodies
   */
  public synchronized List<String> orders() {
    return List.copyOf(orders);
  }

  /**
   * Makes its registry entry.
   *
   * @param service its service
   * @param state ready or draining
   * @return the entry as JSON
   */
  public synchronized String entry(String service, String state) {
    return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"norte\",\"version\":\"v1\","
            + "\"slots\":6,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000,"
            + "\"models\":[{\"name\":\"m0\",\"version\":%d,\"adapters\":[]}]}")
        .formatted(service, address(), state, version);
  }

  private boolean answer(RawHttpServer.Request request, Socket socket) throws IOException {
    return switch (request.path()) {
      case "/report" -> RawHttpServer.json(socket, 200, report());
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
    orders.add(request.body());
    version++;
    return RawHttpServer.json(socket, ACCEPTED, "");
  }

  private boolean kvEvents(RawHttpServer.Request request, Socket socket) throws IOException {
    try {
      Thread.sleep(Long.parseLong(request.fields().getOrDefault("wait-ms", "0")));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
    return RawHttpServer.json(
        socket, 200, "{\"boot_epoch\":1,\"next_token\":0,\"lost\":false,\"events\":[]}");
  }

  private boolean call(RawHttpServer.Request request, Socket socket) throws IOException {
    Behaviour now;
    synchronized (this) {
      now = behaviour;
      if (!request.field("expect-instance").equals(id)) {
        RawHttpServer.write(
            socket, "HTTP/1.1 421 X\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        return true;
      }
      if (now != Behaviour.REFUSE) {
        record.add(new Ran(request.target(), request.fields(), request.body()));
      }
    }
    String head = "Attempt-Id: " + request.field("attempt-id") + "\r\nServer-Seal: " + id + "\r\n";
    return switch (now) {
      case REFUSE ->
          whole(socket, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      case LOSE_ANSWER -> false;
      case FAIL -> whole(socket, "HTTP/1.1 500 X\r\n" + head + "Content-Length: 4\r\n\r\nfail");
      case SILENT, HOLD_STREAM, CUT_STREAM, ANSWER -> {
        if (now == Behaviour.SILENT) {
          await();
          yield false;
        }
        yield request.fields().containsKey("model")
            ? stream(request, socket, head, now)
            : whole(socket, "HTTP/1.1 200 X\r\n" + head + "Content-Length: 4\r\n\r\ndone");
      }
    };
  }

  private static boolean whole(Socket socket, String text) throws IOException {
    RawHttpServer.write(socket, text);
    return true;
  }

  private boolean stream(RawHttpServer.Request request, Socket socket, String head, Behaviour now)
      throws IOException {
    RawHttpServer.write(
        socket,
        "HTTP/1.1 200 X\r\n"
            + head
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    int from = Integer.parseInt(request.fields().getOrDefault("last-event-id", "0")) + 1;
    for (int event = from; event <= EVENTS; event++) {
      if (now == Behaviour.CUT_STREAM && from == 1 && event == 3) {
        chunk(socket, "id: " + event + "\nda");
        return false;
      }
      chunk(socket, "id: " + event + "\ndata: " + event + "\n\n");
      if (now == Behaviour.HOLD_STREAM && event == from) {
        await();
      }
    }
    RawHttpServer.write(socket, "0\r\n\r\n");
    return true;
  }

  private void await() {
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void chunk(Socket socket, String text) throws IOException {
    RawHttpServer.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  @Override
  public void close() throws IOException {
    release();
    server.close();
  }
}
