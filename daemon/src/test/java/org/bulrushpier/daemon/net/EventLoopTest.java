package org.bulrushpier.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EventLoopTest {

  private static final int RUNS = 3;
  private static final int TIMEOUT_SECONDS = 30;

  private final EventLoop loop = EventLoop.start();

  @AfterEach
  void stop() {
    loop.stop();
  }

  @Test
  void repeatedTaskContinuesAfterFailure() throws Exception {
    CountDownLatch runs = new CountDownLatch(RUNS);
    loop.every(
        1,
        () -> {
          runs.countDown();
          throw new IllegalStateException("failed");
        });

    assertThat(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void repeatedTaskContinuesAfterError() throws Exception {
    CountDownLatch runs = new CountDownLatch(RUNS);
    loop.every(
        1,
        () -> {
          runs.countDown();
          throw new OutOfMemoryError("simulated");
        });

    assertThat(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
  }
}
