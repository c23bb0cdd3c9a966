package org.bulrushpier.rig.gateway;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushpier.Address;

/**
 * A blocking HTTP/1.1 server whose handlers write raw bytes, so that fakes can violate the protocol
 * in any way. Thread-safe; uses one virtual thread per connection.
 */
final class RawHttpServer implements Closeable {

  private static final int BACKLOG = 200;

  private final Handler handler;
  private final Address address;
  private volatile ServerSocket listener;
  private volatile boolean isClosed;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Handles requests. */
  interface Handler {
    /** Writes a response; returns false to close the connection. */
    boolean handle(Request request, Socket socket) throws IOException;
  }

  /**
   * A parsed request.
   *
   * @param method the HTTP method
   * @param target the path and query
   * @param headers the header fields by lower-case name
   * @param body the body
   * @param isFirst whether it is the first request on its connection
   */
  record Request(
      String method, String target, Map<String, String> headers, String body, boolean isFirst) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String path() {
      return target.split("\\?", 2)[0];
    }

    long query(String name, long defaultValue) {
      for (String pair :
          target.contains("?") ? target.split("\\?", 2)[1].split("&") : new String[0]) {
        if (pair.startsWith(name + "=")) {
          return Long.parseLong(pair.substring(name.length() + 1));
        }
      }
      return defaultValue;
    }
  }

  RawHttpServer(Handler handler) throws IOException {
    this.handler = handler;
    listener = listen(0);
    address = new Address("127.0.0.1", listener.getLocalPort());
  }

  private ServerSocket listen(int port) throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG);
    Thread.ofVirtual().start(() -> accept(opened));
    return opened;
  }

  Address address() {
    return address;
  }

  private void accept(ServerSocket from) {
    while (!from.isClosed()) {
      try {
        Socket socket = from.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Request request = readRequest(in, true);
      while (request != null && handler.handle(request, socket)) {
        request = readRequest(in, false);
      }
    } catch (IOException e) {
      // The peer closed the connection, which is expected at any point of an exchange.
    } finally {
      sockets.remove(socket);
    }
  }

  private static Request readRequest(InputStream in, boolean isFirst) throws IOException {
    String requestLine = readLine(in);
    if (requestLine == null) {
      return null;
    }
    String[] requestParts = requestLine.split(" ");
    Map<String, String> headers = new TreeMap<>();
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      String[] header = line.split(":", 2);
      headers.put(header[0].toLowerCase(Locale.ROOT), header[1].strip());
      line = readLine(in);
    }
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    return new Request(
        requestParts[0],
        requestParts[1],
        headers,
        new String(body, StandardCharsets.UTF_8),
        isFirst);
  }

  /** Reads a line; returns null if the connection ends before the end of the line. */
  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int character = in.read();
    while (character >= 0 && character != '\n') {
      if (character != '\r') {
        line.append((char) character);
      }
      character = in.read();
    }
    return character < 0 ? null : line.toString();
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  static boolean sendJson(Socket socket, int status, String body) throws IOException {
    return sendJson(socket, status, "", body);
  }

  /** Sends a JSON response with further header lines, each with its line end. */
  static boolean sendJson(Socket socket, int status, String headers, String body)
      throws IOException {
    int length = body.getBytes(StandardCharsets.UTF_8).length;
    send(
        socket,
        "HTTP/1.1 "
            + status
            + " X\r\n"
            + headers
            + "Content-Type: application/json\r\nContent-Length: "
            + length
            + "\r\n\r\n"
            + body);
    return true;
  }

  /**
   * Checks whether the peer has closed the connection; the peer must not have sent the next
   * request.
   */
  static boolean isClosedByPeer(Socket socket) throws IOException {
    try {
      socket.setSoTimeout(1);
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } finally {
      if (!socket.isClosed()) {
        socket.setSoTimeout(0);
      }
    }
  }

  /** Closes all open connections, as a crash of the process would. */
  void dropConnections() {
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new IllegalStateException("socket could not be closed", e);
      }
    }
  }

  /** Stops listening and closes all open connections, as a crash of the process would. */
  void crash() throws IOException {
    listener.close();
    dropConnections();
  }

  /** Listens again after a crash. */
  synchronized void restart() throws IOException {
    if (!isClosed) {
      listener = listen(address.port());
    }
  }

  @Override
  public synchronized void close() throws IOException {
    isClosed = true;
    listener.close();
    dropConnections();
  }
}
