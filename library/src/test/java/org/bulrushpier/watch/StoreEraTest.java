package org.bulrushpier.watch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.bulrushpier.watch.StoreEra.Observation;
import org.junit.jupiter.api.Test;

/** Guards against revisions of two eras of the store that are compared with each other. */
class StoreEraTest {

  private final StoreEra era = new StoreEra();

  private Observation observe(long told) {
    return era.observe(OptionalLong.of(told));
  }

  @Test
  void firstAnswerTellsTheEraOfAllThatIsKnown() {
    assertThat(observe(4)).isEqualTo(Observation.KNOWN);
    assertThat(observe(4)).isEqualTo(Observation.KNOWN);
  }

  @Test
  void laterEraIsNewOnce() {
    observe(4);

    assertThat(observe(5)).isEqualTo(Observation.NEWER);
    assertThat(observe(5)).isEqualTo(Observation.KNOWN);
    assertThat(observe(7)).isEqualTo(Observation.NEWER);
  }

  @Test
  void lateAnswerOfOlderEraChangesNothing() {
    observe(4);
    observe(5);

    assertThat(observe(4)).isEqualTo(Observation.OLDER);
    assertThat(era.current()).isEqualTo(5);
  }

  @Test
  void answerWithoutEraIsOfTheKnownOne() {
    observe(4);

    assertThat(era.observe(OptionalLong.empty())).isEqualTo(Observation.KNOWN);
    assertThat(era.current()).isEqualTo(4);
  }

  @Test
  void eraThatIsToldOnlyLaterIsNew() {
    era.observe(OptionalLong.empty());

    assertThat(observe(1)).isEqualTo(Observation.NEWER);
  }

  @Test
  void fencesGrowAlthoughRevisionsGoBack() {
    assertThat(era.fence(9_000)).isEqualTo(9_000);
    observe(1);
    long before = era.fence(9_000);
    observe(2);

    assertThat(era.fence(17)).isGreaterThan(before);
  }
}
