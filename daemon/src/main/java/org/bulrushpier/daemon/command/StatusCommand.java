package org.bulrushpier.daemon.command;

import java.util.concurrent.Callable;
import org.bulrushpier.daemon.Status;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Prints the status of an entry. Not thread-safe. */
@Command(
    name = "status",
    description = "Prints the status of an entry, its peers and its upstreams.",
    mixinStandardHelpOptions = true)
public final class StatusCommand implements Callable<Integer> {

  @Mixin private EntryOptions options;

  /** Creates the command. */
  public StatusCommand() {}

  @Override
  public Integer call() {
    Reply reply = options.callOk(OutgoingCall.get(options.address(), "/admin/status"));
    if (options.isJson()) {
      EntryOptions.printJson(reply);
    } else {
      print(reply.json(Status.class));
    }
    return 0;
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
}
