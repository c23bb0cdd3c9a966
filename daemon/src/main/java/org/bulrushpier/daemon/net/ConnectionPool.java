package org.bulrushpier.daemon.net;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bulrushpier.Address;
import org.bulrushpier.MonotonicClock;

/**
 * Connections to upstreams and to the platform, grouped by address.
 *
 * <pre>{@code
 * pool.send(address, outbound, ConnectionPool.ANY_AGE);
 * }</pre>
 *
 * <p>Invariant: a connection is handed out only while its peer has announced to keep it, and one
 * that was idle longer than the request allows is closed rather than used. Confined to the loop's
 * lock.
 */
public final class ConnectionPool {

  /** Allows any idle connection that its peer still keeps. */
  public static final long ANY_AGE = Long.MAX_VALUE;

  private static final long SWEEP_MILLIS = 1_000;

  private final NetLoop loop;
  private final long idleMillis;
  private final Map<Address, Group> groups = new HashMap<>();
  private long opened;

  private ConnectionPool(NetLoop loop, long idleMillis) {
    this.loop = loop;
    this.idleMillis = idleMillis;
    loop.after(SWEEP_MILLIS, this::sweep);
  }

  /**
   * Creates a pool.
   *
   * @param loop the loop whose lock guards the pool
   * @param idleMillis how long a connection is kept idle at most, in milliseconds
   * @return the pool
   */
  public static ConnectionPool of(NetLoop loop, long idleMillis) {
    return new ConnectionPool(loop, idleMillis);
  }

  /**
   * Sends a request.
   *
   * @param address where to
   * @param request the request
   * @param maxIdleMillis how long the connection used may have been idle
   */
  public void send(Address address, Outbound request, long maxIdleMillis) {
    groups.computeIfAbsent(address, Group::new).send(request, maxIdleMillis);
  }

  /**
   * Returns how many connections were opened since the start.
   *
   * @return the number
   */
  public long opened() {
    return opened;
  }

  private void sweep() {
    long now = MonotonicClock.millis();
    groups.values().forEach(group -> group.sweep(now));
    groups.values().removeIf(Group::isEmpty);
    loop.after(SWEEP_MILLIS, this::sweep);
  }

  /** The connections to one address. */
  final class Group {
    private final Address address;
    private final ArrayDeque<ReplicaConnection> idle = new ArrayDeque<>();
    private final Set<ReplicaConnection> all = new HashSet<>();
    private final ArrayDeque<Outbound> waiting = new ArrayDeque<>();
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

    private void send(Outbound request, long maxIdleMillis) {
      long now = MonotonicClock.millis();
      ReplicaConnection connection;
      while ((connection = idle.pollLast()) != null) {
        long idleFor = now - connection.idleSince();
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
      opened++;
      loop.connect(address, new ReplicaConnection.Opening(this));
    }

    void opened(ReplicaConnection connection) {
      opening--;
      all.add(connection);
      Outbound next = nextWaiting();
      if (next != null) {
        connection.send(next);
      } else {
        idle(connection);
      }
    }

    void openFailed(String detail) {
      opening--;
      Outbound next = nextWaiting();
      if (next != null) {
        next.listener().failed("cannot connect to " + address + ": " + detail);
      }
    }

    private Outbound nextWaiting() {
      Outbound next = waiting.poll();
      while (next != null && next.isCancelled()) {
        next = waiting.poll();
      }
      return next;
    }

    void idle(ReplicaConnection connection) {
      if (!idle.contains(connection) && all.contains(connection)) {
        connection.idleSince(MonotonicClock.millis());
        idle.addLast(connection);
      }
    }

    void closed(ReplicaConnection connection) {
      all.remove(connection);
      idle.remove(connection);
    }

    private void sweep(long now) {
      for (ReplicaConnection connection : idle.toArray(new ReplicaConnection[0])) {
        if (now - connection.idleSince() >= connection.idleMillis()) {
          connection.drop();
        }
      }
    }
  }
}
