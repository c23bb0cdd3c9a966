package org.bulrushpier.rig.store;

import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.http.HttpServer;
import org.bulrushpier.rig.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a cache store's stand-in. Not thread-safe. */
@Command(
    name = "store",
    description = "Stands in for a cache store with memory, disk and a limited link.",
    mixinStandardHelpOptions = true)
public final class StoreCommand implements Callable<Integer> {

  @Option(names = "--address", required = true, description = "Where to listen.")
  private String address;

  @Option(names = "--memory-blocks", defaultValue = "20000", description = "Blocks in memory.")
  private int memoryBlocks;

  @Option(names = "--disk-blocks", defaultValue = "100000", description = "Blocks on disk.")
  private int diskBlocks;

  @Option(
      names = "--link-bytes-per-second",
      defaultValue = "100000000",
      description = "The link's rate, both ways together.")
  private long linkBytesPerSecond;

  /** Creates the command. */
  public StoreCommand() {}

  @Override
  public Integer call() {
    StoreFake store = new StoreFake(memoryBlocks, diskBlocks, new LinkFake(linkBytesPerSecond));
    HttpServer.start(Address.parse(address), store::answer);
    return Main.KEEPS_RUNNING;
  }
}
