import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 on plain sockets, for servers and clients that must control each byte. */
final class Http {

  private Http() {}

  /** A request or response head. Header names are in lower case. */
  record Head(String first, Map<String, String> headers) {
    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** A response with its whole body. */
  record Answer(Head head, byte[] body) {
    int status() {
      return head.status();
    }
  }

  /** An open connection. */
  static final class Conn implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Conn(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream(), 16_384);
      out = socket.getOutputStream();
    }

    /** Reads a head, or returns null if the connection ended before its first byte. */
    Head readHead() throws IOException {
      String first = line();
      while (first != null && first.isEmpty()) {
        first = line();
      }
      if (first == null) {
        return null;
      }
      Map<String, String> headers = new LinkedHashMap<>();
      for (String next = line(); next != null && !next.isEmpty(); next = line()) {
        int colon = next.indexOf(':');
        headers.put(
            next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).strip());
      }
      return new Head(first, headers);
    }

    private String line() throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      for (int next = in.read(); next >= 0; next = in.read()) {
        if (next == '\n') {
          String text = bytes.toString(StandardCharsets.ISO_8859_1);
          return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
        }
        bytes.write(next);
      }
      if (bytes.size() > 0) {
        throw new EOFException("the connection ended in a line");
      }
      return null;
    }

    /** Reads the body that a head announces. */
    byte[] readBody(Head head) throws IOException {
      if (head.header("transfer-encoding").equals("chunked")) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
          String size = line();
          if (size == null) {
            throw new EOFException("the connection ended in a body");
          }
          int length = Integer.parseInt(size.split(";")[0].strip(), 16);
          all.write(exactly(length));
          line();
          if (length == 0) {
            return all.toByteArray();
          }
        }
      }
      String length = head.header("content-length");
      return length.isEmpty() ? new byte[0] : exactly(Integer.parseInt(length));
    }

    private byte[] exactly(int length) throws IOException {
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException("the connection ended in a body");
      }
      return bytes;
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Writes a response with a body of known length. */
    void respond(int status, String headers, String body) throws IOException {
      write(
          "HTTP/1.1 "
              + status
              + " X\r\n"
              + headers
              + "Content-Length: "
              + body.getBytes(StandardCharsets.UTF_8).length
              + "\r\n\r\n"
              + body);
    }

    /** Sends a request and reads its answer. */
    Answer call(String head, byte[] body) throws IOException {
      write(head);
      if (body.length > 0) {
        write(body);
      }
      Head answer = readHead();
      if (answer == null) {
        throw new EOFException("the connection ended without an answer");
      }
      return new Answer(answer, readBody(answer));
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // The connection is of no further use.
      }
    }
  }

  /** Handles the connections of a server. */
  interface Handler {
    void handle(Conn conn, Head head) throws IOException;
  }

  /** Listens on a free loopback port and handles each connection on a thread of its own. */
  static final class Server implements AutoCloseable {
    private final ServerSocket socket;

    Server(Handler handler) throws IOException {
      this(handler, 0);
    }

    /** Creates a server whose connections have a receive buffer of a given size, 0 for any. */
    Server(Handler handler, int receiveBytes) throws IOException {
      socket = new ServerSocket();
      if (receiveBytes > 0) {
        socket.setReceiveBufferSize(receiveBytes);
      }
      socket.bind(new InetSocketAddress("127.0.0.1", 0), 512);
      Thread.ofVirtual().start(() -> accept(handler));
    }

    private void accept(Handler handler) {
      while (!socket.isClosed()) {
        try {
          Socket accepted = socket.accept();
          Thread.ofVirtual().start(() -> serve(accepted, handler));
        } catch (IOException e) {
          return;
        }
      }
    }

    private static void serve(Socket accepted, Handler handler) {
      try (Conn conn = new Conn(accepted)) {
        for (Head head = conn.readHead(); head != null; head = conn.readHead()) {
          handler.handle(conn, head);
        }
      } catch (IOException | RuntimeException e) {
        // The peer has closed the connection, or the handler has.
      }
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing listens any more.
      }
    }
  }

  static Conn connect(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.connect(
        new InetSocketAddress(
            InetAddress.getByName(address.substring(0, colon)),
            Integer.parseInt(address.substring(colon + 1))),
        1_000);
    return new Conn(socket);
  }
}
