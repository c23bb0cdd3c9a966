package org.bulrushpier.daemon.net;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.bulrushpier.Address;
import org.bulrushpier.MonotonicClock;

/**
 * Connections to upstreams and to the platform, grouped by address.
 *
 * <pre>{@code
 * pool.send(address, outbound, ConnectionPool.ANY_IDLE_TIME);
 * }</pre>
 *
 * <p>Invariant: a connection is reused only within the idle time that its peer has announced; one
 * that was idle longer than the request allows is closed instead. Guarded by the loop's lock.
 */
public final class ConnectionPool {

  /** Allows any idle connection that the peer still keeps open. */
  public static final long ANY_IDLE_TIME = Long.MAX_VALUE;

  /** Allows no idle connection, so that a response that names no request can be attributed. */
  public static final long NEW_CONNECTION = -1;

  private static final long SWEEP_MILLIS = 1_000;

  private final EventLoop loop;
  private final long idleMillis;
  private final Map<Address, Group> groups = new HashMap<>();
  private long openedConnections;

  private ConnectionPool(EventLoop loop, long idleMillis) {
    this.loop = loop;
    this.idleMillis = idleMillis;
    loop.every(SWEEP_MILLIS, this::sweep);
  }

  /**
   * Creates a pool.
   *
   * @param loop the loop whose lock guards the pool
   * @param idleMillis the maximum time that an idle connection is kept, in milliseconds
   * @return the pool
   */
  public static ConnectionPool of(EventLoop loop, long idleMillis) {
    return new ConnectionPool(loop, idleMillis);
  }

  /**
   * Sends a request on an idle connection, or on a new one if there is none or none is allowed.
   *
   * @param address the address to send the request to
   * @param request the request
   * @param maxIdleMillis the longest time that a reused connection may have been idle, in
   *     milliseconds
   */
  public void send(Address address, OutboundRequest request, long maxIdleMillis) {
    group(address).send(request, maxIdleMillis);
  }

  Group group(Address address) {
    return groups.computeIfAbsent(address, Group::new);
  }

  /**
   * Closes the idle connections to an address.
   *
   * @param address the address
   */
  public void closeIdle(Address address) {
    Group group = groups.get(address);
    if (group != null) {
      group.closeIdle(connection -> true);
    }
  }

  /**
   * Returns the number of connections opened since the start, including failed attempts.
   *
   * @return the number of connections
   */
  public long openedConnections() {
    return openedConnections;
  }

  private void sweep() {
    long now = MonotonicClock.millis();
    groups.values().forEach(group -> group.sweep(now));
    groups.values().removeIf(Group::isEmpty);
  }

  /** The connections to one address. */
  final class Group {
    private final Address address;
    private final ArrayDeque<OutboundConnection> idle = new ArrayDeque<>();
    private final Set<OutboundConnection> all = new HashSet<>();
    private final ArrayDeque<OutboundRequest> waiting = new ArrayDeque<>();
    private int opening;

    private Group(Address address) {
      this.address = address;
    }

    Address address() {
      return address;
    }

    long idleMillis() {
      return idleMillis;
    }

    private boolean isEmpty() {
      return all.isEmpty() && opening == 0 && waiting.isEmpty();
    }

    private void send(OutboundRequest request, long maxIdleMillis) {
      long now = MonotonicClock.millis();
      OutboundConnection connection;
      while (maxIdleMillis != NEW_CONNECTION && (connection = idle.pollLast()) != null) {
        long idleFor = now - connection.idleSinceMillis();
        if (!connection.isClosed()
            && idleFor < connection.idleMillis()
            && idleFor <= maxIdleMillis) {
          connection.send(request);
          return;
        }
        connection.drop();
      }
      waiting.add(request);
      opening++;
      openedConnections++;
      loop.connect(address, new OutboundConnection.Opening(this));
    }

    void opened(OutboundConnection connection) {
      opening--;
      all.add(connection);
      OutboundRequest next = pollWaiting();
      if (next != null) {
        connection.send(next);
      } else {
        markIdle(connection);
      }
    }

    void openFailed(Throwable failure) {
      opening--;
      OutboundRequest next = pollWaiting();
      if (next != null) {
        if (failure instanceof ConnectException) {
          next.listener().refused();
        }
        next.listener().failed("cannot connect to " + address + ": " + failure.getMessage());
      }
    }

    private OutboundRequest pollWaiting() {
      OutboundRequest next = waiting.poll();
      while (next != null && (next.isCancelled() || isObsolete(next))) {
        next = waiting.poll();
      }
      return next;
    }

    private boolean isObsolete(OutboundRequest request) {
      boolean isObsolete = request.listener().isObsolete();
      if (isObsolete) {
        request.listener().failed("obsolete before its connection was open");
      }
      return isObsolete;
    }

    void markIdle(OutboundConnection connection) {
      if (!idle.contains(connection) && all.contains(connection)) {
        connection.idleSinceMillis(MonotonicClock.millis());
        idle.addLast(connection);
      }
    }

    void closed(OutboundConnection connection) {
      all.remove(connection);
      idle.remove(connection);
    }

    private void sweep(long now) {
      closeIdle(connection -> now - connection.idleSinceMillis() >= connection.idleMillis());
    }

    private void closeIdle(Predicate<OutboundConnection> condition) {
      for (OutboundConnection connection : idle.toArray(new OutboundConnection[0])) {
        if (condition.test(connection)) {
          connection.drop();
        }
      }
    }
  }
}
