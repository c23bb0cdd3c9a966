package org.bulrushpier.rig.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.bulrushpier.Codec;
import org.bulrushpier.rig.site.Launcher;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a fault soak of the gateway and prints what it saw as JSON. Not thread-safe. */
@Command(
    name = "soak",
    description = {
      "Runs several instances of the gateway under faults drawn from a seed and checks what",
      "callers and replicas see. Prints one JSON line with counts and the first violations of each",
      "promise; exits with 1 if there were any."
    },
    mixinStandardHelpOptions = true)
public final class SoakCommand implements Callable<Integer> {

  private static final int PRINTED_VIOLATIONS = 5;

  @Option(names = "--seed", defaultValue = "1", description = "The seed of faults and calls.")
  private long seed;

  @Option(names = "--seconds", defaultValue = "60", description = "The time with faults.")
  private int seconds;

  /** Creates the command. */
  public SoakCommand() {}

  @Override
  public Integer call() throws IOException {
    Soak.Result result = Soak.run(Launcher.fromSystemProperty(), seed, seconds);
    byte[] line = Codec.json().write(result.shortened(PRINTED_VIOLATIONS));
    System.out.println(new String(line, StandardCharsets.UTF_8));
    return result.violations().isEmpty() ? 0 : 1;
  }
}
