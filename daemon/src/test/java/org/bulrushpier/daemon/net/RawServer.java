package org.bulrushpier.daemon.net;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.bulrushpier.Address;

/** A TCP server for tests that runs a script on each connection. */
final class RawServer implements Closeable {

  private final ServerSocket listener;

  /** The behaviour of the server on one connection. */
  interface Script {
    void run(Socket socket) throws IOException;
  }

  RawServer(Script... scripts) throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual()
        .start(
            () -> {
              for (Script script : scripts) {
                try {
                  Socket socket = listener.accept();
                  Thread.ofVirtual().start(() -> run(script, socket));
                } catch (IOException e) {
                  return;
                }
              }
            });
  }

  private static void run(Script script, Socket socket) {
    try {
      script.run(socket);
    } catch (IOException e) {
      // The peer closed the connection, which some tests do on purpose.
    }
  }

  Address address() {
    return new Address("127.0.0.1", listener.getLocalPort());
  }

  /** Returns an address on which nothing listens. */
  static Address freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0)) {
      return new Address("127.0.0.1", free.getLocalPort());
    }
  }

  /** Reads up to the end of a message head. */
  static String readHead(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("closed after " + text);
      }
      text.append((char) next);
    }
    return text.toString();
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Closes the connection with a TCP reset. */
  static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Completes the future once the peer has closed the connection. */
  static void awaitEnd(Socket socket, CompletableFuture<Void> ended) {
    try {
      while (socket.getInputStream().read() >= 0) {
        // Discards bytes before the end of the connection.
      }
    } catch (IOException e) {
      // A reset also ends the connection.
    }
    ended.complete(null);
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
