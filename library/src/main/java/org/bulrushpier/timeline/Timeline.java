package org.bulrushpier.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;

/**
 * A bounded buffer of the latest events of a process.
 *
 * <pre>{@code
 * timeline.add("settings", "site", "version 7 is in force");
 * List<Event> merged = Timeline.merge(List.of(mine, theirs));
 * }</pre>
 *
 * <p>When the buffer is full, the oldest events are dropped. Thread-safe.
 */
public final class Timeline {

  private static final int CAPACITY = 4_096;

  private final String process;
  private final HybridClock clock;
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  private Timeline(String process, HybridClock clock) {
    this.process = process;
    this.clock = clock;
  }

  /**
   * Creates an empty timeline.
   *
   * @param process the name of the process
   * @param clock the clock that provides the timestamps of events
   * @return the timeline
   */
  public static Timeline of(String process, HybridClock clock) {
    return new Timeline(process, clock);
  }

  /**
   * Merges the events of several processes into a total order that respects causality.
   *
   * @param parts the events of each process
   * @return a new sorted list
   */
  public static List<Event> merge(Collection<List<Event>> parts) {
    List<Event> all = new ArrayList<>();
    parts.forEach(all::addAll);
    Collections.sort(all);
    return all;
  }

  /**
   * Records an event.
   *
   * @param part the component of the process
   * @param subject the subject of the event
   * @param text the description of the event
   */
  public synchronized void add(String part, String subject, String text) {
    if (events.size() == CAPACITY) {
      events.removeFirst();
    }
    events.addLast(new Event(clock.tick(), process, part, subject, text));
  }

  /**
   * Returns the events after a given timestamp.
   *
   * @param afterStamp the timestamp after which events are returned
   * @return a new list, oldest first
   */
  public synchronized List<Event> since(long afterStamp) {
    return events.stream().filter(event -> event.stamp() > afterStamp).toList();
  }

  /** Returns the clock that provides the timestamps of events. */
  public HybridClock clock() {
    return clock;
  }
}
