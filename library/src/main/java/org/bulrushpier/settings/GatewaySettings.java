package org.bulrushpier.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushpier.Address;
import org.bulrushpier.Finding;

/**
 * The settings of a gateway process, which is an entry that serves on the users' platform.
 *
 * <p>Read from an INI file that the platform generates from its own figures. Only what the process
 * cannot run without, its name and addresses, keeps it from starting: a figure that cannot be used
 * is replaced and reported. Immutable and thread-safe.
 *
 * @param name the name of the instance
 * @param domain the name of its failure domain
 * @param callerAddress the address for connections of callers
 * @param readyAddress the address of the readiness endpoint that the load balancer polls
 * @param metricsAddress the address of the metrics endpoint
 * @param platformAddress the address of the platform's metadata store
 * @param fleetAddress the address for datagrams of other instances, if the instance exchanges any
 * @param seeds the addresses of other instances to contact first
 * @param keyRevocationMillis the maximum time that a key may still be accepted after its removal
 * @param shutdownMillis the maximum time from the shutdown request to the end of the process
 * @param retryRatio the retries allowed per request, over all instances
 * @param retryMinimum the retries allowed per window in addition to the ratio, over all instances
 * @param retryWindowMillis the length of the window in which retries are counted
 * @param orderLeaseMillis the minimum time between the orders of two holders of an order lease
 * @param weightsChangeMillis the time within which a new weight version must be in place
 * @param evacuationMillis the time within which an evacuation of a failure domain must be in force,
 *     or 0 if failure domains are not evacuated
 * @param coldOverage the factor by which the requests of a cold replica in any second may exceed
 *     the rate that its service is configured with
 * @param coldSlack the requests that a cold replica may get in any second in addition
 * @param storeReaders the number of instances in a failure domain that read the metadata store for
 *     the others, or 0 if each instance reads it
 * @param region the region of the failure domain, or empty
 * @param domainRegions the region of each failure domain of the site, by the name of the domain
 * @param isStartPaced whether the load of replicas that have just started grows with their answers
 */
public record GatewaySettings(
    String name,
    String domain,
    Address callerAddress,
    Address readyAddress,
    Address metricsAddress,
    Address platformAddress,
    Optional<Address> fleetAddress,
    List<Address> seeds,
    long keyRevocationMillis,
    long shutdownMillis,
    double retryRatio,
    double retryMinimum,
    long retryWindowMillis,
    long orderLeaseMillis,
    long weightsChangeMillis,
    long evacuationMillis,
    double coldOverage,
    double coldSlack,
    int storeReaders,
    String region,
    Map<String, String> domainRegions,
    boolean isStartPaced) {

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long MAX_MILLIS = 3_600_000;
  private static final long MAX_SECONDS = 3_600;

  /** The time for an evacuation if the platform asks for evacuations without a usable time. */
  private static final long EVACUATION_MILLIS = 5_000;

  private static final double MAX_RETRIES = 1_000_000;
  private static final double MAX_COLD_OVERAGE = 100;
  private static final double MAX_COLD_SLACK = 10_000;
  private static final int MAX_STORE_READERS = 1_000;

  /** Copies the collections. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
    domainRegions = Map.copyOf(domainRegions);
  }

  /**
   * Parses the text of a settings file.
   *
   * @param file the name of the file, for findings
   * @param text the INI text
   * @param findings the list to which validation errors are added
   * @return the settings, or null if the section is missing; valid only if no finding was added
   */
  public static GatewaySettings parse(String file, String text, List<Finding> findings) {
    return parse(file, text, findings, findings);
  }

  /**
   * Parses the text of a settings file that other software has written.
   *
   * @param file the name of the file, for findings
   * @param text the INI text
   * @param findings the list to which errors are added with which no process can run
   * @param tolerated the list to which errors are added in whose place other values are used
   * @return the settings, or null if the section is missing; valid only if no finding was added to
   *     the first list
   */
  public static GatewaySettings parse(
      String file, String text, List<Finding> findings, List<Finding> tolerated) {
    GatewaySettings settings = null;
    for (IniSection section : new IniReader(file, findings).read(text)) {
      SectionReader reader = new SectionReader(file, section, findings, tolerated);
      if (section.kind().equals("gateway")) {
        settings = readGateway(reader);
      } else {
        reader.addFinding("", "'" + section.kind() + "' is not a known kind of section");
      }
      reader.reportUnknownKeys();
    }
    if (settings == null) {
      findings.add(new Finding(file, 0, "gateway", "", "section is missing"));
    }
    return settings;
  }

  /** Reads the hosts of the seeds, which use the same port as this instance. */
  private static List<Address> seeds(SectionReader reader, Optional<Address> own) {
    List<Address> seeds = new ArrayList<>();
    for (Address listed : reader.addresses("seeds")) {
      own.ifPresent(address -> seeds.add(new Address(listed.host(), address.port())));
    }
    return seeds;
  }

  /** Reads the regions of the failure domains, a list of {@code domain:region}. */
  private static Map<String, String> domainRegions(SectionReader reader) {
    Map<String, String> regions = new HashMap<>();
    for (String entry : reader.textOrEmpty("domain-regions").split(",")) {
      String[] names = entry.strip().split(":", -1);
      boolean isPair = names.length == 2 && !names[0].isEmpty();
      if (isPair && !names[1].isEmpty()) {
        regions.put(names[0], names[1]);
      } else if (!isPair && !entry.isBlank()) {
        reader.tolerate("domain-regions", "'" + entry.strip() + "' is not domain:region");
      }
    }
    return regions;
  }

  private static GatewaySettings readGateway(SectionReader reader) {
    Optional<Address> fleetAddress = reader.optionalAddress("fleet-address");
    return new GatewaySettings(
        reader.text("name"),
        reader.text("domain"),
        reader.address("caller-address"),
        reader.address("ready-address"),
        reader.address("metrics-address"),
        reader.address("platform-address"),
        fleetAddress,
        seeds(reader, fleetAddress),
        reader.millis("key-revocation-ms", 1, MAX_MILLIS, 5_000, 5_000),
        reader.millis("shutdown-seconds", MILLIS_PER_SECOND, MAX_SECONDS, 8, 8),
        reader.figure("retry-ratio", 0, 1, 0.2),
        reader.figure("retry-minimum", 0, MAX_RETRIES, 0),
        reader.millis("retry-window-seconds", MILLIS_PER_SECOND, MAX_SECONDS, 10, 10),
        reader.millis("order-lease-ms", 1, MAX_MILLIS, 3_000, 3_000),
        reader.millis("weights-change-ms", 1, MAX_MILLIS, 8_000, 8_000),
        Math.round(reader.figure("evacuation-ms", 0, MAX_MILLIS, 0, EVACUATION_MILLIS)),
        reader.figure("cold-overage", 0, MAX_COLD_OVERAGE, 1),
        reader.figure("cold-slack", 0, MAX_COLD_SLACK, 0),
        (int) Math.round(reader.figure("store-readers", 0, MAX_STORE_READERS, 0)),
        reader.textOrEmpty("region"),
        domainRegions(reader),
        reader.yesOrNo("pace-started-replicas", false));
  }
}
