package org.bulrushpier.daemon;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.Address;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.peer.Frame;
import org.bulrushpier.peer.PeerMessage;
import org.bulrushpier.timeline.HybridClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The TCP connections between entries, one per direction.
 *
 * <p>Frames to a peer wait in a bounded queue. When it is full, the peer counts as failed and the
 * frame is dropped, so that an unresponsive peer does not delay others. Thread-safe.
 */
final class PeerLinks {

  private static final Logger log = LoggerFactory.getLogger("peer");
  private static final int QUEUE_CAPACITY = 256;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long RECONNECT_DELAY_MILLIS = 300;
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;
  private static final int READ_TIMEOUT_MILLIS = 30_000;

  private final String self;
  private final PeerMessage.Hello hello;
  private final HybridClock clock;
  private final Listener listener;
  private final ServerSocket server;
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final AtomicLong bytesSent = new AtomicLong();
  private final AtomicLong framesSent = new AtomicLong();
  private final AtomicLong bytesReceived = new AtomicLong();
  private volatile boolean isStopped;

  private PeerLinks(
      String self, Address address, PeerMessage.Hello hello, HybridClock clock, Listener listener) {
    this.self = self;
    this.hello = hello;
    this.clock = clock;
    this.listener = listener;
    try {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getByName(address.host()), address.port()));
    } catch (IOException e) {
      String message = "cannot listen on " + address + ": " + e.getMessage();
      throw BulrushpierException.notRun(ErrorCode.INTERNAL, message).withCause(e);
    }
  }

  /**
   * Receives messages from peers and is notified of failed connections. Implementations are
   * thread-safe.
   */
  interface Listener {
    void received(String from, PeerMessage message);

    void failed(String peer);
  }

  static PeerLinks start(
      String self, Address address, PeerMessage.Hello hello, HybridClock clock, Listener listener) {
    PeerLinks links = new PeerLinks(self, address, hello, clock, listener);
    Thread.ofVirtual().name("peer-accept").start(links::acceptAll);
    return links;
  }

  /** Queues a message to a peer; returns false if the queue is full. */
  boolean send(String peer, Address address, PeerMessage message) {
    Link link =
        links.compute(
            peer, (name, old) -> old != null && old.isFor(address) ? old : new Link(name, address));
    link.start();
    return link.offer(message);
  }

  long bytesSent() {
    return bytesSent.get();
  }

  long framesSent() {
    return framesSent.get();
  }

  long bytesReceived() {
    return bytesReceived.get();
  }

  void stop() {
    isStopped = true;
    try {
      server.close();
    } catch (IOException e) {
      log.debug("peer: closing the server socket failed", e);
    }
  }

  private void acceptAll() {
    while (!isStopped) {
      try {
        Socket socket = server.accept();
        Thread.ofVirtual().name("peer-in").start(() -> readAll(socket));
      } catch (IOException e) {
        if (!isStopped) {
          log.warn("peer: accept failed: {}", e.getMessage());
        }
      }
    }
  }

  private void readAll(Socket socket) {
    try (socket) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      CountingInputStream in =
          new CountingInputStream(new BufferedInputStream(socket.getInputStream()));
      for (Optional<Frame> frame = Frame.readFrom(in);
          frame.isPresent();
          frame = Frame.readFrom(in)) {
        bytesReceived.addAndGet(in.drainCount());
        clock.observe(frame.get().stamp());
        listener.received(frame.get().from(), frame.get().message());
      }
    } catch (BulrushpierException e) {
      log.warn(
          "peer: closed the connection from {}: {}",
          socket.getRemoteSocketAddress(),
          e.getMessage());
    } catch (IOException e) {
      log.debug(
          "peer: lost the connection from {}: {}", socket.getRemoteSocketAddress(), e.getMessage());
    }
  }

  /** The connection to one peer with its queue and writer thread. */
  private final class Link {

    private final String peer;
    private final Address address;
    private final AtomicBoolean isStarted = new AtomicBoolean();
    private final BlockingQueue<PeerMessage> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

    private Link(String peer, Address address) {
      this.peer = peer;
      this.address = address;
    }

    /**
     * Starts the writer. It ends when its link is no longer in the map, so it must not start before
     * the link has been added.
     */
    private void start() {
      if (isStarted.compareAndSet(false, true)) {
        Thread.ofVirtual().name("peer-out-" + peer).start(this::writeAll);
      }
    }

    private boolean isFor(Address other) {
      return address.equals(other);
    }

    private boolean offer(PeerMessage message) {
      boolean isQueued = queue.offer(message);
      if (!isQueued) {
        listener.failed(peer);
      }
      return isQueued;
    }

    private void writeAll() {
      while (!isStopped && links.get(peer) == this || !queue.isEmpty()) {
        try {
          PeerMessage first = queue.poll(IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
          if (first == null) {
            links.remove(peer, this);
            return;
          }
          connectAndWrite(first);
        } catch (IOException e) {
          listener.failed(peer);
          queue.clear();
          waitToReconnect();
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    private void connectAndWrite(PeerMessage first) throws IOException, InterruptedException {
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.connect(
            new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLIS);
        OutputStream out = new BufferedOutputStream(socket.getOutputStream());
        write(out, hello);
        for (PeerMessage message = first; message != null; message = next()) {
          write(out, message);
          if (queue.isEmpty()) {
            out.flush();
          }
        }
      }
    }

    private void write(OutputStream out, PeerMessage message) throws IOException {
      byte[] bytes = new Frame(self, clock.tick(), message).toBytes();
      out.write(bytes);
      bytesSent.addAndGet(bytes.length);
      framesSent.incrementAndGet();
    }

    private PeerMessage next() throws InterruptedException {
      return queue.poll(IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void waitToReconnect() {
      try {
        Thread.sleep(RECONNECT_DELAY_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
