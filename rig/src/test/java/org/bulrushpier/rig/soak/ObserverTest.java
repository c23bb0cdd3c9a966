package org.bulrushpier.rig.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.rig.gateway.CallerFake.Answer;
import org.bulrushpier.rig.gateway.CallerFake.Call;
import org.bulrushpier.rig.gateway.CallerFake.Route;
import org.bulrushpier.rig.gateway.ReplicaFake;
import org.bulrushpier.rig.gateway.ReplicaFake.Behaviour;
import org.bulrushpier.rig.gateway.ReplicaFake.Execution;
import org.bulrushpier.rig.soak.Observer.Promise;
import org.junit.jupiter.api.Test;

/** Tests that the checks of a soak find violations, and only those. */
class ObserverTest {

  private final Observer observer = new Observer(text -> {});
  private final Instance instance = new Instance(null, "gateway-1", "", null, null, null);

  private Call begin(Route route) {
    Call call = new Call("c1", route, "key-ate", 1, 2, 6_000);
    observer.callBegins(call, "ate", instance, new Instance.Run(1), MonotonicClock.millis());
    return call;
  }

  private void execute(String customer) {
    execute(customer, MonotonicClock.millis());
  }

  private void execute(String customer, long arrivedMillis) {
    observer.executionStarts(
        new Execution(
            "r1", 1, "/", Map.of("attempt-id", "c1", "tenant", customer), "", arrivedMillis));
  }

  private void goOn(String customer) {
    observer.executionStarts(
        new Execution(
            "r2",
            1,
            "/",
            Map.of("attempt-id", "c1", "tenant", customer, "kv-from", "127.0.0.1:9/c1"),
            "",
            0));
  }

  private static Answer answer(int status, String body) {
    return new Answer(status, "c1", body, true, "");
  }

  private void assertViolated(Promise promise) {
    assertThat(observer.violations()).containsOnlyKeys(promise.name());
  }

  @Test
  void answeredCallsViolateNothing() {
    Call once = begin(Route.ONCE);
    execute("ate");
    observer.callEnds(once, answer(200, "done"));
    Call stream = begin(Route.STREAM);
    execute("ate");
    execute("ate");
    observer.callEnds(stream, answer(200, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"));
    observer.callEnds(begin(Route.ONCE), answer(503, ""));

    assertThat(observer.violations()).isEmpty();
  }

  @Test
  void executionByReplicaOfAnotherServiceIsFound() {
    observer.replicaServes("r1", true, "norte");
    begin(Route.STREAM);
    execute("ate");
    assertThat(observer.violations()).isEmpty();

    begin(Route.SAFE);
    execute("ate");

    assertViolated(Promise.ROUTE);
  }

  /** The instance is not in contact, so that what comes late is counted but violates nothing. */
  @Test
  void executionInAnEvacuatedDomainIsCountedFromItsArrivalUntilTheWithdrawal() {
    observer.replicaServes("r1", true, "norte");
    begin(Route.STREAM);
    observer.evacuated("sur");
    execute("ate");
    assertThat(observer.counts()).doesNotContainKey("atEvacuated");

    observer.evacuated("norte");
    long now = MonotonicClock.millis();
    execute("ate", now - 1_000);
    assertThat(observer.counts()).doesNotContainKey("atEvacuated");
    execute("ate", now + 1_000);
    execute("ate", now + SoakSite.EVACUATION_MILLIS + 1_000);
    observer.evacuationWithdrawn("norte");
    execute("ate", now + SoakSite.EVACUATION_MILLIS + 1_000);

    assertThat(observer.counts())
        .containsEntry("atEvacuated", 2)
        .containsEntry("atEvacuatedTooLong", 1);
    assertThat(observer.violations()).isEmpty();
  }

  private void arrive(String replica, long millis, int requests) {
    for (int i = 0; i < requests; i++) {
      observer.requestArrived(replica, "c1", millis);
    }
  }

  @Test
  void coldReplicaMayGetItsBoundInAnySecondAndMoreAfterItsColdTime() {
    begin(Route.STREAM);
    observer.replicaStartsCold("r1", MonotonicClock.millis() + 3_000);
    observer.replicaStartsCold("r2", MonotonicClock.millis() + 3_000);
    long start = MonotonicClock.millis();
    arrive("r1", start, SoakSite.COLD_BOUND);
    arrive("r2", start, SoakSite.COLD_BOUND);
    arrive("r1", start + 1_000, SoakSite.COLD_BOUND);
    arrive("r1", start + 3_000, SoakSite.COLD_BOUND + 1);
    arrive("r3", start, SoakSite.COLD_BOUND + 1);

    assertThat(observer.violations()).isEmpty();
    assertThat(observer.counts())
        .containsEntry("coldSpellsWithLoad", 2)
        .containsEntry("atCold", 3 * SoakSite.COLD_BOUND)
        .containsEntry("mostAtColdInSecond", SoakSite.COLD_BOUND);
  }

  @Test
  void requestBeyondTheBoundOfColdReplicaIsFoundWithItsSender() {
    begin(Route.STREAM);
    observer.replicaTurnsCold("r1", MonotonicClock.millis() + 500);
    observer.replicaTurnsCold("r1", MonotonicClock.millis() + 3_000);
    long start = MonotonicClock.millis();
    arrive("r1", start + 900, SoakSite.COLD_BOUND + 1);
    arrive("r1", start + 1_999, SoakSite.COLD_BOUND);
    assertThat(observer.violations()).isEmpty();
    arrive("r1", start + 1_010, 1);

    assertViolated(Promise.COLD);
    assertThat(observer.violations().get(Promise.COLD.name()).getFirst())
        .startsWith("r1, which turned cold ")
        .contains("got 9 requests within a second, 8 allowed: ", " ms gateway-1, ");
  }

  @Test
  void requestsThatAreRefusedReachReplicaAndThoseThatAreMisdirectedDoNot() throws Exception {
    List<String> arrived = new ArrayList<>();
    try (ReplicaFake replica = ReplicaFake.start("r1")) {
      replica.setArrivalListener((call, millis) -> arrived.add(call));
      request(replica, "r2", "misdirected");
      request(replica, "r1", "executed");
      replica.setBehaviour(Behaviour.REFUSE);
      request(replica, "r1", "refused");
    }

    assertThat(arrived).containsExactly("executed", "refused");
  }

  private static void request(ReplicaFake replica, String expected, String id) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + replica.address() + "/"))
            .headers("Expect-Instance", expected, "Attempt-Id", id)
            .build();
    try (HttpClient client = HttpClient.newHttpClient()) {
      client.send(request, BodyHandlers.discarding());
    }
  }

  @Test
  void secondExecutionIsFound() {
    begin(Route.ONCE);
    execute("ate");
    execute("ate");

    assertViolated(Promise.ONCE);
  }

  @Test
  void secondExecutionOfStreamThatMayNotBeResumedIsFoundUnlessItGoesOnFromItsCopy() {
    begin(Route.NOTE);
    execute("ate");
    goOn("ate");
    assertThat(observer.violations()).isEmpty();

    execute("ate");

    assertViolated(Promise.ONCE);
  }

  @Test
  void refusalAfterExecutionIsFound() {
    Call call = begin(Route.SAFE);
    execute("ate");
    observer.callEnds(call, answer(503, ""));

    assertViolated(Promise.REFUSED);
  }

  @Test
  void executionAfterRefusalIsFound() {
    observer.callEnds(begin(Route.SAFE), answer(429, ""));
    execute("ate");

    assertViolated(Promise.REFUSED);
  }

  @Test
  void incompleteOrRepeatedEventsAreFound() {
    assertThat(answer(200, "id: 1\ndata: 1\n\n").streamError(2)).isNotEmpty();
    String repeated = "id: 1\ndata: 1\n\nid: 1\ndata: 1\n\n";
    assertThat(new Answer(200, "c1", repeated, false, "").streamError(2)).isNotEmpty();
    String cutOff = "id: 1\ndata: 1\n\nid: 2\nda";
    assertThat(new Answer(200, "c1", cutOff, false, "").streamError(2)).isEmpty();
    observer.callEnds(begin(Route.NOTE), answer(200, "id: 2\ndata: 2\n\n"));

    assertViolated(Promise.STREAM);
  }

  @Test
  void otherCustomerIsFound() {
    begin(Route.SAFE);
    execute("comas");

    assertViolated(Promise.CUSTOMER);
  }

  @Test
  void answerOfAnotherCallIsFound() {
    observer.callEnds(begin(Route.SAFE), new Answer(200, "c2", "done", true, ""));

    assertViolated(Promise.ANSWER);
  }

  @Test
  void cutOffIsFoundUnlessReplicaWasFaulty() {
    Call call = begin(Route.NOTE);
    execute("ate");
    observer.callEnds(call, new Answer(200, "c1", "", false, "closed"));
    assertViolated(Promise.CUT_OFF);

    observer.replicaFaulty("r1", 0);
    observer.callEnds(call, new Answer(200, "c1", "", false, "closed"));
    assertThat(observer.violations().get(Promise.CUT_OFF.name())).hasSize(1);
  }

  @Test
  void failureOfExecutedCallIsFoundUnlessReplicaWasFaulty() {
    Call call = begin(Route.SAFE);
    observer.callEnds(call, answer(502, ""));
    assertThat(observer.violations()).isEmpty();
    execute("ate");
    observer.callEnds(call, answer(502, ""));
    assertViolated(Promise.UNANSWERED);

    observer.replicaFaulty("r1", 0);
    observer.callEnds(call, answer(502, ""));
    assertThat(observer.violations().get(Promise.UNANSWERED.name())).hasSize(1);
  }

  @Test
  void connectionIsReusedForFourFifthsOfLowestLimitThatMayBeInForce() {
    observer.configurationStored(20_000, 15_000);
    observer.configurationStored(20_000, 2_000);
    observer.configurationStored(20_000, 5_000);

    Instance.Run run = new Instance.Run(1);
    assertThat(observer.longestPauseMillis(instance, run, MonotonicClock.millis()))
        .isEqualTo(1_600);
  }

  @Test
  void sameSeedDrawsSameFaults() {
    Schedule schedule = Schedule.draw(7, 60_000, 4, 8, 10);

    assertThat(schedule.entries()).hasSizeGreaterThan(50);
    assertThat(Schedule.draw(7, 60_000, 4, 8, 10)).isEqualTo(schedule);
    assertThat(Schedule.draw(8, 60_000, 4, 8, 10)).isNotEqualTo(schedule);
  }
}
