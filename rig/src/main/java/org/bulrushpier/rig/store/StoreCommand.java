package org.bulrushpier.rig.store;

import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.http.HttpServer;
import org.bulrushpier.rig.Main;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a {@link StoreFake}. Not thread-safe. */
@Command(
    name = "store",
    description = "Runs a fake cache store with memory, disk and a link of limited bandwidth.",
    mixinStandardHelpOptions = true)
public final class StoreCommand implements Callable<Integer> {

  @Option(names = "--address", required = true, description = "Listen address, IP:PORT.")
  private String address;

  @Option(
      names = "--memory-blocks",
      defaultValue = "20000",
      description = "Memory capacity in blocks.")
  private int memoryBlocks;

  @Option(
      names = "--disk-blocks",
      defaultValue = "100000",
      description = "Disk capacity in blocks.")
  private int diskBlocks;

  @Option(
      names = "--link-bytes-per-second",
      defaultValue = "100000000",
      description = "The link's bandwidth, shared by both directions.")
  private long linkBytesPerSecond;

  /** Creates the command. */
  public StoreCommand() {}

  @Override
  public Integer call() {
    StoreFake store = new StoreFake(memoryBlocks, diskBlocks, new LinkFake(linkBytesPerSecond));
    HttpServer.start(Address.parse(address), store::handle);
    return Main.KEEPS_RUNNING;
  }
}
