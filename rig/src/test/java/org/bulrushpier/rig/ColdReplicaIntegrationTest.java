package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.GatewaySite.Arrival;
import org.bulrushpier.rig.GatewaySite.Instance;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.Pace;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that two instances together send a cold engine no more than it bears, with callers that
 * would send it many times as much.
 */
class ColdReplicaIntegrationTest {

  private static final int PER_SECOND = 4;

  /** The rate with an overage of 1.5 and a slack of 5. */
  private static final int BOUND = 11;

  private static final long COLD_MILLIS = 3_000;
  private static final long SECOND_MILLIS = 1_000;

  /** The time in which instances find out which others there are, in milliseconds. */
  private static final long SETTLING_MILLIS = 4_500;

  private static final int CALLERS = 6;

  private final List<Thread> callers = new ArrayList<>();
  private final AtomicInteger sessions = new AtomicInteger();
  private volatile boolean isStopping;
  private GatewaySite site;

  @BeforeEach
  void start() throws Exception {
    site =
        GatewaySite.startInDomains(
            List.of("norte", "norte", "norte"),
            "cold-overage = 1.5",
            "cold-slack = 5",
            "retry-minimum = 80");
    site.configureColdEngines(PER_SECOND);
    site.engines().forEach(engine -> engine.setPace(new Pace(5, 5, 0)));
    site.startInstances(2).forEach(this::startCallers);
    Thread.sleep(SETTLING_MILLIS);
  }

  @AfterEach
  void stop() throws Exception {
    isStopping = true;
    for (Thread caller : callers) {
      caller.join();
    }
    site.close();
  }

  private void startCallers(Instance instance) {
    for (int i = 0; i < CALLERS; i++) {
      callers.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    while (!isStopping) {
                      generate(instance);
                    }
                  }));
    }
  }

  private void generate(Instance instance) {
    int session = sessions.incrementAndGet();
    try {
      HttpResponse<InputStream> response =
          instance.generate("%x:80,%x:20".formatted(0xa000 + session, 0xb0000 + session)).get();
      response.body().readAllBytes();
    } catch (InterruptedException | ExecutionException | IOException e) {
      Faults.sleep(1);
    }
  }

  /** Returns the times of the arrivals at an engine in a span of time. */
  private List<Long> arrivals(ReplicaFake engine, long fromMillis, long untilMillis) {
    return site.arrivals().stream()
        .filter(arrival -> arrival.execution().replica().equals(engine.id()))
        .map(Arrival::millis)
        .filter(millis -> millis >= fromMillis && millis < untilMillis)
        .sorted()
        .toList();
  }

  private static int mostInOneSecond(List<Long> times) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= SECOND_MILLIS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  @Test
  void instancesTogetherKeepToLimitOfEngineThatComesBackColdAndThenUseItFully() throws Exception {
    ReplicaFake engine = site.engines().get(0);
    engine.crash(600);
    Thread.sleep(300);
    site.registerCold(engine, COLD_MILLIS);
    long back = MonotonicClock.millis();
    Thread.sleep(COLD_MILLIS + 5_000);

    List<Long> cold = arrivals(engine, back, back + COLD_MILLIS);
    assertThat(cold).isNotEmpty();
    assertThat(mostInOneSecond(cold)).isLessThanOrEqualTo(BOUND);
    List<Long> warm = arrivals(engine, back + COLD_MILLIS, back + COLD_MILLIS + 5_000);
    assertThat(mostInOneSecond(warm)).isGreaterThan(BOUND);
  }

  /** The registry says only later that it is another incarnation. */
  @Test
  void engineThatListensAgainBeforeItsEntryIsRenewedIsLimited() throws Exception {
    ReplicaFake engine = site.engines().get(0);
    long crashed = MonotonicClock.millis();
    engine.crash(600);
    Thread.sleep(3_000);

    List<Long> arrivals = arrivals(engine, crashed + 600, crashed + 3_000);
    assertThat(arrivals).isNotEmpty();
    assertThat(mostInOneSecond(arrivals)).isLessThanOrEqualTo(BOUND);
  }

  @Test
  void engineThatTurnsColdAgainWithoutRestartIsLimited() throws Exception {
    ReplicaFake engine = site.engines().get(0);
    site.metadataStore()
        .put(
            "servers",
            engine.id(),
            engine
                .entry("engines", "ready")
                .replace("\"cold_left_ms\":0", "\"cold_left_ms\":" + COLD_MILLIS));
    long told = MonotonicClock.millis();
    Thread.sleep(COLD_MILLIS);

    long known = told + SECOND_MILLIS;
    assertThat(mostInOneSecond(arrivals(engine, known, told + COLD_MILLIS))).isBetween(1, BOUND);
  }
}
