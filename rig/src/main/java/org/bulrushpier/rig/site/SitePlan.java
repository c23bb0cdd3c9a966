package org.bulrushpier.rig.site;

import java.util.List;
import java.util.function.Consumer;

/**
 * The composition of a test site. Immutable and thread-safe.
 *
 * @param domains the failure domains
 * @param entries the number of entries, assigned to the domains round-robin
 * @param engines the number of engine replicas, assigned to the domains round-robin
 * @param services the number of replicas of the service {@code records}, assigned round-robin
 * @param stores the number of cache stores, assigned round-robin
 * @param cacheBlocks the cache capacity of an engine in blocks
 * @param linkBytesPerSecond the bandwidth of each store's link
 * @param customers the number of customers, each with its own API key
 * @param customerRate the rate limit of each customer in requests per second
 * @param policy the routing policy
 * @param delayMillis the one-way delay between entries, and between an entry and the platform
 * @param deploymentSettings further INI lines of the deployment, such as its prices
 */
public record SitePlan(
    List<String> domains,
    int entries,
    int engines,
    int services,
    int stores,
    int cacheBlocks,
    long linkBytesPerSecond,
    int customers,
    int customerRate,
    String policy,
    long delayMillis,
    String deploymentSettings) {

  /**
   * Returns a small site for tests: two domains, two entries, two engines, one service replica, one
   * store and two customers.
   *
   * @return the plan
   */
  public static SitePlan small() {
    return new SitePlan(
        List.of("zone-1", "zone-2"), 2, 2, 1, 1, 2_000, 100_000_000, 2, 1_000, "least-cost", 0, "");
  }

  /**
   * Returns a model of the present site in Lima, where the time to the first token matters most.
   *
   * @return the plan
   */
  public static SitePlan lima() {
    return new SitePlan(
        List.of("lima-norte", "lima-centro", "lima-sur"),
        4,
        12,
        3,
        2,
        400,
        60_000_000,
        10,
        1_000,
        "least-cost",
        1,
        "recomputed-token-price-ms = 0.02\nlink-megabyte-price-ms = 0.1\n");
  }

  /**
   * Returns a model of the present site in Centro, where the share of recomputed tokens matters
   * most.
   *
   * @return the plan
   */
  public static SitePlan centro() {
    return new SitePlan(
        List.of("zona-coimbra", "zona-viseu", "zona-leiria"),
        4,
        8,
        3,
        2,
        600,
        60_000_000,
        10,
        1_000,
        "least-cost",
        1,
        "recomputed-token-price-ms = 0.2\nlink-megabyte-price-ms = 0.1\n");
  }

  /**
   * Returns a copy with the given number of entries.
   *
   * @param count the number of entries
   * @return the copy
   */
  public SitePlan withEntries(int count) {
    return copyWith(builder -> builder.entries = count);
  }

  /**
   * Returns a copy with the given numbers of upstreams.
   *
   * @param engineCount the number of engine replicas
   * @param serviceCount the number of service replicas
   * @param storeCount the number of cache stores
   * @return the copy
   */
  public SitePlan withUpstreams(int engineCount, int serviceCount, int storeCount) {
    return copyWith(
        builder -> {
          builder.engines = engineCount;
          builder.services = serviceCount;
          builder.stores = storeCount;
        });
  }

  /**
   * Returns a copy with the given cache capacity per engine.
   *
   * @param blocks the capacity in blocks
   * @return the copy
   */
  public SitePlan withCacheBlocks(int blocks) {
    return copyWith(builder -> builder.cacheBlocks = blocks);
  }

  /**
   * Returns a copy with the given customers.
   *
   * @param count the number of customers
   * @param rate the rate limit of each customer in requests per second
   * @return the copy
   */
  public SitePlan withCustomers(int count, int rate) {
    return copyWith(
        builder -> {
          builder.customers = count;
          builder.customerRate = rate;
        });
  }

  /**
   * Returns a copy whose deployment has the given deadline for the first token.
   *
   * @param millis the deadline in milliseconds
   * @return the copy
   */
  public SitePlan withDeadline(long millis) {
    return copyWith(
        builder ->
            builder.deploymentSettings = deploymentSettings + "deadline-ms = " + millis + "\n");
  }

  /**
   * Returns a copy with the given routing policy.
   *
   * @param name the name of the policy
   * @return the copy
   */
  public SitePlan withPolicy(String name) {
    return copyWith(builder -> builder.policy = name);
  }

  private SitePlan copyWith(Consumer<Builder> change) {
    Builder builder = new Builder(this);
    change.accept(builder);
    return builder.build();
  }

  /** Mutable copy of the components that the {@code with} methods change. Not thread-safe. */
  private static final class Builder {
    private final SitePlan origin;
    private int entries;
    private int engines;
    private int services;
    private int stores;
    private int cacheBlocks;
    private int customers;
    private int customerRate;
    private String policy;
    private String deploymentSettings;

    private Builder(SitePlan origin) {
      this.origin = origin;
      entries = origin.entries;
      engines = origin.engines;
      services = origin.services;
      stores = origin.stores;
      cacheBlocks = origin.cacheBlocks;
      customers = origin.customers;
      customerRate = origin.customerRate;
      policy = origin.policy;
      deploymentSettings = origin.deploymentSettings;
    }

    private SitePlan build() {
      return new SitePlan(
          origin.domains,
          entries,
          engines,
          services,
          stores,
          cacheBlocks,
          origin.linkBytesPerSecond,
          customers,
          customerRate,
          policy,
          origin.delayMillis,
          deploymentSettings);
    }
  }
}
