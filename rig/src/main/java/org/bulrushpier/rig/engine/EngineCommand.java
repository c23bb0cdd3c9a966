package org.bulrushpier.rig.engine;

import java.util.Optional;
import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.http.HttpServer;
import org.bulrushpier.rig.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an {@link EngineFake}. Not thread-safe. */
@Command(
    name = "engine",
    description = "Runs a fake replica of a model engine.",
    mixinStandardHelpOptions = true)
public final class EngineCommand implements Callable<Integer> {

  @Option(names = "--address", required = true, description = "Listen address, IP:PORT.")
  private String address;

  @Option(names = "--name", required = true, description = "The replica's name.")
  private String name;

  @Option(names = "--model", required = true, description = "The served model.")
  private String model;

  @Option(names = "--version", required = true, description = "The initial weight version.")
  private String version;

  @Option(
      names = "--cache-blocks",
      defaultValue = "2000",
      description = "Cache capacity in blocks.")
  private int cacheBlocks;

  @Option(
      names = "--prefill-rate",
      defaultValue = "8000",
      description = "Prompt tokens per second.")
  private long prefillRate;

  @Option(names = "--token-ms", defaultValue = "12", description = "Duration of a decode step.")
  private double tokenMillis;

  @Option(
      names = "--stream-ms",
      defaultValue = "0.5",
      description = "Duration that each stream adds to a decode step.")
  private double streamMillis;

  @Option(names = "--checks-fencing", description = "Reject orders with a stale fencing token.")
  private boolean checksFencing;

  @Option(names = "--weight-store", description = "Weight store address, IP:PORT.")
  private String weightStore;

  /** Creates the command. */
  public EngineCommand() {}

  private Optional<Address> weightStoreAddress() {
    return Optional.ofNullable(weightStore).map(Address::parse);
  }

  @Override
  public Integer call() {
    StepTiming timing = new StepTiming(prefillRate, tokenMillis, streamMillis);
    EngineFake engine =
        new EngineFake(
            name, model, version, cacheBlocks, timing, checksFencing, weightStoreAddress());
    engine.start();
    HttpServer.start(Address.parse(address), engine::handle);
    return Main.KEEPS_RUNNING;
  }
}
