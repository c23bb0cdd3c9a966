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
import java.util.function.LongConsumer;
import jdk.net.ExtendedSocketOptions;
import org.bulrushpier.Address;
import org.bulrushpier.limit.ByteBudget;
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
 * The event loop of a gateway: the selector, timers and lock that its HTTP/1.1 connections share.
 *
 * <pre>{@code
 * EventLoop loop = EventLoop.start();
 * loop.listen(address, handler);
 * loop.after(100, () -> ...);
 * }</pre>
 *
 * <p>Invariant: every callback of a connection and every timer runs with the loop's lock held, so
 * the state behind them needs no lock of its own. This is the outermost lock, and no callback may
 * block. The lock is fair, so that neither timers nor connections wait for more than one turn of
 * the other. Thread-safe.
 */
public final class EventLoop {

  private static final Logger log = LoggerFactory.getLogger("net");

  /** Threads for the selector and for dispatching accepts and timers; an instance has one core. */
  private static final int THREADS = 6;

  /** Accept backlog; beyond it, connection attempts of callers stall for seconds. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Size of the read buffer that all connections share, in bytes. */
  static final int READ_BYTES = 32 * 1_024;

  /** Idle seconds before the first TCP keep-alive probe, which detects dead connections. */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

  /** The share of the heap that messages may take. */
  private static final double BUDGET_SHARE = 0.4;

  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private final ReentrantLock lock = new ReentrantLock(true);
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);
  private final Scheduler scheduler = new ScheduledExecutorScheduler("timer", false);
  private final QueuedThreadPool threads = new QueuedThreadPool(THREADS, 2);
  private final ConnectionSelector selector;

  private final ByteBudget budget;
  private LongConsumer delayNanos = nanos -> {};

  private EventLoop(long budgetBytes) {
    budget = ByteBudget.of(budgetBytes, task -> after(0, task));
    threads.setName("net");
    threads.setReservedThreads(1);
    selector = new ConnectionSelector();
  }

  /**
   * Starts a loop.
   *
   * @return the running loop
   */
  public static EventLoop start() {
    return start((long) (Runtime.getRuntime().maxMemory() * BUDGET_SHARE));
  }

  /**
   * Starts a loop.
   *
   * @param budgetBytes the most bytes of messages that all connections together may keep
   * @return the running loop
   */
  static EventLoop start(long budgetBytes) {
    EventLoop loop = new EventLoop(budgetBytes);
    try {
      loop.threads.start();
      loop.scheduler.start();
      loop.selector.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot start the network event loop", e);
    }
    return loop;
  }

  /**
   * Listens for connections.
   *
   * @param address the address to listen on
   * @param handler the handler of the requests
   * @return a handle that closes the listening socket
   * @throws IOException if the address cannot be bound
   */
  public Closeable listen(Address address, CallerConnection.Handler handler) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.bind(new InetSocketAddress(address.host(), address.port()), ACCEPT_BACKLOG);
    channel.configureBlocking(false);
    selector.handlers.put(channel, handler);
    return selector.acceptor(channel);
  }

  /** Opens a connection and reports the outcome to {@code attachment}. */
  void connect(Address address, OutboundConnection.Opening attachment) {
    try {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      configure(channel);
      channel.connect(new InetSocketAddress(address.host(), address.port()));
      attachment.channel(channel);
      selector.connect(channel, attachment);
    } catch (IOException e) {
      attachment.failed(e);
    }
  }

  /**
   * Schedules a task that runs with the loop's lock held.
   *
   * @param millis the delay in milliseconds, 0 or more
   * @param task the task; must not block
   * @return a handle that cancels the task
   */
  public Timer after(long millis, Runnable task) {
    long delay = Math.max(0, millis);
    long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delay);
    Scheduler.Task scheduled =
        scheduler.schedule(
            () ->
                run(
                    () -> {
                      delayNanos.accept(System.nanoTime() - dueNanos);
                      task.run();
                    }),
            delay,
            TimeUnit.MILLISECONDS);
    return scheduled::cancel;
  }

  /**
   * Sets the receiver of the delays of timers, which show how long the loop was busy.
   *
   * @param receiver receives the time from the moment at which a timer was due to its start, in
   *     nanoseconds; called with the loop's lock held
   */
  public void observeDelays(LongConsumer receiver) {
    run(() -> delayNanos = receiver);
  }

  /**
   * Runs a task again and again, also after it has failed.
   *
   * @param pauseMillis the pause between two runs, in milliseconds
   * @param task the task, which runs with the loop's lock held; must not block
   */
  public void every(long pauseMillis, Runnable task) {
    after(
        pauseMillis,
        () -> {
          try {
            task.run();
          } finally {
            every(pauseMillis, task);
          }
        });
  }

  /**
   * Runs a task on the calling thread with the loop's lock held.
   *
   * @param task the task; must not block
   */
  public void run(Runnable task) {
    lock.lock();
    try {
      task.run();
    } catch (RuntimeException | StackOverflowError | AssertionError e) {
      log.error("net: callback failed.", e);
    } finally {
      lock.unlock();
    }
  }

  /** Stops the loop and closes open connections. */
  public void stop() {
    try {
      selector.stop();
      scheduler.stop();
      threads.stop();
    } catch (Exception e) {
      log.warn("net: event loop did not stop cleanly.", e);
    }
  }

  /**
   * Returns the budget for the bytes that connections and calls keep.
   *
   * @return the budget, guarded by the loop's lock
   */
  public ByteBudget budget() {
    return budget;
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

  /** A scheduled task. Thread-safe. */
  @FunctionalInterface
  public interface Timer {
    /** Cancels the task if it has not started. */
    void cancel();
  }

  /** Creates the end points and connections. */
  private final class ConnectionSelector extends SelectorManager {

    private final Map<SelectableChannel, CallerConnection.Handler> handlers =
        new ConcurrentHashMap<>();

    ConnectionSelector() {
      super(threads, scheduler, 1);
      setConnectTimeout(OutboundConnection.CONNECT_TIMEOUT_MILLIS);
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
            new CallerConnection(EventLoop.this, endPoint, handler);
        case OutboundConnection.Opening opening ->
            new OutboundConnection(EventLoop.this, endPoint, opening);
        default -> throw new IllegalArgumentException("attachment: " + attachment);
      };
    }

    @Override
    protected void connectionFailed(
        SelectableChannel channel, Throwable failure, Object attachment) {
      if (attachment instanceof OutboundConnection.Opening opening) {
        EventLoop.this.run(() -> opening.failed(failure));
      } else {
        log.debug("net: accepted connection failed.", failure);
      }
    }
  }
}
