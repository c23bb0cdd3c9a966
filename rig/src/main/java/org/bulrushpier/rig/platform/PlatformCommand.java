package org.bulrushpier.rig.platform;

import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.http.HttpServer;
import org.bulrushpier.rig.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a {@link PlatformFake}. Not thread-safe. */
@Command(
    name = "platform",
    description = "Runs a fake platform: object API, instance list, weight store.",
    mixinStandardHelpOptions = true)
public final class PlatformCommand implements Callable<Integer> {

  @Option(names = "--address", required = true, description = "Listen address, IP:PORT.")
  private String address;

  @Option(names = "--list-lag-ms", defaultValue = "5000", description = "Lag of the instance list.")
  private long listLagMillis;

  /** Creates the command. */
  public PlatformCommand() {}

  @Override
  public Integer call() {
    PlatformFake platform = new PlatformFake(listLagMillis);
    HttpServer.start(Address.parse(address), platform::handle);
    return Main.KEEPS_RUNNING;
  }
}
