package org.bulrushpier.rig.load;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.rig.site.SitePlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs a benchmark and prints its results as one line of JSON. Not thread-safe. */
@Command(
    name = "measure",
    description = {
      "Runs one benchmark against real processes and prints one JSON line:",
      "return-gap, return-gap-faults, noisy-customer, service-down, once, settings, overload,",
      "control."
    },
    mixinStandardHelpOptions = true)
public final class MeasureCommand implements Callable<Integer> {

  @Parameters(paramLabel = "NAME", description = "The benchmark.")
  private String name;

  @Option(names = "--seed", defaultValue = "1", description = "The seed of the arrivals.")
  private long seed;

  @Option(names = "--site", defaultValue = "lima", description = "lima or centro.")
  private String site;

  @Option(names = "--policy", defaultValue = "all", description = "A routing policy, or all.")
  private String policy;

  @Option(names = "--seconds", defaultValue = "60", description = "Duration of return-gap runs.")
  private int seconds;

  /** Creates the command. */
  public MeasureCommand() {}

  private record Line(String measure, String site, long seed, Object figures) {}

  @Override
  public Integer call() throws InterruptedException {
    SitePlan plan = site.equals("centro") ? SitePlan.centro() : SitePlan.lima();
    Object figures =
        switch (name) {
          case "return-gap" -> new ReturnGapBenchmark(plan, seed, seconds, false).run(policy);
          case "return-gap-faults" ->
              new ReturnGapBenchmark(plan, seed, seconds, true)
                  .run(policy.equals("all") ? "least-cost" : policy);
          case "noisy-customer" -> new IsolationBenchmark(plan, seed).run();
          case "service-down" -> new ServiceOutageBenchmark(plan, seed).run();
          case "once" -> new IdempotencyBenchmark(plan, seed).run();
          case "settings" -> new SettingsBenchmark(plan, seed).run();
          case "overload" -> new OverloadBenchmark(seed).run();
          case "control" -> new ControlPlaneBenchmark().run();
          default ->
              throw BulrushpierException.notRun(
                  ErrorCode.NOT_FOUND, "measure: unknown benchmark '" + name + "'");
        };
    byte[] line = Codec.json().write(new Line(name, site, seed, figures));
    System.out.println(new String(line, StandardCharsets.UTF_8));
    return 0;
  }
}
