package org.bulrushpier.rig.gateway;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.bulrushpier.Address;

/**
 * A caller of the users' platform with one connection to an instance, over which it makes one call
 * at a time.
 *
 * <p>Not thread-safe.
 */
public final class CallerFake implements Closeable {

  private static final String HOST = "soak";
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int HEXADECIMAL = 16;

  /** The routes of {@link #configuration}. */
  public enum Route {
    /** Calls that must not be repeated. */
    ONCE,
    /** Calls that may be repeated. */
    SAFE,
    /** Generations that may continue at another engine. */
    STREAM,
    /** Generations that may not continue at another engine. */
    NOTE;

    /** Returns whether calls on the route are generations. */
    public boolean isGeneration() {
      return this == STREAM || this == NOTE;
    }
  }

  /**
   * A call. Immutable and thread-safe.
   *
   * @param id the id
   * @param route the route
   * @param key the customer's key
   * @param session the number of the session that a generation belongs to
   * @param events the number of events of a generation
   * @param waitMillis how long the caller waits, in milliseconds
   * @param part a further part of the prompt, or empty
   */
  public record Call(
      String id, Route route, String key, int session, int events, long waitMillis, String part) {

    /** Creates a call whose prompt has no further part. */
    public Call(String id, Route route, String key, int session, int events, long waitMillis) {
      this(id, route, key, session, events, waitMillis, "");
    }
  }

  /**
   * What the caller received. Immutable and thread-safe.
   *
   * @param status the status, 0 if no response began, or -1 if its head cannot be read
   * @param id the id of the call that the response names
   * @param body the body as far as it was received
   * @param isWhole whether the response ended normally
   * @param detail the reason of a refusal, or how the connection ended
   */
  public record Answer(int status, String id, String body, boolean isWhole, String detail) {

    /**
     * Checks that a stream has each event once and in order, and is complete if it ended normally.
     *
     * @param events the number of events of the complete stream
     * @return the error, or empty
     */
    public String streamError(int events) {
      int next = 1;
      for (String event : body.split("\n\n")) {
        String expected = "id: " + next + "\ndata: " + next;
        if (event.equals(expected) && next <= events) {
          next++;
        } else if (isWhole || !expected.startsWith(event)) {
          return "event " + next + " of " + events + " was expected, not '" + event + "'";
        }
      }
      return isWhole && next <= events ? "ended before event " + next + " of " + events : "";
    }
  }

  private final Socket socket;
  private final InputStream in;

  private CallerFake(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
  }

  /**
   * Connects to an instance.
   *
   * @param address the address
   * @param timeoutMillis how long the caller waits for any further byte, in milliseconds
   * @return the caller
   * @throws IOException if the instance cannot be reached
   */
  public static CallerFake open(Address address, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    try {
      socket.connect(
          new InetSocketAddress(address.host(), address.port()),
          Math.min(timeoutMillis, CONNECT_TIMEOUT_MILLIS));
      return new CallerFake(socket);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /**
   * Returns the configuration with all routes, a service {@code plain} and a service {@code
   * engines}.
   *
   * @param version the version
   * @param keys the key of each customer
   * @param timeoutMillis the timeout of each route, in milliseconds
   * @param idleTimeoutMillis how long a connection may be idle, in milliseconds
   * @return the configuration as JSON
   */
  public static String configuration(
      int version, Map<String, String> keys, long timeoutMillis, long idleTimeoutMillis) {
    StringBuilder routes = new StringBuilder();
    for (Route route : Route.values()) {
      boolean isOnce = route == Route.ONCE;
      routes
          .append(routes.isEmpty() ? "" : ",")
          .append(
              "{\"name\":\"%1$s\",\"host\":\"%2$s\",\"path_prefix\":\"/%1$s/\","
                  .formatted(name(route), HOST))
          .append(
              "\"kind\":\"%s\",\"timeout_ms\":%d,\"goal_ms\":1000,\"service\":\"%s\","
                  .formatted(
                      route.isGeneration() ? "streaming" : isOnce ? "non_idempotent" : "safe",
                      timeoutMillis,
                      route.isGeneration() ? "engines" : "plain"))
          .append(
              "\"max_attempts\":%d,\"can_resume\":%b}"
                  .formatted(route == Route.NOTE ? 1 : 3, route == Route.STREAM));
    }
    StringBuilder customers = new StringBuilder();
    keys.forEach(
        (customer, key) ->
            customers
                .append(customers.isEmpty() ? "" : ",")
                .append(
                    "{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"priority\":1}"
                        .formatted(customer, key)));
    return ("{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"plain\",\"max_conns\":50},"
            + "{\"name\":\"engines\",\"max_conns\":50,\"engine\":{\"slots\":6,"
            + "\"kv_capacity\":50000,\"kv_bytes\":1000,\"link_mbps\":1000.0,"
            + "\"backups\":true,"
            + "\"models\":[{\"name\":\"m0\"}]}}],\"limits\":{\"idle_timeout_ms\":%d},"
            + "\"tenants\":[%s]}")
        .formatted(version, routes, idleTimeoutMillis, customers);
  }

  private static String name(Route route) {
    return route.name().toLowerCase(Locale.ROOT);
  }

  /**
   * Makes a call. After an answer that is not whole the caller must be closed.
   *
   * @param call the call
   * @return what was received until the response or the connection ended
   */
  public Answer send(Call call) {
    return send(call, "body");
  }

  /**
   * Makes a call with a given body. After an answer that is not whole the caller must be closed.
   *
   * @param call the call
   * @param body the body, of ASCII characters
   * @return what was received until the response or the connection ended
   */
  public Answer send(Call call, String body) {
    String generation =
        call.route().isGeneration()
            ? "Model: m0\r\nToken-Usage: 100,%1$d\r\nPrefix-Hash: s%2$d:80,%3$sr%2$d:20\r\n"
                .formatted(
                    call.events(),
                    call.session(),
                    call.part().isEmpty() ? "" : call.part() + ":20,")
            : "";
    return exchange(
        "POST /%s/a HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
                .formatted(name(call.route()), HOST, call.id(), call.waitMillis())
            + "Authorization: Bearer "
            + call.key()
            + "\r\n"
            + generation
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  /**
   * Checks whether an instance is ready for new connections.
   *
   * @return true if it says so
   */
  public boolean isReady() {
    return exchange("GET /ready HTTP/1.1\r\nHost: " + HOST + "\r\n\r\n").status() == 200;
  }

  private Answer exchange(String request) {
    int status = 0;
    Map<String, String> headers = new TreeMap<>();
    StringBuilder body = new StringBuilder();
    try {
      RawHttpServer.send(socket, request);
      status = statusCode(line(), body);
      for (String line = line(); !line.isEmpty(); line = line()) {
        String[] header = line.split(":", 2);
        headers.put(header[0].toLowerCase(Locale.ROOT), header[1].strip());
      }
      if (headers.containsKey("content-length")) {
        read(Integer.parseInt(headers.get("content-length")), body);
      } else {
        for (int size = chunkSize(body); size > 0; size = chunkSize(body)) {
          read(size, body);
          line();
        }
        line();
      }
      return answer(status, headers, body, true, headers.getOrDefault("refusal-reason", ""));
    } catch (IOException e) {
      return answer(status, headers, body, false, e.toString());
    }
  }

  private static Answer answer(
      int status, Map<String, String> headers, StringBuilder body, boolean isWhole, String detail) {
    return new Answer(
        status, headers.getOrDefault("attempt-id", ""), body.toString(), isWhole, detail);
  }

  /** Returns the status code of a status line, or -1 if the line is none. */
  private static int statusCode(String line, StringBuilder body) {
    if (line.matches("HTTP/1\\.1 \\d{3}( .*)?")) {
      return Integer.parseInt(line.split(" ")[1]);
    }
    body.append(line);
    return -1;
  }

  /** Reads the size of the next chunk; another line in its place is taken as part of the body. */
  private int chunkSize(StringBuilder body) throws IOException {
    String line = line();
    try {
      return Integer.parseInt(line, HEXADECIMAL);
    } catch (NumberFormatException e) {
      body.append(line);
      throw new IOException("no chunk size: " + line);
    }
  }

  private void read(int size, StringBuilder body) throws IOException {
    byte[] bytes = in.readNBytes(size);
    body.append(new String(bytes, StandardCharsets.UTF_8));
    if (bytes.length < size) {
      throw new IOException("closed within the body");
    }
  }

  private String line() throws IOException {
    String line = RawHttpServer.readLine(in);
    if (line == null) {
      throw new IOException("closed");
    }
    return line;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
