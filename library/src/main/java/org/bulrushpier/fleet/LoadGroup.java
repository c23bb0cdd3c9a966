package org.bulrushpier.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushpier.Address;

/**
 * The few instances with which this instance shares a part of the engines of its failure domain.
 *
 * <p>Designed for sites with so many instances that general load reports, whose interval grows with
 * the number of instances, are older than requests last. All instances then select the engines that
 * were idle some time ago. The instances of a failure domain are therefore divided into groups, and
 * its engines among the groups. Members report to each other as soon as their load changes, and
 * prefer the engines of their group. Every instance derives the division from what it knows;
 * instances that disagree for a while only predict worse.
 *
 * <p>Invariant: below {@value #MIN_INSTANCES} instances, and in a domain too small for two groups,
 * no group is in force and all engines are equal. Not thread-safe; guarded by the lock of the
 * gateway's event loop.
 */
public final class LoadGroup {

  /** The number of instances from which general reports come less often than every 600 ms. */
  public static final int MIN_INSTANCES = 50;

  /** The number of instances in a group, which bounds the reports that each of them handles. */
  static final int SIZE = 9;

  /** The least time between two reports of an instance, in milliseconds. */
  public static final long MIN_INTERVAL_MILLIS = 100;

  /** The longest time between two reports to all other instances, in milliseconds. */
  public static final long MAX_INTERVAL_MILLIS = 1_000;

  /**
   * The mean time between two datagrams to other instances, in milliseconds. It bounds the effort
   * of an instance, which handles as many datagrams as it sends.
   */
  private static final long MILLIS_PER_CONTACT = 4;

  /** The same for an instance in a group, which tells its load to the group more often. */
  private static final long GROUPED_MILLIS_PER_CONTACT = 12;

  private final Set<Address> members = new HashSet<>();
  private final Set<String> replicas = new HashSet<>();
  private int instances;

  /**
   * Derives the group from what is known of the site.
   *
   * @param self the address of this instance
   * @param instances the number of live instances of the site
   * @param inDomain the live instances of this instance's failure domain, this one included
   * @param engines the ids of the engines in this failure domain, by service
   * @return true if the members have changed
   */
  public boolean update(
      Address self,
      int instances,
      Collection<Address> inDomain,
      Map<String, List<String>> engines) {
    this.instances = instances;
    final Set<Address> before = Set.copyOf(members);
    members.clear();
    replicas.clear();
    int groups = Math.round(inDomain.size() / (float) SIZE);
    if (isLargeSite() && groups > 1) {
      List<String> names = new ArrayList<>(inDomain.stream().map(Address::toString).toList());
      names.sort(null);
      int own = groupOf(names.indexOf(self.toString()), names.size(), groups);
      for (Address address : inDomain) {
        if (!address.equals(self)
            && groupOf(names.indexOf(address.toString()), names.size(), groups) == own) {
          members.add(address);
        }
      }
      engines.values().forEach(ids -> addShare(ids, own, groups));
    }
    return !members.equals(before);
  }

  private void addShare(List<String> ids, int group, int groups) {
    List<String> sorted = ids.stream().sorted().toList();
    for (int i = 0; i < sorted.size(); i++) {
      if (groupOf(i, sorted.size(), groups) == group) {
        replicas.add(sorted.get(i));
      }
    }
  }

  private static int groupOf(int index, int size, int groups) {
    return (int) ((long) index * groups / size);
  }

  /**
   * Returns the time between two reports to all other instances.
   *
   * @param contacts the number of other instances
   * @return the interval in milliseconds
   */
  public long generalIntervalMillis(int contacts) {
    long perContact = isInForce() ? GROUPED_MILLIS_PER_CONTACT : MILLIS_PER_CONTACT;
    return Math.clamp(contacts * perContact, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
  }

  /** Returns whether the site is so large that general reports are older than requests last. */
  public boolean isLargeSite() {
    return instances >= MIN_INSTANCES;
  }

  /** Returns the number of live instances of the site, or 0 if it is not known yet. */
  public int instances() {
    return instances;
  }

  /** Returns whether this instance is in a group and shares some engines with it. */
  public boolean isInForce() {
    return !replicas.isEmpty();
  }

  /**
   * Checks whether an engine belongs to the group.
   *
   * @param replica the id of the engine
   * @return true if the load of all members on it is known at any moment
   */
  public boolean hasEngine(String replica) {
    return replicas.contains(replica);
  }

  /** Returns the number of engines of the group. */
  public int engines() {
    return replicas.size();
  }

  /** Returns the other members. */
  public Set<Address> members() {
    return Set.copyOf(members);
  }
}
