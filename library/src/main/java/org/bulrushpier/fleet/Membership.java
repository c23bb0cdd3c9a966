package org.bulrushpier.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bulrushpier.Address;
import org.bulrushpier.Hash;
import org.bulrushpier.routing.Rendezvous;

/**
 * The instances of the site that this instance knows, learned from a few configured seeds and from
 * each other.
 *
 * <p>Instances exchange their lists in pairs. An instance that is not heard from is contacted for a
 * while and then only now and then, so that both sides of a network partition find each other again
 * afterwards even if all seeds have been replaced.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class Membership {

  /** How long after its last datagram an instance is considered live, in milliseconds. */
  static final long LIVE_MILLIS = 3_000;

  /** How long an instance that was heard of but not from gets load reports, in milliseconds. */
  static final long CONTACT_MILLIS = 10_000;

  /** How long an instance is remembered after it was last heard from, in milliseconds. */
  static final long MEMORY_MILLIS = 600_000;

  /** The largest list that is sent, so that it fits into a datagram. */
  static final int MAX_LIST = 60;

  /** The largest number of instances that is remembered. */
  static final int MAX_KNOWN = 2_000;

  private record Peer(long heardMillis, long learnedMillis, String domain) {
    private boolean isLive(long nowMillis) {
      return nowMillis - heardMillis <= LIVE_MILLIS;
    }

    /** Returns the time since it was last heard from, or else since it was mentioned. */
    private long ageMillis(long nowMillis) {
      return nowMillis - Math.max(heardMillis, learnedMillis);
    }
  }

  /** How long after the first contact the lists of other instances are awaited, in milliseconds. */
  static final long SETTLING_MILLIS = 2_000;

  /** How long a young instance must not have learned of a further one, in milliseconds. */
  static final long QUIET_MILLIS = 1_500;

  /**
   * How long an instance may lack members that have not been heard from since it started, in ms.
   */
  static final long YOUNG_MILLIS = 60_000;

  /** The longest time without any call that is not taken for a stall of this process, in ms. */
  static final long STALL_MILLIS = 1_000;

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final String UNKNOWN_DOMAIN = "";

  private final Address self;
  private final Set<Address> seeds = new LinkedHashSet<>();
  private final Map<Address, Peer> peers = new HashMap<>();
  private long firstHeardMillis = NEVER;
  private long lastAddedMillis = NEVER;
  private long lastSeedMillis = NEVER;
  private long lastCallMillis = NEVER;
  private boolean isSeed;

  private Membership(Address self) {
    this.self = self;
  }

  /**
   * Creates a list that knows only the seeds.
   *
   * @param self the address of this instance
   * @param seeds the addresses of instances to contact first
   * @return the list
   */
  public static Membership of(Address self, Collection<Address> seeds) {
    Membership membership = new Membership(self);
    membership.seeds(seeds);
    return membership;
  }

  /**
   * Replaces the seeds.
   *
   * @param newSeeds the addresses of instances to contact first
   */
  public void seeds(Collection<Address> newSeeds) {
    seeds.clear();
    seeds.addAll(newSeeds);
    isSeed = seeds.remove(self);
  }

  /**
   * Lets a young instance settle anew after a stall, in which it has learned of no other ones. Each
   * running instance is called at short intervals.
   */
  private void follow(long nowMillis) {
    if (nowMillis - lastCallMillis > STALL_MILLIS && isYoung(lastCallMillis)) {
      firstHeardMillis = nowMillis;
    }
    lastCallMillis = nowMillis;
  }

  /**
   * Checks whether a young instance has had the time to learn of all others. A seed must have been
   * there, as instances that start at the same time find each other only through the seeds.
   */
  private boolean isSettled(long nowMillis) {
    return nowMillis - firstHeardMillis >= SETTLING_MILLIS
        && nowMillis - lastAddedMillis >= QUIET_MILLIS
        && (isSeed || seeds.isEmpty() || lastSeedMillis - firstHeardMillis >= QUIET_MILLIS);
  }

  /** Checks whether instances may be missing that were not heard from since the start. */
  private boolean isYoung(long nowMillis) {
    return firstHeardMillis != NEVER && nowMillis - firstHeardMillis < YOUNG_MILLIS;
  }

  /**
   * Records a datagram from an instance.
   *
   * @param address the instance
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void heard(Address address, long nowMillis) {
    Peer known = peers.get(address);
    heard(address, known == null ? UNKNOWN_DOMAIN : known.domain, nowMillis);
  }

  /**
   * Records a datagram from an instance that tells its failure domain.
   *
   * @param address the instance
   * @param domain the name of its failure domain
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void heard(Address address, String domain, long nowMillis) {
    follow(nowMillis);
    if (!address.equals(self) && (peers.containsKey(address) || peers.size() < MAX_KNOWN)) {
      if (firstHeardMillis == NEVER) {
        firstHeardMillis = nowMillis;
      }
      if (peers.put(address, new Peer(nowMillis, nowMillis, domain)) == null) {
        lastAddedMillis = nowMillis;
      }
      if (seeds.contains(address)) {
        lastSeedMillis = nowMillis;
      }
    }
  }

  /**
   * Records that an instance was mentioned by another one.
   *
   * @param address the instance
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void learned(Address address, long nowMillis) {
    if (!address.equals(self) && peers.size() < MAX_KNOWN) {
      if (peers.putIfAbsent(address, new Peer(NEVER, nowMillis, UNKNOWN_DOMAIN)) == null) {
        lastAddedMillis = nowMillis;
      }
    }
  }

  /**
   * Forgets instances that have not been heard from for a long time.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void expire(long nowMillis) {
    peers.values().removeIf(peer -> peer.ageMillis(nowMillis) > MEMORY_MILLIS);
  }

  /**
   * Returns the number of live instances, this one included.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the number, at least 1
   */
  public int liveInstances(long nowMillis) {
    follow(nowMillis);
    return 1 + (int) peers.values().stream().filter(peer -> peer.isLive(nowMillis)).count();
  }

  /**
   * Returns the live instances of this instance's failure domain. An instance whose domain is not
   * known yet is left out.
   *
   * @param domain the name of the failure domain of this instance
   * @param nowMillis the current monotonic time, in milliseconds
   * @return their addresses, that of this instance included
   */
  public List<Address> liveInDomain(String domain, long nowMillis) {
    List<Address> members = new ArrayList<>(List.of(self));
    peers.forEach(
        (address, peer) -> {
          if (peer.domain.equals(domain) && peer.isLive(nowMillis)) {
            members.add(address);
          }
        });
    return members;
  }

  /**
   * Checks whether every instance that should be there is live.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if all seeds and all remembered instances are live
   */
  public boolean isComplete(long nowMillis) {
    return peers.keySet().containsAll(seeds)
        && peers.values().stream().allMatch(peer -> peer.isLive(nowMillis));
  }

  /**
   * Returns the place of this instance among the live ones in an order that all of them agree on
   * and that differs by key.
   *
   * @param key the key
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the number of live instances that come before this one
   */
  public int turn(String key, long nowMillis) {
    List<String> live = new ArrayList<>(List.of(self.toString()));
    peers.forEach(
        (address, peer) -> {
          if (peer.isLive(nowMillis)) {
            live.add(address.toString());
          }
        });
    return Rendezvous.order(key, live).indexOf(self.toString());
  }

  /**
   * Returns the place of this instance among the remembered ones and among the live ones, in an
   * order that all of them agree on and that differs by key. Seeds count as remembered.
   *
   * @param key the key
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the place, or empty until the lists of other instances have arrived after the start
   */
  public Optional<Place> place(String key, long nowMillis) {
    follow(nowMillis);
    if (peers.isEmpty() && seeds.isEmpty()) {
      return Optional.of(Place.ALONE);
    }
    boolean isYoung = isYoung(nowMillis);
    if (firstHeardMillis == NEVER || isYoung && !isSettled(nowMillis)) {
      return Optional.empty();
    }
    Set<Address> remembered = new HashSet<>(peers.keySet());
    remembered.addAll(seeds);
    long own = Hash.hash64(key, self.toString());
    int rank = 0;
    int live = 1;
    int liveRank = 0;
    for (Address address : remembered) {
      boolean isBefore = Hash.hash64(key, address.toString()) > own;
      rank += isBefore ? 1 : 0;
      Peer peer = peers.get(address);
      if (peer != null && peer.isLive(nowMillis)) {
        live++;
        liveRank += isBefore ? 1 : 0;
      }
    }
    return Optional.of(new Place(rank, remembered.size() + 1, liveRank, live, isYoung));
  }

  /**
   * Returns the instances that get load reports.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the instances that were heard from or heard of recently
   */
  public List<Address> contacts(long nowMillis) {
    follow(nowMillis);
    List<Address> contacts = new ArrayList<>();
    peers.forEach(
        (address, peer) -> {
          if (peer.ageMillis(nowMillis) <= CONTACT_MILLIS) {
            contacts.add(address);
          }
        });
    return contacts;
  }

  /**
   * Selects the instance to exchange lists with next.
   *
   * @param random the source of randomness
   * @return any seed or remembered instance, or empty if there is none
   */
  public Optional<Address> nextPartner(RandomGenerator random) {
    List<Address> candidates = new ArrayList<>(seeds);
    peers.keySet().stream().filter(address -> !seeds.contains(address)).forEach(candidates::add);
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  /**
   * Returns the live instances as they are sent to another one, in random order if there are more
   * than fit into a datagram.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @param random the source of randomness
   * @return the addresses as text
   */
  public List<String> liveAddresses(long nowMillis, RandomGenerator random) {
    List<String> live = new ArrayList<>();
    peers.forEach(
        (address, peer) -> {
          if (peer.isLive(nowMillis)) {
            live.add(address.toString());
          }
        });
    if (live.size() <= MAX_LIST) {
      return live;
    }
    Collections.shuffle(live, Random.from(random));
    return live.subList(0, MAX_LIST);
  }
}
