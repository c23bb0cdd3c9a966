package org.bulrushpier.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class TimelineTest {

  /** Three processes exchange messages while their clocks differ by minutes and step back. */
  @Property(tries = 300)
  void mergedOrderRespectsCausality(
      @ForAll @Size(max = 60) List<@IntRange(max = 8) Integer> steps) {
    long[] clocks = {1_000_000, 700_000, 1_900_000};
    List<Timeline> timelines = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int process = i;
      timelines.add(Timeline.of("p" + i, HybridClock.of(() -> clocks[process])));
    }
    int number = 0;
    List<String> causes = new ArrayList<>();
    for (int step : steps) {
      Timeline from = timelines.get(step % 3);
      Timeline to = timelines.get(step / 3);
      clocks[step % 3] += step % 2 == 0 ? 17 : -40;
      from.add("t", "cause" + number, "sends");
      to.clock().observe(from.clock().tick());
      to.add("t", "effect" + number, "receives");
      causes.add("cause" + number);
      number++;
    }
    List<String> merged =
        Timeline.merge(timelines.stream().map(timeline -> timeline.since(0)).toList()).stream()
            .map(Event::subject)
            .toList();
    for (String cause : causes) {
      String effect = cause.replace("cause", "effect");
      assertThat(merged.indexOf(cause)).isLessThan(merged.indexOf(effect));
    }
  }

  @Test
  void oldestEventsAreDroppedFirst() {
    Timeline timeline = Timeline.of("p", HybridClock.of(() -> 1));
    for (int i = 0; i < 5_000; i++) {
      timeline.add("t", "e" + i, "");
    }
    assertThat(timeline.since(0)).hasSize(4_096);
    assertThat(timeline.since(0).get(4_095).subject()).isEqualTo("e4999");
  }
}
