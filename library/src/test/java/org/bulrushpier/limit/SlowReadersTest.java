package org.bulrushpier.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.limit.SlowReaders.Kind;
import org.junit.jupiter.api.Test;

class SlowReadersTest {

  private static final long STREAM_PATIENCE = Kind.STREAM.patienceMillis();
  private static final long READY_PATIENCE = Kind.READY.patienceMillis();

  private record Caller(Kind kind, long bytes, long unreadMillis) implements SlowReaders.Reader {}

  private static long sum(List<Caller> callers) {
    return callers.stream().mapToLong(Caller::bytes).sum();
  }

  @Test
  void streamIsCutBeforeReadyAnswer() {
    Caller ready = new Caller(Kind.READY, 5_000, READY_PATIENCE);
    Caller stream = new Caller(Kind.STREAM, 1_000, STREAM_PATIENCE);

    assertThat(SlowReaders.cutsForOthers(List.of(ready, stream), 1_000)).containsExactly(stream);
    assertThat(SlowReaders.cutsForOthers(List.of(ready, stream), 1_001))
        .containsExactly(stream, ready);
    assertThat(SlowReaders.lastResort(List.of(ready, stream))).contains(stream);
  }

  @Test
  void callerThatHasJustFallenBehindIsNotCutForOthers() {
    Caller stream = new Caller(Kind.STREAM, 1_000, STREAM_PATIENCE - 1);
    Caller ready = new Caller(Kind.READY, 1_000, READY_PATIENCE - 1);

    assertThat(SlowReaders.cutsForOthers(List.of(stream, ready), 1)).isEmpty();
  }

  @Test
  void nobodyIsCutInVain() {
    Caller slow = new Caller(Kind.STREAM, 1_000, STREAM_PATIENCE);

    assertThat(SlowReaders.cutsForOthers(List.of(slow), 1_001)).isEmpty();
  }

  @Test
  void nobodyIsLeftWhenNothingIsKept() {
    assertThat(SlowReaders.lastResort(List.of(new Caller(Kind.STREAM, 0, 0)))).isEmpty();
  }

  @Property
  void cutsAreEnoughAndNoneOfTheirKindTooMany(
      @ForAll @Size(max = 100) List<@IntRange(max = 99_999) Integer> drawn,
      @ForAll @IntRange(min = 1, max = 200_000) int missingBytes) {
    List<Caller> callers = new ArrayList<>();
    for (int value : drawn) {
      callers.add(
          new Caller(Kind.values()[value % 2], value / 7 % 5_000, (long) value * 17 % 20_000));
    }
    List<Caller> slow = callers.stream().filter(SlowReaders::isSlow).toList();

    List<Caller> cuts = SlowReaders.cutsForOthers(callers, missingBytes);

    assertThat(slow).containsAll(cuts);
    if (cuts.isEmpty()) {
      assertThat(sum(slow)).isLessThan(missingBytes);
      return;
    }
    assertThat(sum(cuts)).isGreaterThanOrEqualTo(missingBytes);
    assertThat(sum(cuts.subList(0, cuts.size() - 1))).isLessThan(missingBytes);
    boolean isReadyCut = cuts.stream().anyMatch(caller -> caller.kind() == Kind.READY);
    List<Caller> streams =
        slow.stream()
            .filter(caller -> caller.kind() == Kind.STREAM)
            .sorted(Comparator.comparingLong(Caller::bytes).reversed())
            .toList();
    if (isReadyCut) {
      assertThat(cuts).containsAll(streams);
    } else {
      assertThat(sum(cuts)).isEqualTo(sum(streams.subList(0, cuts.size())));
    }
  }
}
