package org.bulrushpier.rig.engine;

import java.util.Optional;
import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.http.HttpServer;
import org.bulrushpier.rig.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a model engine's stand-in. Not thread-safe. */
@Command(
    name = "engine",
    description = "Stands in for a replica of a model engine.",
    mixinStandardHelpOptions = true)
public final class EngineCommand implements Callable<Integer> {

  @Option(names = "--address", required = true, description = "Where to listen.")
  private String address;

  @Option(names = "--name", required = true, description = "The replica's name.")
  private String name;

  @Option(names = "--model", required = true, description = "The model it serves.")
  private String model;

  @Option(names = "--version", required = true, description = "The weight version at the start.")
  private String version;

  @Option(names = "--cache-blocks", defaultValue = "2000", description = "Blocks it can hold.")
  private int cacheBlocks;

  @Option(names = "--prefill-rate", defaultValue = "8000", description = "Prompt tokens a second.")
  private long prefillRate;

  @Option(names = "--token-ms", defaultValue = "12", description = "Time of a decode step.")
  private double tokenMillis;

  @Option(names = "--stream-ms", defaultValue = "0.5", description = "More time per stream.")
  private double streamMillis;

  @Option(names = "--checks-fencing", description = "Refuse orders with an old fencing number.")
  private boolean isChecksFencing;

  @Option(names = "--weight-store", description = "Where weights are loaded from, IP:PORT.")
  private String weightStore;

  /** Creates the command. */
  public EngineCommand() {}

  private Optional<Address> weights() {
    return Optional.ofNullable(weightStore).map(Address::parse);
  }

  @Override
  public Integer call() {
    Pace pace = new Pace(prefillRate, tokenMillis, streamMillis);
    EngineFake engine =
        new EngineFake(name, model, version, cacheBlocks, pace, isChecksFencing, weights());
    engine.start();
    HttpServer.start(Address.parse(address), engine::answer);
    return Main.KEEPS_RUNNING;
  }
}
