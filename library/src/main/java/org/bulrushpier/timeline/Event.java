package org.bulrushpier.timeline;

/**
 * An event in the timeline of a process. Immutable and thread-safe.
 *
 * @param stamp the hybrid logical timestamp
 * @param process the name of the process
 * @param part the component of the process, which is also the prefix of its log messages
 * @param subject the subject of the event, such as the id of a request or a settings path
 * @param text the description of the event
 */
public record Event(long stamp, String process, String part, String subject, String text)
    implements Comparable<Event> {

  @Override
  public int compareTo(Event other) {
    int byStamp = Long.compare(stamp, other.stamp);
    return byStamp != 0 ? byStamp : process.compareTo(other.process);
  }
}
