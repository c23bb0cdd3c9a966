package org.bulrushpier.daemon.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.Codec;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.timeline.Event;
import org.bulrushpier.timeline.HybridClock;
import org.bulrushpier.timeline.Timeline;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Merges the timelines of several entries. Not thread-safe. */
@Command(
    name = "timeline",
    description = "Merges the events of several entries into one causally consistent order.",
    mixinStandardHelpOptions = true)
public final class TimelineCommand implements Callable<Integer> {

  @Mixin private EntryOptions options;

  @Option(
      names = "--entries",
      split = ",",
      paramLabel = "IP:PORT",
      description = "The entries to query (default: the one given by --entry).")
  private List<String> entries = new ArrayList<>();

  @Option(
      names = "--subject",
      paramLabel = "TEXT",
      description = "Print only events whose subject contains this text.")
  private String subject = "";

  /** Creates the command. */
  public TimelineCommand() {}

  @Override
  public Integer call() {
    List<Address> addresses = entries.stream().map(Address::parse).toList();
    List<List<Event>> parts = new ArrayList<>();
    for (Address address : addresses.isEmpty() ? List.of(options.address()) : addresses) {
      Event[] events =
          options.callOk(OutgoingCall.get(address, "/admin/timeline")).json(Event[].class);
      parts.add(Arrays.asList(events));
    }
    List<Event> merged =
        Timeline.merge(parts).stream().filter(e -> e.subject().contains(subject)).toList();
    merged.forEach(this::print);
    return 0;
  }

  private void print(Event event) {
    if (options.isJson()) {
      System.out.println(
          new String(Codec.json().write(event), java.nio.charset.StandardCharsets.UTF_8));
      return;
    }
    System.out.printf(
        "%s %-10s %-9s %s: %s%n",
        Instant.ofEpochMilli(HybridClock.millis(event.stamp())),
        event.process(),
        event.part(),
        event.subject(),
        event.text());
  }
}
