package org.bulrushpier.rig.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.http.HttpServer;
import org.bulrushpier.rig.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the fault-injecting proxy. Not thread-safe. */
@Command(
    name = "proxy",
    description = "Forwards TCP and injects faults: cut, delay, bandwidth limit, reset.",
    mixinStandardHelpOptions = true)
public final class ProxyCommand implements Callable<Integer> {

  @Option(names = "--control", required = true, description = "Listen address of the control API.")
  private String control;

  @Option(
      names = "--link",
      paramLabel = "NAME=IP:PORT=IP:PORT",
      description = "A link: name, listen address, target address.")
  private List<String> links = new ArrayList<>();

  /** Creates the command. */
  public ProxyCommand() {}

  @Override
  public Integer call() {
    FaultProxy proxy = new FaultProxy();
    for (String link : links) {
      String[] parts = link.split("=");
      proxy.open(parts[0], Address.parse(parts[1]), Address.parse(parts[2]));
    }
    HttpServer.start(Address.parse(control), proxy::handle);
    return Main.KEEPS_RUNNING;
  }
}
