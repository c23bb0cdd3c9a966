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

  /** The accounts of callers that have not read all of their output. */
  private final Set<OutputAccount> outputs = new LinkedHashSet<>();

  private long used;
  private boolean isGrantScheduled;

  /** A growth for which there was no room. Immutable and thread-safe. */
  private record Waiter(Account account, long bytes, Runnable granted) {}

  /** What is written to a caller as fast as it reads. */
  public interface Output {

    /** Returns the kind of the response. */
    SlowReaders.Kind kind();

    /** Returns the age of the oldest byte that the caller has not read, in milliseconds. */
    long unreadMillis();

    /**
     * Closes the caller's connection, as others need the room of its output.
     *
     * @param bytes the number of bytes that were kept for the caller
     */
    void cut(long bytes);
  }

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

  /** Returns the bytes that callers have not read yet. */
  public long unread() {
    return outputs.stream().mapToLong(Account::bytes).sum();
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

  /**
   * Opens an account for output. It gives way to others of any use as {@link SlowReaders} decides;
   * its room is free at once, its connection is closed soon after.
   *
   * @param output the output
   * @return the empty account
   */
  public Account openOutput(Output output) {
    return new OutputAccount(output);
  }

  /**
   * Makes room for those who wait if it is taken by callers that have fallen behind meanwhile. To
   * be called regularly.
   */
  public void relieve() {
    for (Queue<Waiter> queue : waiters.values()) {
      if (!queue.isEmpty()) {
        cutSlowReaders(queue.peek().account, queue.peek().bytes);
      }
    }
  }

  private boolean hasRoom(Account account, long bytes) {
    return missing(account, bytes) <= 0;
  }

  /** Returns by how many bytes the ceiling would be exceeded. */
  private long missing(Account account, long bytes) {
    double share = account.use.share;
    if (account.staysSmall(bytes)) {
      share += SMALL_SHARE;
    }
    return (long) Math.ceil(used + bytes - share * capacity);
  }

  private void cutSlowReaders(Account account, long bytes) {
    long missing = missing(account, bytes);
    if (missing > 0 && !outputs.isEmpty()) {
      SlowReaders.cutsForOthers(outputs, missing).forEach(OutputAccount::cut);
    }
  }

  /** Makes room by closing accounts that give way; the given one stays. */
  private boolean makeRoom(Account account, long bytes) {
    cutSlowReaders(account, bytes);
    return account instanceof OutputAccount
        ? makeRoomForOutput(account, bytes)
        : makeRoomOfSameUse(account, bytes);
  }

  private boolean makeRoomForOutput(Account account, long bytes) {
    while (!hasRoom(account, bytes)) {
      Optional<OutputAccount> last = SlowReaders.lastResort(outputs);
      if (last.isEmpty() || last.get() == account) {
        return false;
      }
      last.get().cut();
    }
    return true;
  }

  private boolean makeRoomOfSameUse(Account account, long bytes) {
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
  public class Account {
    final Use use;
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

    void add(long added) {
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

  /**
   * The output of one caller. Once it has been cut it keeps no bytes any more.
   *
   * <p>Not thread-safe; guarded like the budget.
   */
  private final class OutputAccount extends Account implements SlowReaders.Reader {
    private final Output output;
    private boolean isCut;

    OutputAccount(Output output) {
      super(Use.OUTPUT, null);
      this.output = output;
    }

    @Override
    public SlowReaders.Kind kind() {
      return output.kind();
    }

    @Override
    public long unreadMillis() {
      return output.unreadMillis();
    }

    @Override
    public boolean grow(long added) {
      return isCut || super.grow(added);
    }

    @Override
    void add(long added) {
      super.add(isCut ? 0 : added);
      if (bytes() > 0) {
        outputs.add(this);
      } else {
        outputs.remove(this);
      }
    }

    private void cut() {
      long cutBytes = bytes();
      close();
      isCut = true;
      later.execute(() -> output.cut(cutBytes));
    }
  }
}
