package org.bulrushpier.site;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.bulrushpier.Hash;

/**
 * The namespaces within which customers share cached prompt parts under one configuration.
 *
 * <p>Each isolated customer has a namespace of its own. All others share one that is determined by
 * the set of isolated customers, because parts that a customer made before it was isolated remain
 * in the namespace in which it made them, on engines and in cache stores that record no maker.
 *
 * <p>Prompts that may be moved to some regions only have namespaces of their own within these, one
 * for each set of regions.
 *
 * <p>Invariant: a shared namespace contains only parts of customers that are not isolated by any
 * configuration in which that namespace is used. It depends on nothing but the configuration, so
 * all instances agree, also after a restart. Immutable and thread-safe.
 */
public final class CacheNamespaces {

  /** The namespaces of a configuration that isolates no customer. */
  public static final CacheNamespaces SHARED_BY_ALL = new CacheNamespaces(Set.of());

  private static final String ISOLATED_PREFIX = "customer.";
  private static final String SHARED_PREFIX = "shared.";
  private static final String OUTDATED_PREFIX = "outdated.";
  private static final String HOMES_PREFIX = "homes.";
  private static final int DIGEST_CHARACTERS = 16;

  private final Set<String> isolated;
  private final String shared;

  private CacheNamespaces(Set<String> isolated) {
    this.isolated = isolated;
    this.shared = isolated.isEmpty() ? "" : SHARED_PREFIX + digest(isolated);
  }

  /**
   * Creates the namespaces of a configuration.
   *
   * @param isolated the names of the isolated customers
   * @return the namespaces
   */
  public static CacheNamespaces of(Collection<String> isolated) {
    return isolated.isEmpty() ? SHARED_BY_ALL : new CacheNamespaces(Set.copyOf(isolated));
  }

  private static String digest(Set<String> names) {
    List<byte[]> sorted = new TreeSet<>(names).stream().map(Hash::utf8).toList();
    return Hash.hex(Hash.bytes(sorted.toArray(byte[][]::new))).substring(0, DIGEST_CHARACTERS);
  }

  /**
   * Returns the namespace of a customer's prompt parts.
   *
   * @param customer the name of the customer, empty if it is unknown
   * @return the namespace
   */
  public String namespace(String customer) {
    return isolated.contains(customer) ? ISOLATED_PREFIX + customer : shared;
  }

  /**
   * Returns the namespace of a customer's prompt parts while the configuration may be outdated.
   * Customers may have been isolated since, so it is shared with no other customer, nor with the
   * same customer's requests under a configuration that is known to be current.
   *
   * @param customer the name of the customer, empty if it is unknown
   * @return the namespace
   */
  public static String outdatedNamespace(String customer) {
    return OUTDATED_PREFIX + customer;
  }

  /**
   * Narrows a namespace to the parts of prompts that may be moved to some regions only. Prompts
   * that may be moved to others must not find these parts.
   *
   * @param namespace the namespace that the customer has otherwise
   * @param homes the regions
   * @return the narrower namespace, or the same one if there is no restriction
   */
  public static String within(String namespace, Homes homes) {
    return homes.isEverywhere()
        ? namespace
        : HOMES_PREFIX + digest(homes.regions()) + "." + namespace;
  }
}
