package org.bulrushpier.rig.service;

import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.http.HttpServer;
import org.bulrushpier.rig.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a {@link ServiceFake}. Not thread-safe. */
@Command(
    name = "service",
    description = "Runs a fake replica of a plain service.",
    mixinStandardHelpOptions = true)
public final class ServiceCommand implements Callable<Integer> {

  @Option(names = "--address", required = true, description = "Listen address, IP:PORT.")
  private String address;

  @Option(names = "--name", required = true, description = "The replica's name.")
  private String name;

  @Option(names = "--work-ms", defaultValue = "5", description = "Duration of a call.")
  private long workMillis;

  /** Creates the command. */
  public ServiceCommand() {}

  @Override
  public Integer call() {
    ServiceFake service = new ServiceFake(name, workMillis);
    HttpServer.start(Address.parse(address), service::handle);
    return Main.KEEPS_RUNNING;
  }
}
