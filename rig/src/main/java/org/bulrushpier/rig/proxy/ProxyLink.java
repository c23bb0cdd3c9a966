package org.bulrushpier.rig.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import org.bulrushpier.Address;
import org.bulrushpier.rig.Faults;

/**
 * A link of the proxy, which forwards connections from a listen address to a target.
 *
 * <p>A cut holds back bytes without closing connections, as a network partition does; the bytes are
 * delivered when the cut ends. Thread-safe.
 */
public final class ProxyLink implements Closeable {

  private static final int BUFFER_BYTES = 16_384;
  private static final int QUEUE_CHUNKS = 1_024;
  private static final long CUT_POLL_MILLIS = 5;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final Address target;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<Socket> silentSockets = ConcurrentHashMap.newKeySet();
  private volatile Impairments impairments = new Impairments(false, false, false, 0, 0);

  private ProxyLink(Address target, ServerSocket server) {
    this.target = target;
    this.server = server;
  }

  /**
   * The impairments that a link applies. Immutable and thread-safe.
   *
   * @param isCutToTarget whether bytes to the target are held back
   * @param isCutFromTarget whether bytes from the target are held back
   * @param isRefusing whether present and new connections are reset
   * @param delayMillis the latency that is added in each direction, in milliseconds
   * @param bytesPerSecond the bandwidth of each connection and direction, or 0 if unlimited
   */
  public record Impairments(
      boolean isCutToTarget,
      boolean isCutFromTarget,
      boolean isRefusing,
      long delayMillis,
      long bytesPerSecond) {}

  private record Chunk(byte[] bytes, long dueMillis) {}

  /**
   * Opens a link.
   *
   * @param listen the listen address
   * @param target the address that connections are forwarded to
   * @return the link
   */
  public static ProxyLink open(Address listen, Address target) {
    return open(listen.host(), listen.port(), target);
  }

  /**
   * Opens a link on a free port.
   *
   * @param target the address that connections are forwarded to
   * @return the link
   */
  public static ProxyLink open(Address target) {
    return open("127.0.0.1", 0, target);
  }

  private static ProxyLink open(String host, int port, Address target) {
    try {
      ServerSocket server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getByName(host), port));
      ProxyLink link = new ProxyLink(target, server);
      Thread.ofVirtual().start(link::acceptConnections);
      return link;
    } catch (IOException e) {
      throw new IllegalStateException("proxy cannot listen on " + host + ":" + port, e);
    }
  }

  /**
   * Returns the listen address.
   *
   * @return the address
   */
  public Address address() {
    return new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
  }

  /**
   * Changes the impairments.
   *
   * @param newImpairments the new impairments
   */
  public void setImpairments(Impairments newImpairments) {
    impairments = newImpairments;
    if (newImpairments.isRefusing()) {
      sockets.forEach(ProxyLink::reset);
    }
  }

  /** Lets the open connections fall silent for good, without closing them; new ones work. */
  public void silenceOpenConnections() {
    silentSockets.addAll(sockets);
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket client = server.accept();
        Thread.ofVirtual().start(() -> connect(client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket client) {
    if (impairments.isRefusing()) {
      reset(client);
      return;
    }
    Socket upstream = new Socket();
    try {
      client.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
      upstream.connect(new InetSocketAddress(target.host(), target.port()), CONNECT_TIMEOUT_MILLIS);
      sockets.add(client);
      sockets.add(upstream);
      forward(client, upstream, false);
      forward(upstream, client, true);
    } catch (IOException e) {
      reset(client);
      reset(upstream);
    }
  }

  private void forward(Socket from, Socket to, boolean isFromTarget) {
    BlockingQueue<Chunk> queue = new LinkedBlockingQueue<>(QUEUE_CHUNKS);
    Thread.ofVirtual().start(() -> read(from, queue));
    Thread.ofVirtual().start(() -> write(to, queue, isFromTarget));
  }

  private void read(Socket from, BlockingQueue<Chunk> queue) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      for (int size = in.read(buffer); size >= 0; size = in.read(buffer)) {
        byte[] bytes = java.util.Arrays.copyOf(buffer, size);
        queue.put(new Chunk(bytes, System.currentTimeMillis() + impairments.delayMillis()));
      }
    } catch (IOException | InterruptedException e) {
      Thread.currentThread().isInterrupted();
    } finally {
      queue.offer(new Chunk(new byte[0], 0));
      sockets.remove(from);
      silentSockets.remove(from);
    }
  }

  private void write(Socket to, BlockingQueue<Chunk> queue, boolean isFromTarget) {
    try {
      OutputStream out = to.getOutputStream();
      for (Chunk chunk = queue.take(); chunk.bytes().length > 0; chunk = queue.take()) {
        Faults.sleep(chunk.dueMillis() - System.currentTimeMillis());
        while (isFromTarget ? impairments.isCutFromTarget() : impairments.isCutToTarget()) {
          Faults.sleep(CUT_POLL_MILLIS);
        }
        long rate = impairments.bytesPerSecond();
        if (rate > 0) {
          Faults.sleep(chunk.bytes().length * MILLIS_PER_SECOND / rate);
        }
        if (!silentSockets.contains(to)) {
          out.write(chunk.bytes());
          out.flush();
        }
      }
      to.close();
    } catch (IOException | InterruptedException e) {
      reset(to);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      Thread.currentThread().isInterrupted();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    sockets.forEach(ProxyLink::reset);
  }
}
