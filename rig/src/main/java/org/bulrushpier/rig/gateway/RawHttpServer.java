package org.bulrushpier.rig.gateway;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushpier.Address;

/**
 * A blocking HTTP/1.1 server whose handlers write raw bytes, so that stand-ins can break every rule
 * of the protocol. Thread-safe; one virtual thread a connection.
 */
final class RawHttpServer implements Closeable {

  private static final int BACKLOG = 200;

  private final ServerSocket listener;
  private final Handler handler;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Answers requests. */
  interface Handler {
    /** Writes an answer; returns false to close the connection. */
    boolean answer(Request request, Socket socket) throws IOException;
  }

  /**
   * A request.
   *
   * @param method the method
   * @param target path and query
   * @param fields the fields by name in lower case
   * @param body the body
   */
  record Request(String method, String target, Map<String, String> fields, String body) {
    String field(String name) {
      return fields.getOrDefault(name, "");
    }

    String path() {
      return target.split("\\?", 2)[0];
    }

    long query(String name, long otherwise) {
      for (String pair :
          target.contains("?") ? target.split("\\?", 2)[1].split("&") : new String[0]) {
        if (pair.startsWith(name + "=")) {
          return Long.parseLong(pair.substring(name.length() + 1));
        }
      }
      return otherwise;
    }
  }

  RawHttpServer(Handler handler) throws IOException {
    this.handler = handler;
    listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  Address address() {
    return new Address("127.0.0.1", listener.getLocalPort());
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
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
      Request request = read(in);
      while (request != null && handler.answer(request, socket)) {
        request = read(in);
      }
    } catch (IOException e) {
      // The other side left, which every handler must expect.
    } finally {
      sockets.remove(socket);
    }
  }

  private static Request read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    String[] words = start.split(" ");
    Map<String, String> fields = new TreeMap<>();
    String line = line(in);
    while (line != null && !line.isEmpty()) {
      String[] field = line.split(":", 2);
      fields.put(field[0].toLowerCase(Locale.ROOT), field[1].strip());
      line = line(in);
    }
    byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
    return new Request(words[0], words[1], fields, new String(body, StandardCharsets.UTF_8));
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.append((char) next);
      }
      next = in.read();
    }
    return line.toString();
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  static boolean json(Socket socket, int status, String body) throws IOException {
    int length = body.getBytes(StandardCharsets.UTF_8).length;
    write(
        socket,
        "HTTP/1.1 "
            + status
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + length
            + "\r\n\r\n"
            + body);
    return true;
  }

  /** Ends all open connections, as a crash does. */
  void dropConnections() {
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new IllegalStateException("a socket did not close", e);
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    dropConnections();
  }
}
