package org.bulrushpier.limit;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * The budget for all bytes of messages that a process keeps: requests, responses that are being
 * collected, output that peers have not read yet, and responses of control calls.
 *
 * <p>Each use has a ceiling for the sum of all uses. The later a use comes in the life of a
 * request, the higher is its ceiling, so that requests that hold bytes can finish and release them.
 * Small messages may go beyond the ceiling of their use, so that large ones do not shut them out.
 *
 * <pre>{@code
 * ByteBudget.Account account = budget.open(ByteBudget.Use.RESPONSE);
 * if (!account.grow(length)) { ... }
 * account.close();
 * }</pre>
 *
 * <p>Invariants: the sum of all accounts exceeds no ceiling except by {@link Account#force};
 * whoever waits for bytes of a large message gets them in the order of arrival.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class ByteBudget {

  /** The largest message that counts as small, in bytes. */
  public static final long SMALL_BYTES = 64 * 1_024;

  /** The share of the budget by which small messages may exceed the ceiling of their use. */
  private static final double SMALL_SHARE = 0.125;

  /** What bytes are kept for. */
  public enum Use {
    /** Requests of callers, until they are answered. */
    REQUEST(0.5),
    /** Responses that are being received from upstreams. */
    RESPONSE(0.75),
    /** Bytes that are written to a caller as fast as it reads them. */
    OUTPUT(0.875),
    /** Responses of the platform, cache stores and the control interfaces of engines. */
    CONTROL(0.875);

    private final double share;

    Use(double share) {
      this.share = share;
    }
  }

  private final long capacity;
  private final Executor later;
  private final Map<Use, Queue<Waiter>> waiters = new EnumMap<>(Use.class);

  /** The accounts that give way and are not small. */
  private final Set<Account> evictable = new LinkedHashSet<>();

  private long used;
  private boolean isGrantScheduled;

  /** A growth for which there was no room. Immutable and thread-safe. */
  private record Waiter(Account account, long bytes, Runnable granted) {}

  private ByteBudget(long capacity, Executor later) {
    this.capacity = capacity;
    this.later = later;
    for (Use use : Use.values()) {
      waiters.put(use, new ArrayDeque<>());
    }
  }

  /**
   * Creates a budget.
   *
   * @param capacity the most bytes that may be kept
   * @param later runs a task soon, but not before the current one has ended
   * @return the budget
   */
  public static ByteBudget of(long capacity, Executor later) {
    return new ByteBudget(capacity, later);
  }

  /** Returns the most bytes that may be kept. */
  public long capacity() {
    return capacity;
  }

  /** Returns the bytes that are kept. */
  public long used() {
    return used;
  }

  /**
   * Opens an account whose bytes stay until it is closed.
   *
   * @param use what its bytes are kept for
   * @return the empty account
   */
  public Account open(Use use) {
    return new Account(use, null);
  }

  /**
   * Opens an account that gives way if there is no room for another account of the same use.
   *
   * @param use what its bytes are kept for
   * @param evicted closes the account and whatever keeps its bytes
   * @return the empty account
   */
  public Account openEvictable(Use use, Runnable evicted) {
    return new Account(use, evicted);
  }

  private boolean hasRoom(Account account, long bytes) {
    double share = account.use.share;
    if (account.staysSmall(bytes)) {
      share += SMALL_SHARE;
    }
    return used + bytes <= share * capacity;
  }

  /** Makes room by closing larger accounts that give way; the given one stays. */
  private boolean makeRoom(Account account, long bytes) {
    while (!hasRoom(account, bytes)) {
      Optional<Account> largest =
          evictable.stream()
              .filter(candidate -> candidate.use == account.use)
              .max(Comparator.comparingLong(candidate -> candidate.bytes));
      if (largest.isEmpty() || largest.get() == account) {
        return false;
      }
      largest.get().evict();
    }
    return true;
  }

  private void scheduleGrants() {
    if (!isGrantScheduled && waiters.values().stream().anyMatch(queue -> !queue.isEmpty())) {
      isGrantScheduled = true;
      later.execute(this::grant);
    }
  }

  private void grant() {
    isGrantScheduled = false;
    for (Queue<Waiter> queue : waiters.values()) {
      Optional<Waiter> next = firstGrantable(queue);
      while (next.isPresent()) {
        queue.remove(next.get());
        next.get().account.add(next.get().bytes);
        next.get().granted.run();
        next = firstGrantable(queue);
      }
    }
  }

  /** Returns the first waiter for which there is room; large messages keep their order. */
  private Optional<Waiter> firstGrantable(Queue<Waiter> queue) {
    boolean isLargeBefore = false;
    for (Waiter waiter : queue) {
      boolean isSmall = waiter.account.staysSmall(waiter.bytes);
      if ((isSmall || !isLargeBefore) && hasRoom(waiter.account, waiter.bytes)) {
        return Optional.of(waiter);
      }
      isLargeBefore |= !isSmall;
    }
    return Optional.empty();
  }

  /**
   * The bytes that one message keeps.
   *
   * <p>Not thread-safe; guarded like the budget.
   */
  public final class Account {
    private final Use use;
    private final Runnable evicted;
    private long bytes;

    private Account(Use use, Runnable evicted) {
      this.use = use;
      this.evicted = evicted;
    }

    /** Returns the bytes of this account. */
    public long bytes() {
      return bytes;
    }

    /**
     * Adds bytes if there is room, for which larger accounts of the same use may have to give way.
     *
     * @param added the number of bytes
     * @return whether the bytes were added
     */
    public boolean grow(long added) {
      if (!makeRoom(this, added)) {
        return false;
      }
      add(added);
      return true;
    }

    /**
     * Adds bytes now or as soon as there is room and all who waited before have got theirs.
     *
     * @param added the number of bytes
     * @param granted called when bytes were added that had to wait
     * @return whether the bytes were added at once
     */
    public boolean growOrWait(long added, Runnable granted) {
      boolean isFirst = waiters.get(use).isEmpty() || staysSmall(added);
      if (isFirst && grow(added)) {
        return true;
      }
      waiters.get(use).add(new Waiter(this, added, granted));
      return false;
    }

    /**
     * Returns whether there could ever be room.
     *
     * @param added the number of bytes to add
     * @return false if the bytes exceed the ceiling of this use by themselves
     */
    public boolean canEverGrow(long added) {
      return bytes + added <= use.share * capacity;
    }

    /**
     * Adds bytes that have already been read.
     *
     * @param added the number of bytes
     * @return whether there was room for them
     */
    public boolean force(long added) {
      boolean hadRoom = hasRoom(this, added);
      add(added);
      return hadRoom;
    }

    /**
     * Sets the number of bytes.
     *
     * @param newBytes the number of bytes
     * @return false if there is no room for more, so that the number is unchanged
     */
    public boolean resize(long newBytes) {
      if (newBytes > bytes) {
        return grow(newBytes - bytes);
      }
      if (newBytes < bytes) {
        add(newBytes - bytes);
        scheduleGrants();
      }
      return true;
    }

    private void add(long added) {
      bytes += added;
      used += added;
      if (evicted != null) {
        if (staysSmall(0)) {
          evictable.remove(this);
        } else {
          evictable.add(this);
        }
      }
    }

    private boolean staysSmall(long added) {
      return bytes + added <= SMALL_BYTES;
    }

    private void evict() {
      evicted.run();
      close();
    }

    /** Releases all bytes and waits for no more; the account may be used again. */
    public void close() {
      waiters.get(use).removeIf(waiter -> waiter.account == this);
      add(-bytes);
      scheduleGrants();
    }
  }
}
