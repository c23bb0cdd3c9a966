package org.bulrushpier.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EngineChangeTest {

  private final EngineChange change = EngineChange.start(1_000);

  @Test
  void unansweredOrderIsRepeatedUntilTheEngineBeginsToChange() {
    assertThat(change.isOrderDue(0, 0, 1_000)).isTrue();
    change.unanswered(1_400);

    assertThat(change.isUnanswered()).isTrue();
    assertThat(change.isOrderDue(3, 2, 2_300)).isFalse();
    assertThat(change.isOrderDue(3, 2, 2_400)).isTrue();
    change.reported(false, 2_400);
    assertThat(change.isUnanswered()).isTrue();
    change.reported(true, 3_000);
    assertThat(change.isUnanswered()).isFalse();
  }

  @Test
  void acceptedOrderIsNotRepeatedWhileReportsLagBehind() {
    change.accepted(2_000);

    change.reported(false, 2_800);
    assertThat(change.isUnanswered()).isFalse();
    assertThat(change.isOrderDue(0, 0, 2_800)).isFalse();
  }

  @Test
  void orderThatIsAcceptedWithoutEffectIsRepeatedAtIntervals() {
    change.accepted(2_000);

    change.reported(false, 2_900);

    assertThat(change.isUnanswered()).isTrue();
    assertThat(change.isOrderDue(0, 0, 3_000)).isFalse();
    assertThat(change.isOrderDue(0, 0, 3_900)).isTrue();
  }

  @Test
  void busyEngineIsNotOrderedAtOnceAgain() {
    change.busy(1_000);

    assertThat(change.isOrderDue(0, 0, 1_200)).isFalse();
    assertThat(change.isOrderDue(0, 0, 1_300)).isTrue();
    assertThat(change.isUnanswered()).isFalse();
  }

  @Test
  void engineThatLeavesManyOrdersUnansweredIsOrderedLessOften() {
    for (int i = 0; i < 12; i++) {
      change.unanswered(10_000 + i);
    }

    assertThat(change.isOrderDue(0, 0, 14_000)).isFalse();
    assertThat(change.isOrderDue(0, 0, 15_100)).isTrue();
  }

  @Test
  void engineWithUnansweredOrderIsActiveOnlyWhileAnOrderIsUnderWay() {
    assertThat(change.isActive()).isTrue();
    change.unanswered(1_400);
    assertThat(change.isActive()).isFalse();

    change.orderSent();
    assertThat(change.isActive()).isTrue();
    change.callEnded(2_800);
    assertThat(change.isActive()).isFalse();
  }

  @Test
  void engineWithoutReportsIsSilent() {
    change.reportRequested();
    change.callEnded(1_700);
    assertThat(change.isSilent(2_400)).isFalse();

    assertThat(change.isSilent(2_600)).isTrue();
    change.reported(false, 2_600);
    assertThat(change.isSilent(2_700)).isFalse();
  }

  @Test
  void engineIsAskedLessOftenWhileItsOrderIsUnanswered() {
    change.reportRequested();
    assertThat(change.isReportDue(1_500)).isFalse();
    change.callEnded(1_500);
    assertThat(change.isReportDue(1_600)).isTrue();

    change.unanswered(1_600);
    change.callEnded(1_600);
    assertThat(change.isReportDue(1_700)).isFalse();
    assertThat(change.isReportDue(1_900)).isTrue();
  }
}
