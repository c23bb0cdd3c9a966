package org.bulrushpier.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Guards against signals that end a process that is starting, or that it loses. */
class ProcessSignalsTest {

  private final ProcessSignals signals = ProcessSignals.ofCalls();
  private final List<String> calls = new ArrayList<>();

  private ProcessSignals.Listener started() {
    calls.add("start");
    return new ProcessSignals.Listener() {
      @Override
      public void reload() {
        calls.add("reload");
      }

      @Override
      public void terminate() {
        calls.add("terminate");
      }
    };
  }

  @Test
  void reloadsBeforeTheStartArePassedOnOnce() throws IOException {
    signals.reload();
    signals.reload();

    signals.start(this::started);

    assertThat(calls).containsExactly("start", "reload");
  }

  @Test
  void reloadDuringTheStartIsPassedOn() throws Exception {
    startWhile(signals::reload);

    assertThat(calls).containsExactly("start", "reload");
  }

  @Test
  void serverDoesNotStartAfterTermination() throws IOException {
    signals.terminate();

    signals.start(this::started);

    assertThat(calls).isEmpty();
  }

  @Test
  void serverThatIsStartingIsShutDown() throws Exception {
    startWhile(signals::terminate);

    assertThat(calls).containsExactly("start", "terminate");
  }

  @Test
  void failedStartLeavesNothingToTerminate() {
    assertThatThrownBy(
            () ->
                signals.start(
                    () -> {
                      throw new IOException("address in use");
                    }))
        .isInstanceOf(IOException.class);

    signals.terminate();

    assertThat(calls).isEmpty();
  }

  /** Starts the server; the signal comes once that has begun. */
  private void startWhile(Runnable signal) throws Exception {
    CountDownLatch isStarting = new CountDownLatch(1);
    Thread sender =
        Thread.ofVirtual()
            .start(
                () -> {
                  awaitUninterruptibly(isStarting);
                  signal.run();
                });
    signals.start(
        () -> {
          isStarting.countDown();
          return started();
        });
    sender.join();
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
