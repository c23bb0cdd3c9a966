package org.bulrushpier.daemon.serve;

import java.util.List;
import java.util.Map;

/**
 * What a gateway believes now about the site, and why it sends some replicas nothing or little.
 * Holds no key and names no customer. Immutable and thread-safe.
 *
 * <p>Ages are the times since the belief was last confirmed to be the newest.
 *
 * @param instance the name of the instance
 * @param domain its failure domain
 * @param unready why the instance is not ready; empty if it is
 * @param settings what was found in the settings file; none in a status of an older release
 * @param configuration the configuration
 * @param weights the weights that operators request
 * @param evacuations the failure domains that get no requests
 * @param replicas the replicas
 */
public record GatewayStatus(
    String instance,
    String domain,
    List<String> unready,
    SettingsStatus settings,
    ConfigurationStatus configuration,
    WeightsStatus weights,
    EvacuationsStatus evacuations,
    ReplicasStatus replicas) {

  /** Stands for a time or a number that is not known. */
  public static final long UNKNOWN = -1;

  /** Copies the list. */
  public GatewayStatus {
    unready = List.copyOf(unready);
    settings = settings == null ? SettingsStatus.SOUND : settings;
  }

  /**
   * The settings file as it was last read.
   *
   * @param isRejected whether the file cannot be used: the settings in force are older, and the
   *     process will not start with it
   * @param findings the errors in it, each with its place
   */
  public record SettingsStatus(boolean isRejected, List<String> findings) {

    /** A file without findings. */
    public static final SettingsStatus SOUND = new SettingsStatus(false, List.of());

    /** Copies the list. */
    public SettingsStatus {
      findings = List.copyOf(findings);
    }
  }

  /**
   * The configuration.
   *
   * @param version its version, or {@link #UNKNOWN}
   * @param ageMillis its age, in milliseconds, or {@link #UNKNOWN}
   */
  public record ConfigurationStatus(long version, long ageMillis) {}

  /**
   * The weights that operators request.
   *
   * @param isKnown whether they have been listed since the start
   * @param ageMillis the age of what is known, in milliseconds, or {@link #UNKNOWN}
   * @param requested the newest request for each model
   */
  public record WeightsStatus(boolean isKnown, long ageMillis, List<RequestedVersion> requested) {

    /** Copies the list. */
    public WeightsStatus {
      requested = List.copyOf(requested);
    }
  }

  /**
   * The newest version of a model that was requested.
   *
   * @param model the name of the model
   * @param version the version
   * @param maxRequestedMillis the time since the request at most, in milliseconds, or {@link
   *     #UNKNOWN}
   */
  public record RequestedVersion(String model, int version, long maxRequestedMillis) {}

  /**
   * The failure domains that get no requests.
   *
   * @param isWatched whether evacuations apply to the instance
   * @param isKnown whether they have been listed since the start; no replica gets requests before
   * @param ageMillis the age of what is known, in milliseconds, or {@link #UNKNOWN}
   * @param domains the domains, by name
   */
  public record EvacuationsStatus(
      boolean isWatched, boolean isKnown, long ageMillis, List<EvacuatedDomain> domains) {

    /** Copies the list. */
    public EvacuationsStatus {
      domains = List.copyOf(domains);
    }
  }

  /**
   * A failure domain that gets no requests.
   *
   * @param name the name of the domain
   * @param revision the revision of the operators' request
   * @param running the requests of this instance that still run there
   */
  public record EvacuatedDomain(String name, long revision, int running) {}

  /**
   * The replicas.
   *
   * @param isKnown whether the registry has been read since the start
   * @param isCurrent whether the registry shows which replicas live: its store answers, and live
   *     ones have had the time to renew their entries since the last outage
   * @param ageMillis the age of what is known, in milliseconds, or {@link #UNKNOWN}
   * @param all the replicas, by service, domain and id
   */
  public record ReplicasStatus(
      boolean isKnown, boolean isCurrent, long ageMillis, List<ReplicaStatus> all) {

    /** Copies the list. */
    public ReplicasStatus {
      all = List.copyOf(all);
    }
  }

  /**
   * A replica.
   *
   * @param id its id
   * @param service the name of its service
   * @param domain its failure domain
   * @param exclusion the first reason for which it gets no request now, or empty; homes of requests
   *     are left aside
   * @param coldMillis how long it is taken to remain cold, in milliseconds, or 0
   * @param share the requests that this instance may send it in a second, or {@link #UNKNOWN} if
   *     there is no limit
   * @param used the requests that count towards the share now
   * @param weights the versions of the weights that it serves, by model
   * @param inFlight the requests that this instance has in flight there
   * @param heardMillis the time since it last sent this instance anything, in milliseconds, or
   *     {@link #UNKNOWN}
   */
  public record ReplicaStatus(
      String id,
      String service,
      String domain,
      String exclusion,
      long coldMillis,
      long share,
      int used,
      Map<String, Integer> weights,
      int inFlight,
      long heardMillis) {

    /** Copies the map. */
    public ReplicaStatus {
      weights = Map.copyOf(weights);
    }
  }
}
