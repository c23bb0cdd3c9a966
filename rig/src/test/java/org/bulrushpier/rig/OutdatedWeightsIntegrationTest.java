package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.GatewaySite.Instance;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.OrderBehaviour;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that no generation starts on weights that have been outdated for longer than the time
 * allowed for a change, while the engines carry out no orders.
 */
class OutdatedWeightsIntegrationTest {

  /** Longer than any test. */
  private static final long ORDERS_IGNORED_MILLIS = 600_000;

  private GatewaySite site;

  @BeforeEach
  void start() throws Exception {
    site = GatewaySite.start();
    site.engines().forEach(OutdatedWeightsIntegrationTest::ignoreOrders);
  }

  @AfterEach
  void stop() throws Exception {
    site.close();
  }

  private static void ignoreOrders(ReplicaFake engine) {
    engine.setOrderBehaviour(OrderBehaviour.UNANSWERED, ORDERS_IGNORED_MILLIS);
  }

  private static void obeyOrders(ReplicaFake engine) {
    engine.setOrderBehaviour(OrderBehaviour.PROMPT, 0);
  }

  /** Waits for the time for a change to pass and until generations are refused. */
  private static void awaitRefusal(Instance instance) throws Exception {
    Thread.sleep(GatewaySite.CHANGE_MILLIS);
    GatewaySite.await(() -> instance.generate() == 503);
  }

  /** Sends generations for a while and returns how many the engines executed. */
  private int executedWithin(Instance instance, long millis) throws Exception {
    int before = site.executed();
    long end = MonotonicClock.millis() + millis;
    while (MonotonicClock.millis() < end) {
      instance.generate();
      Thread.sleep(50);
    }
    return site.executed() - before;
  }

  @Test
  void restartGivesOutdatedEnginesNoMoreTime() throws Exception {
    Instance restarted = site.startInstances(2).get(1);
    site.requestVersion(2);
    awaitRefusal(restarted);

    restarted.restart();
    restarted.awaitReady();
    Thread.sleep(500);

    assertThat(executedWithin(restarted, 2_000)).isZero();
  }

  @Test
  void restartWithoutOtherInstancesUsesOutdatedEnginesOnlyBriefly() throws Exception {
    Instance restarted = site.startInstances(1).get(0);
    site.requestVersion(2);
    awaitRefusal(restarted);

    restarted.restart();
    restarted.awaitReady();
    Thread.sleep(2_000);

    assertThat(executedWithin(restarted, 1_500)).isZero();
  }

  /** The watch gets no answer for longer than the time allowed for a change. */
  @Test
  void silentWatchGivesOutdatedEnginesNoMoreTime() throws Exception {
    final Instance instance = site.startInstances(1).get(0);
    site.metadataStore().silenceReads("versions");
    site.requestVersion(2);
    Thread.sleep(GatewaySite.CHANGE_MILLIS + 500);

    site.metadataStore().silenceReads("");
    GatewaySite.await(() -> instance.metric("bulrushpier_weights_outdated_engines") > 0);
    Thread.sleep(2_000);

    assertThat(executedWithin(instance, 1_500)).isZero();
  }

  @Test
  void restartedInstanceStartsNoGenerationBeforeItKnowsTheRequestedVersions() throws Exception {
    Instance restarted = site.startInstances(1).get(0);
    site.requestVersion(2);
    awaitRefusal(restarted);
    site.metadataStore().silenceReads("versions");

    restarted.restart();

    assertThat(executedWithin(restarted, 3_000)).isZero();
    site.metadataStore().silenceReads("");
    restarted.awaitReady();
  }

  @Test
  void requestWithoutReadablePromptStartsOnNoOutdatedEngine() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    site.requestVersion(2);
    awaitRefusal(instance);
    int executedBefore = site.executed();

    int status = site.status(instance.requestWithoutPrompt());

    assertThat(site.executed()).isEqualTo(executedBefore);
    assertThat(status).isEqualTo(503);
  }

  @Test
  void enginesThatLeaveOrdersUnansweredDoNotHoldUpOthers() throws Exception {
    List<ReplicaFake> answering = site.engines().subList(3, site.engines().size());
    answering.forEach(OutdatedWeightsIntegrationTest::obeyOrders);
    site.startInstances(1);

    site.requestVersion(2);

    GatewaySite.await(() -> answering.stream().allMatch(engine -> engine.orders().size() == 1));
  }

  @Test
  void generationThatHasNotStartedIsRecalledBeforeItsEngineIsOutdatedForTooLong() throws Exception {
    Instance instance = site.startInstances(1).get(0);
    site.engines().forEach(engine -> engine.setBehaviour(ReplicaFake.Behaviour.SILENT));
    site.requestVersion(2);
    GatewaySite.await(() -> instance.metric("bulrushpier_weights_outdated_engines") > 0);
    long start = MonotonicClock.millis();

    assertThat(instance.generate()).isEqualTo(502);

    assertThat(site.executed()).isEqualTo(1);
    assertThat(MonotonicClock.millis() - start).isLessThan(GatewaySite.CHANGE_MILLIS + 100);
  }

  @Test
  void leavingInstanceGoesOnOrderingAndReleasesItsLease() throws Exception {
    Instance leaving = site.startInstances(1).get(0);
    site.requestVersion(2);
    GatewaySite.await(() -> site.metadataStore().content("order-leases", "m0") != null);
    Thread shutdown = Thread.ofVirtual().start(leaving::shutDown);
    Thread.sleep(300);

    site.engines().subList(0, 3).forEach(OutdatedWeightsIntegrationTest::obeyOrders);
    shutdown.join();

    assertThat(site.engines().subList(0, 3)).allMatch(engine -> engine.orders().size() == 1);
    assertThat(site.metadataStore().content("order-leases", "m0").path("released").asBoolean())
        .isTrue();
  }
}
