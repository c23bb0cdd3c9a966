package org.bulrushpier.daemon.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import jdk.net.ExtendedSocketOptions;
import org.bulrushpier.Address;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The selector, the timers and the lock that all HTTP/1.1 connections of an entry share.
 *
 * <pre>{@code
 * NetLoop loop = NetLoop.start();
 * loop.listen(address, handler);
 * loop.after(100, () -> ...);
 * }</pre>
 *
 * <p>Invariant: every callback of a connection and every timer runs while the loop's lock is held,
 * so the tables behind them need no lock of their own. It is the outermost lock; no callback may
 * block. Thread-safe.
 */
public final class NetLoop {

  private static final Logger log = LoggerFactory.getLogger("net");

  /** Selector, acceptor hand-over and timer hand-over; an instance has one core. */
  private static final int THREADS = 6;

  /** Connections that wait to be accepted; callers' connects stall for seconds beyond it. */
  private static final int ACCEPT_QUEUE = 1_024;

  /** The largest piece read at once, in bytes; one buffer serves all connections. */
  static final int READ_BYTES = 32 * 1_024;

  /** Idle seconds before the first TCP keep-alive probe, which finds connections gone silent. */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private final ReentrantLock lock = new ReentrantLock();
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);
  private final Scheduler scheduler = new ScheduledExecutorScheduler("timer", false);
  private final QueuedThreadPool threads = new QueuedThreadPool(THREADS, 2);
  private final Selectors selectors;

  private NetLoop() {
    threads.setName("net");
    threads.setReservedThreads(1);
    selectors = new Selectors();
  }

  /**
   * Starts a loop.
   *
   * @return the running loop
   */
  public static NetLoop start() {
    NetLoop loop = new NetLoop();
    try {
      loop.threads.start();
      loop.scheduler.start();
      loop.selectors.start();
    } catch (Exception e) {
      throw new IllegalStateException("the network loop cannot start", e);
    }
    return loop;
  }

  /**
   * Accepts connections.
   *
   * @param address where to listen
   * @param handler takes the requests
   * @return closes the listening socket
   * @throws IOException if the address cannot be bound
   */
  public Closeable listen(Address address, CallerConnection.Handler handler) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.bind(new InetSocketAddress(address.host(), address.port()), ACCEPT_QUEUE);
    channel.configureBlocking(false);
    selectors.handlers.put(channel, handler);
    return selectors.acceptor(channel);
  }

  /** Opens a connection; {@code attachment} hears of the outcome. */
  void connect(Address address, ReplicaConnection.Opening attachment) {
    try {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      configure(channel);
      channel.connect(new InetSocketAddress(address.host(), address.port()));
      attachment.channel(channel);
      selectors.connect(channel, attachment);
    } catch (IOException e) {
      attachment.failed(e);
    }
  }

  /**
   * Runs work under the loop's lock after a delay.
   *
   * @param millis the delay in milliseconds, 0 or more
   * @param work the work; must not block
   * @return cancels the work
   */
  public Timer after(long millis, Runnable work) {
    Scheduler.Task task =
        scheduler.schedule(() -> run(work), Math.max(0, millis), TimeUnit.MILLISECONDS);
    return task::cancel;
  }

  /**
   * Runs work under the loop's lock on the calling thread.
   *
   * @param work the work; must not block
   */
  public void run(Runnable work) {
    lock.lock();
    try {
      work.run();
    } catch (RuntimeException e) {
      log.error("net: a callback failed.", e);
    } finally {
      lock.unlock();
    }
  }

  /** Stops the loop; open connections are closed. */
  public void stop() {
    try {
      selectors.stop();
      scheduler.stop();
      threads.stop();
    } catch (Exception e) {
      log.warn("net: the loop did not stop cleanly.", e);
    }
  }

  ByteBuffer readBuffer() {
    return readBuffer;
  }

  QueuedThreadPool threads() {
    return threads;
  }

  private static void configure(SocketChannel channel) throws IOException {
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
    channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS);
    channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_ALIVE_INTERVAL_SECONDS);
    channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_ALIVE_PROBES);
  }

  /** A scheduled piece of work. Thread-safe. */
  @FunctionalInterface
  public interface Timer {
    /** Cancels the work if it has not begun. */
    void cancel();
  }

  /** The selector that makes end points and connections. */
  private final class Selectors extends SelectorManager {

    private final Map<SelectableChannel, CallerConnection.Handler> handlers =
        new ConcurrentHashMap<>();

    Selectors() {
      super(threads, scheduler, 1);
      setConnectTimeout(ReplicaConnection.CONNECT_MILLIS);
    }

    @Override
    protected SelectableChannel doAccept(SelectableChannel server) throws IOException {
      SelectableChannel channel = super.doAccept(server);
      if (channel instanceof SocketChannel socket) {
        socket.configureBlocking(false);
        configure(socket);
        accept(socket, handlers.get(server));
      }
      return null;
    }

    @Override
    protected EndPoint newEndPoint(
        SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
      ResetAwareEndPoint endPoint =
          new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
      endPoint.setIdleTimeout(0);
      return endPoint;
    }

    @Override
    public Connection newConnection(
        SelectableChannel channel, EndPoint endPoint, Object attachment) {
      return switch (attachment) {
        case CallerConnection.Handler handler ->
            new CallerConnection(NetLoop.this, endPoint, handler);
        case ReplicaConnection.Opening opening ->
            new ReplicaConnection(NetLoop.this, endPoint, opening);
        default -> throw new IllegalArgumentException("attachment: " + attachment);
      };
    }

    @Override
    protected void connectionFailed(
        SelectableChannel channel, Throwable failure, Object attachment) {
      if (attachment instanceof ReplicaConnection.Opening opening) {
        NetLoop.this.run(() -> opening.failed(failure));
      } else {
        log.debug("net: an accepted connection failed.", failure);
      }
    }
  }
}
