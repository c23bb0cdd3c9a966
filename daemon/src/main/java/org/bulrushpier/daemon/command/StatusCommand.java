package org.bulrushpier.daemon.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.bulrushpier.Address;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.daemon.Status;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.daemon.serve.GatewayStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.EvacuationsStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.ReplicaStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.ReplicasStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.SettingsStatus;
import org.bulrushpier.daemon.serve.GatewayStatus.WeightsStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the status of an entry or a gateway. Not thread-safe. */
@Command(
    name = "status",
    description = {
      "Prints the status of an entry, its peers and its upstreams; or what a gateway believes about"
          + " evacuations, replicas, weights and the configuration."
    },
    mixinStandardHelpOptions = true)
public final class StatusCommand implements Callable<Integer> {

  @Mixin private EntryOptions options;

  @Option(
      names = "--gateway",
      paramLabel = "IP:PORT",
      description = "The metrics address of a gateway, which is asked in place of an entry.")
  private String gateway;

  /** Creates the command. */
  public StatusCommand() {}

  @Override
  public Integer call() {
    Reply reply =
        gateway == null
            ? options.callOk(OutgoingCall.get(options.address(), "/admin/status"))
            : callGateway();
    if (options.isJson()) {
      EntryOptions.printJson(reply);
    } else if (gateway == null) {
      print(reply.json(Status.class));
    } else {
      print(Codec.json().read(reply.body(), GatewayStatus.class));
    }
    return 0;
  }

  /** Asks the gateway, which needs no key. */
  private Reply callGateway() {
    Reply reply = EntryOptions.send(OutgoingCall.get(Address.parse(gateway), "/status"));
    // Gateways of earlier releases answer any path with their metrics.
    if (!reply.isOk() || !reply.header("content-type").equals("application/json")) {
      throw BulrushpierException.notRun(
          ErrorCode.BAD_REQUEST,
          "no status of a gateway at %s (response status %d)".formatted(gateway, reply.status()));
    }
    return reply;
  }

  private static void print(Status status) {
    System.out.printf(
        "%s in %s%s, platform %s, %d requests in flight%n",
        status.name(),
        status.domain(),
        status.isLeaving() ? ", leaving" : "",
        status.isPlatformReachable() ? "reachable" : "unreachable",
        status.requestsInFlight());
    status.settings().forEach((path, v) -> System.out.printf("settings %s version %d%n", path, v));
    status.findings().forEach(finding -> System.out.println("finding " + finding));
    for (Status.PeerStatus peer : status.peers()) {
      System.out.printf(
          "peer %s in %s: %s, settings %s%n",
          peer.name(),
          peer.domain(),
          peer.isLive() ? "live" : "silent",
          peer.isSettingsEqual() ? "equal" : "differ");
    }
    for (Status.UpstreamStatus upstream : status.upstreams()) {
      System.out.printf(
          "%s %s in %s: %s, %d in flight%s%n",
          upstream.kind(),
          upstream.name(),
          upstream.domain(),
          upstream.isLeaving() ? "leaving" : upstream.isUsable() ? "usable" : "not usable",
          upstream.inFlight(),
          upstream.weightVersion().isEmpty() ? "" : ", weights " + upstream.weightVersion());
    }
  }

  private static void print(GatewayStatus status) {
    System.out.printf(
        "instance %s in %s: %s%n",
        status.instance(),
        status.domain(),
        status.unready().isEmpty() ? "ready" : "not ready: " + String.join("; ", status.unready()));
    print(status.settings());
    System.out.println(
        status.configuration().version() == GatewayStatus.UNKNOWN
            ? "configuration: not known"
            : "configuration: version "
                + status.configuration().version()
                + confirmed(status.configuration().ageMillis()));
    print(status.weights());
    print(status.evacuations());
    print(status.replicas());
  }

  private static void print(SettingsStatus settings) {
    if (settings.isRejected()) {
      System.out.println("settings file: REJECTED, the instance will not start with it");
    }
    settings.findings().forEach(finding -> System.out.println("settings finding " + finding));
  }

  private static void print(WeightsStatus weights) {
    if (!weights.isKnown()) {
      System.out.println("requested weights: not known");
      return;
    }
    System.out.printf(
        "requested weights: %s%s%n",
        weights.requested().isEmpty()
            ? "none"
            : weights.requested().stream()
                .map(
                    requested ->
                        "%s version %d%s"
                            .formatted(
                                requested.model(),
                                requested.version(),
                                requested.maxRequestedMillis() == GatewayStatus.UNKNOWN
                                    ? ""
                                    : " since %d ms at most"
                                        .formatted(requested.maxRequestedMillis())))
                .collect(Collectors.joining("; ")),
        confirmed(weights.ageMillis()));
  }

  private static void print(EvacuationsStatus evacuations) {
    if (!evacuations.isWatched()) {
      System.out.println("evacuated domains: not watched");
    } else if (!evacuations.isKnown()) {
      System.out.println("evacuated domains: not known, so nothing is sent to any replica");
    } else {
      System.out.printf(
          "evacuated domains: %s%s%n",
          evacuations.domains().isEmpty()
              ? "none"
              : evacuations.domains().stream()
                  .map(
                      domain ->
                          "%s (revision %d, %d requests of this instance still run there)"
                              .formatted(domain.name(), domain.revision(), domain.running()))
                  .collect(Collectors.joining("; ")),
          confirmed(evacuations.ageMillis()));
    }
  }

  private static void print(ReplicasStatus replicas) {
    String known =
        replicas.isCurrent() ? "as registered" : "as registered before the store went away";
    System.out.printf(
        "replicas: %s%s%n",
        replicas.isKnown() ? known : "not known", confirmed(replicas.ageMillis()));
    replicas.all().forEach(StatusCommand::print);
  }

  private static void print(ReplicaStatus replica) {
    List<String> parts = new ArrayList<>();
    parts.add(replica.exclusion().isEmpty() ? "in use" : "out: " + replica.exclusion());
    if (replica.coldMillis() > 0) {
      parts.add("cold for " + replica.coldMillis() + " ms");
    }
    if (replica.share() != GatewayStatus.UNKNOWN) {
      parts.add("%d of %d requests a second".formatted(replica.used(), replica.share()));
    }
    if (!replica.weights().isEmpty()) {
      Map<String, Integer> sorted = new TreeMap<>(replica.weights());
      parts.add(
          sorted.entrySet().stream()
              .map(weights -> weights.getKey() + " version " + weights.getValue())
              .collect(Collectors.joining(" and ", "weights ", "")));
    }
    parts.add(replica.inFlight() + " in flight");
    if (replica.heardMillis() != GatewayStatus.UNKNOWN) {
      parts.add("heard " + replica.heardMillis() + " ms ago");
    }
    System.out.printf(
        "  %s %s in %s: %s%n",
        replica.service(), replica.id(), replica.domain(), String.join(", ", parts));
  }

  private static String confirmed(long ageMillis) {
    return ageMillis == GatewayStatus.UNKNOWN ? "" : ", confirmed " + ageMillis + " ms ago";
  }
}
