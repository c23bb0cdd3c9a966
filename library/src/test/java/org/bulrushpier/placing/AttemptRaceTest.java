package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AttemptRaceTest {

  private final AttemptRace<String> race = new AttemptRace<>();

  @BeforeEach
  void begin() {
    race.begin("first");
    race.begin("second");
  }

  @Test
  void attemptThatMakesProgressIsTheOnlyOneLeft() {
    assertThat(race.progressed("second")).containsExactly("first");
    assertThat(race.running()).containsExactly("second");
    assertThat(race.progressed("second")).isEmpty();
  }

  @Test
  void endOfOneAttemptLeavesTheOtherRunning() {
    race.end("second");

    assertThat(race.running()).containsExactly("first");
    race.end("first");
    assertThat(race.isEmpty()).isTrue();
  }

  @Test
  void attemptThatBeginsAfterProgressRunsBesideTheOther() {
    race.progressed("first");
    race.begin("third");

    assertThat(race.running()).containsExactly("first", "third");
  }
}
