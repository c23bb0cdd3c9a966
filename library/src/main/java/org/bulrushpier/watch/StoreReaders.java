package org.bulrushpier.watch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.Address;
import org.bulrushpier.routing.Rendezvous;

/**
 * Selects the instances of a failure domain that read the metadata store for the others, and the
 * source of this instance's next call.
 *
 * <p>Designed for sites with many instances in few failure domains, whose watches would otherwise
 * be most of the calls to the platform.
 *
 * <pre>{@code
 * switch (readers.next(members, 2, now)) {
 *   case Source.Store store -> ...
 *   case Source.Reader reader -> ...
 * }
 * }</pre>
 *
 * <p>Invariant: a reader never has another reader as its source. Not thread-safe; guarded by the
 * lock of the gateway's event loop.
 */
public final class StoreReaders {

  /** How long a reader is not used after it has failed this instance, in milliseconds. */
  static final long LEFT_MILLIS = 3_000;

  /** The stall after which this instance reads the store itself, in milliseconds. */
  static final long STALL_MILLIS = 1_000;

  /** How long this instance reads the store itself after a stall, in milliseconds. */
  static final long WOKEN_MILLIS = 1_000;

  private static final String KEY = "store-readers";

  /** Where a call goes. Implementations are immutable and thread-safe. */
  public sealed interface Source {

    /**
     * The platform's metadata store.
     *
     * @param isShared whether other instances read what this one has read
     */
    record Store(boolean isShared) implements Source {}

    /**
     * An instance of the same failure domain that reads the store.
     *
     * @param address its address
     */
    record Reader(Address address) implements Source {}
  }

  private final Address self;
  private final Map<Address, Long> leftUntilMillis = new HashMap<>();
  private long wokenUntilMillis = Long.MIN_VALUE;

  private StoreReaders(Address self) {
    this.self = self;
  }

  /**
   * Creates a selection.
   *
   * @param self the address of this instance
   * @return the selection
   */
  public static StoreReaders of(Address self) {
    return new StoreReaders(self);
  }

  /**
   * Returns the source of the next call.
   *
   * @param members the live instances of this instance's failure domain, this one included
   * @param count the number of readers, 0 if each instance reads the store
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the source
   */
  public Source next(Collection<Address> members, int count, long nowMillis) {
    if (count <= 0 || members.size() <= count) {
      return new Source.Store(false);
    }
    List<String> readers =
        Rendezvous.order(KEY, members.stream().map(Address::toString).toList()).subList(0, count);
    if (readers.contains(self.toString())) {
      return new Source.Store(true);
    }
    if (nowMillis < wokenUntilMillis) {
      return new Source.Store(false);
    }
    leftUntilMillis.values().removeIf(until -> until <= nowMillis);
    for (String reader : Rendezvous.order(self.toString(), readers)) {
      Address address = Address.parse(reader);
      if (!leftUntilMillis.containsKey(address)) {
        return new Source.Reader(address);
      }
    }
    return new Source.Store(false);
  }

  /**
   * Records that a reader did not answer in time, refused or answered with old knowledge. It is not
   * used for {@value #LEFT_MILLIS} ms.
   *
   * @param reader the address of the reader
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void leave(Address reader, long nowMillis) {
    leftUntilMillis.put(reader, nowMillis + LEFT_MILLIS);
  }

  /**
   * Records that this process did not run for a while.
   *
   * @param stalledMillis how long, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if it was so long that this instance now reads the store itself for {@value
   *     #WOKEN_MILLIS} ms
   */
  public boolean woken(long stalledMillis, long nowMillis) {
    if (stalledMillis < STALL_MILLIS) {
      return false;
    }
    wokenUntilMillis = nowMillis + WOKEN_MILLIS;
    return true;
  }
}
