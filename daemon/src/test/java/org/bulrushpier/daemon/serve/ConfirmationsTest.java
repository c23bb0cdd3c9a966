package org.bulrushpier.daemon.serve;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.junit.jupiter.api.Test;

class ConfirmationsTest {

  private static final String KIND = "evacuations";
  private static final Moment START = new Moment(1_000, 5_000);

  private final Confirmations confirmations = new Confirmations();
  private final List<String> told = new ArrayList<>();
  private final StoreWatch.Listener listener = confirmations.recording(KIND, new Recorder());
  private boolean isFaulty;

  private final class Recorder implements StoreWatch.Listener {
    @Override
    public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
      told.add("listed");
      if (isFaulty) {
        throw new IllegalStateException("not applied");
      }
    }

    @Override
    public void changed(List<Event> events, Moment proven, Moment changedAfter) {
      told.add("changed");
    }

    @Override
    public void unavailable(String detail) {
      told.add("unavailable " + detail);
    }

    @Override
    public void failed(String detail) {
      told.add("failed " + detail);
    }
  }

  private void changed(Moment proven) {
    listener.changed(List.of(), proven, Moment.DISTANT_PAST);
  }

  @Test
  void nothingIsKnownBeforeTheFirstResponse() {
    listener.unavailable("silence");
    listener.failed("unreadable");

    assertThat(confirmations.ageMillis(KIND, START)).isEmpty();
    assertThat(told).containsExactly("unavailable silence", "failed unreadable");
  }

  @Test
  void ageIsThatOfTheLatestConfirmation() {
    listener.listed(List.of(), START, Moment.DISTANT_PAST);
    changed(START.plusMillis(200));

    assertThat(confirmations.ageMillis(KIND, START.plusMillis(500))).hasValue(300);
    assertThat(confirmations.ageMillis("servers", START.plusMillis(500))).isEmpty();
    assertThat(told).containsExactly("listed", "changed");
  }

  @Test
  void olderProofAndOutageDoNotChangeTheConfirmation() {
    changed(START.plusMillis(200));
    changed(START);
    listener.unavailable("silence");

    assertThat(confirmations.ageMillis(KIND, START.plusMillis(500))).hasValue(300);
  }

  @Test
  void responseThatCouldNotBeAppliedConfirmsNothing() {
    isFaulty = true;

    assertThatThrownBy(() -> listener.listed(List.of(), START, Moment.DISTANT_PAST))
        .isInstanceOf(IllegalStateException.class);

    assertThat(confirmations.ageMillis(KIND, START)).isEmpty();
  }
}
