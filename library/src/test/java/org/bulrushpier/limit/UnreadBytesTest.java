package org.bulrushpier.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class UnreadBytesTest {

  private final UnreadBytes unread = new UnreadBytes();

  @Test
  void callerThatKeepsPaceIsNeverBehindAlthoughItHasNeverReadEverything() {
    unread.written(100, 0);
    for (long now = 200; now <= 60_000; now += 200) {
      unread.written(100, now);
      assertThat(unread.oldestMillis(now)).isEqualTo(200);
      unread.read(100);
    }
  }

  @Test
  void callerThatReadsNothingFallsBehindByTheTime() {
    unread.written(100, 1_000);
    unread.written(100, 5_000);

    assertThat(unread.oldestMillis(6_000)).isEqualTo(5_000);
    unread.read(150);
    assertThat(unread.oldestMillis(6_000)).isEqualTo(1_000);
    unread.read(50);
    assertThat(unread.oldestMillis(6_000)).isZero();
  }

  /** Holds the ages against a record of every single byte. */
  @Property
  void ageIsExactWithinTheResolution(
      @ForAll @Size(max = 200) List<@IntRange(max = 999) Integer> steps) {
    UnreadBytes bytes = new UnreadBytes();
    Deque<Long> all = new ArrayDeque<>();
    long now = 0;
    for (int step : steps) {
      now += step % 70;
      int count = step % 13;
      if (step % 2 == 0) {
        bytes.written(count + 1, now);
        for (int i = 0; i <= count; i++) {
          all.add(now);
        }
      } else {
        int read = Math.min(count, all.size());
        bytes.read(read);
        for (int i = 0; i < read; i++) {
          all.remove();
        }
      }
      long exactMillis = all.isEmpty() ? 0 : now - all.peek();
      assertThat(bytes.oldestMillis(now))
          .isBetween(exactMillis, exactMillis + UnreadBytes.RESOLUTION_MILLIS);
      assertThat(bytes.oldestMillis(now) == 0 || !all.isEmpty()).isTrue();
    }
  }
}
