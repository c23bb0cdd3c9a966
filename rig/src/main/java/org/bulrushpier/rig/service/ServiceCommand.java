package org.bulrushpier.rig.service;

import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.http.HttpServer;
import org.bulrushpier.rig.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a plain service's stand-in. Not thread-safe. */
@Command(
    name = "service",
    description = "Stands in for a replica of a plain service.",
    mixinStandardHelpOptions = true)
public final class ServiceCommand implements Callable<Integer> {

  @Option(names = "--address", required = true, description = "Where to listen.")
  private String address;

  @Option(names = "--name", required = true, description = "The replica's name.")
  private String name;

  @Option(names = "--work-ms", defaultValue = "5", description = "How long a call takes.")
  private long workMillis;

  /** Creates the command. */
  public ServiceCommand() {}

  @Override
  public Integer call() {
    ServiceFake service = new ServiceFake(name, workMillis);
    HttpServer.start(Address.parse(address), service::answer);
    return Main.KEEPS_RUNNING;
  }
}
