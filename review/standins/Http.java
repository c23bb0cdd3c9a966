import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback. Every connection has a virtual thread. */
final class Http {

  private Http() {}

  /** A request that a server has read completely. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    String path() {
      return target.split("\\?", 2)[0];
    }

    String query(String name, String otherwise) {
      if (target.contains("?")) {
        for (String pair : target.split("\\?", 2)[1].split("&")) {
          if (pair.startsWith(name + "=")) {
            return pair.substring(name.length() + 1);
          }
        }
      }
      return otherwise;
    }
  }

  /** A response as a client read it; status 0 if the connection ended before the response did. */
  record Response(int status, Map<String, String> headers, String body, String failure) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }
  }

  /** Handles a request; returns false to close the connection. */
  interface Handler {
    boolean handle(Request request, Socket socket) throws Exception;
  }

  /** A server on a free loopback port. */
  static final class Server implements Closeable {
    private final Handler handler;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Server(Handler handler) throws IOException {
      this.handler = handler;
      listener = new ServerSocket();
      listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
      Thread.ofVirtual().start(this::accept);
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
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
        while (true) {
          String line = readLine(in);
          if (line == null) {
            return;
          }
          String[] parts = line.split(" ");
          Map<String, String> headers = readHeaders(in);
          byte[] body = readBody(in, headers, false);
          if (!handler.handle(new Request(parts[0], parts[1], headers, body), socket)) {
            return;
          }
        }
      } catch (Exception e) {
        // The peer closed the connection, or this server was stopped.
      } finally {
        sockets.remove(socket);
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** A client's connection, which carries one request after the other. */
  static final class Connection implements Closeable {
    final Socket socket = new Socket();
    private InputStream in;

    static Connection open(String address, int timeoutMillis) throws IOException {
      Connection connection = new Connection();
      String[] parts = address.split(":");
      try {
        connection.socket.connect(
            new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
        connection.socket.setTcpNoDelay(true);
        connection.socket.setSoTimeout(timeoutMillis);
        connection.in = new BufferedInputStream(connection.socket.getInputStream());
        return connection;
      } catch (IOException e) {
        connection.close();
        throw e;
      }
    }

    /** Sends a request and reads its response. */
    Response exchange(String method, String target, Map<String, String> headers, byte[] body) {
      try {
        send(method, target, headers, body);
        return receive();
      } catch (IOException e) {
        return new Response(0, Map.of(), "", e.toString());
      }
    }

    void send(String method, String target, Map<String, String> headers, byte[] body)
        throws IOException {
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Length: " + body.length + "\r\n\r\n");
      byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().write(body);
      socket.getOutputStream().flush();
    }

    Response receive() throws IOException {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("closed without an answer");
      }
      int status = Integer.parseInt(line.split(" ")[1]);
      Map<String, String> headers = readHeaders(in);
      String body = new String(readBody(in, headers, true), StandardCharsets.UTF_8);
      return new Response(status, headers, body, "");
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static void respond(Socket socket, int status, String headers, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head = "HTTP/1.1 " + status + " X\r\n" + headers;
    write(socket, head + "Content-Length: " + bytes.length + "\r\n\r\n" + body);
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int c = in.read();
    while (c >= 0 && c != '\n') {
      if (c != '\r') {
        line.append((char) c);
      }
      c = in.read();
    }
    return c < 0 ? null : line.toString();
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>();
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      String[] header = line.split(":", 2);
      headers.put(header[0].toLowerCase(), header[1].strip());
      line = readLine(in);
    }
    if (line == null) {
      throw new EOFException("closed within the head");
    }
    return headers;
  }

  private static byte[] readBody(InputStream in, Map<String, String> headers, boolean isResponse)
      throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String line = readLine(in);
        if (line == null) {
          throw new EOFException("closed within the body");
        }
        int size = Integer.parseInt(line.strip(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size || readLine(in) == null) {
          throw new EOFException("closed within the body");
        }
        if (size == 0) {
          return body.toByteArray();
        }
        body.write(chunk);
      }
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("closed within the body");
    }
    return body;
  }
}
