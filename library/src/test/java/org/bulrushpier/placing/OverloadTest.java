package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.bulrushpier.Moment;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.fleet.UpstreamLoad;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.RequestInterval;
import org.bulrushpier.rollout.TargetWeights;
import org.bulrushpier.rollout.WeightPreference;
import org.bulrushpier.site.Service;
import org.junit.jupiter.api.Test;

/**
 * Plays load against simulated engines and checks what callers get. Running requests and cached
 * parts share the engines' memory, so the same load is light while caches are warm and too heavy
 * once a queue in the engines has displaced them. A short crest must not lead to that state, and
 * neither must the loss of all cached parts, from which the caches have to refill under load.
 */
class OverloadTest {

  private static final int INSTANCES = 4;
  private static final int ENGINES = 6;
  private static final int SLOTS = 64;
  private static final long MEMORY_TOKENS = 169_000;
  private static final int LONG_SESSIONS = 60;
  private static final int SHORT_SESSIONS = 300;
  private static final long GOAL_MILLIS = 600;
  private static final long DEADLINE_MILLIS = 15_000;
  private static final long TICK_MILLIS = 10;
  private static final long EXCHANGE_MILLIS = 100;
  private static final long RECOVERY_MILLIS = 4_000;
  private static final double BACK_SHARE = 0.9;

  private final Service.Engines service =
      new Service.Engines(
          "engines",
          300,
          SLOTS,
          MEMORY_TOKENS,
          35_000,
          740_000,
          true,
          false,
          List.of("m"),
          Service.ColdStart.NONE);
  private final Random random = new Random(5);
  private final List<EngineSimulation> engines = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private long now;
  private int longPriority = 1;

  OverloadTest() {
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new EngineSimulation(MEMORY_TOKENS, SLOTS));
    }
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance("10.0.0." + i + ":1"));
    }
  }

  /** A call of a caller, placed by one instance. */
  private final class Call {
    private final int priority;
    private final PromptShape prompt;
    private final long arrivedMillis;
    private long firstTokenMillis = -1;
    private long refusedMillis = -1;

    Call(int priority, PromptShape prompt) {
      this.priority = priority;
      this.prompt = prompt;
      this.arrivedMillis = now;
    }

    boolean isInTime() {
      return firstTokenMillis >= 0 && firstTokenMillis - arrivedMillis <= GOAL_MILLIS;
    }
  }

  /** One instance with beliefs of its own about the engines. */
  private final class Instance {
    private final String address;
    private final PrefillRate rate = new PrefillRate();
    private final PeerLoads peers = new PeerLoads();
    private final EnginePlacement placement = EnginePlacement.of("norte", rate, peers);
    private final PlacementQueue<Call> queue = new PlacementQueue<>();
    private final List<Replica> replicas = new ArrayList<>();
    private long sequence;
    private int nextId;

    Instance(String address) {
      this.address = address;
      for (int i = 0; i < ENGINES; i++) {
        replicas.add(Engines.engine("e" + i, "norte"));
      }
    }

    void arrive(Call call) {
      calls.add(call);
      if (queue.isAhead(call.priority) && queue.isFull("c", call.priority, GOAL_MILLIS, now)) {
        call.refusedMillis = now;
      } else if (queue.isAhead(call.priority) || !place(call)) {
        queue.add(call, "c", 1, call.priority, GOAL_MILLIS, now);
      }
    }

    void tick() {
      queue.removeExpired(now).forEach(call -> call.refusedMillis = now);
      while (queue.head().isPresent() && place(queue.head().get())) {
        queue.placed(queue.head().get(), now);
      }
    }

    /** Returns whether the call has been placed or refused. */
    private boolean place(Call call) {
      Placement placed =
          placement.choose(
              call.prompt,
              version -> "s",
              service,
              replicas,
              WeightPreference.of(
                  new TargetWeights.TargetVersion(1, RequestInterval.at(new Moment(0, 0))),
                  new Moment(0, 0),
                  8_000),
              List.of(),
              Set.of(),
              call.priority,
              GOAL_MILLIS,
              call.arrivedMillis + DEADLINE_MILLIS - now,
              now);
      if (placed instanceof Placement.Send send) {
        send(call, send);
      } else if (placed instanceof Placement.Refuse) {
        call.refusedMillis = now;
      }
      return !(placed instanceof Placement.Wait);
    }

    private void send(Call call, Placement.Send send) {
      Replica replica = send.replica();
      EngineSimulation engine = engines.get(replicas.indexOf(replica));
      String id = "r" + nextId++;
      long sent = now;
      Replica.InFlightRequest request =
          new Replica.InFlightRequest(
              call.priority,
              send.cache().prefillTokens(),
              call.prompt.totalTokens(),
              0,
              now,
              now + 2 * GOAL_MILLIS);
      replica.begin(id, request);
      replica.parts().add("s", call.prompt.parts(), MEMORY_TOKENS);
      engine.submit(
          new EngineSimulation.Run(
              call.priority,
              call.prompt.parts(),
              call.prompt.maxOutputTokens(),
              () -> {
                call.firstTokenMillis = now;
                request.markStarted(now);
                replica.recordActivity(now);
                replica.recordLoad(
                    new ReportedLoad(engine.runningRequests(), engine.waitingRequests(), SLOTS),
                    now);
                if (send.isAlone()) {
                  rate.sample(send.cache().prefillTokens(), Math.max(1, now - sent));
                }
              },
              () -> replica.end(id)));
    }

    void exchange() {
      List<UpstreamLoad> loads = new ArrayList<>();
      replicas.forEach(replica -> loads.add(replica.ownLoad()));
      FleetMessage.Load load = new FleetMessage.Load(1, ++sequence, loads, "norte");
      for (Instance other : instances) {
        if (other != this) {
          other.peers.record(address, load, now);
        }
      }
    }
  }

  private PromptShape prompt(String session, int shared, int own, int output) {
    return new PromptShape(
        "m",
        shared + own,
        output,
        output,
        List.of(new PromptPart(session, shared), new PromptPart("o" + random.nextLong(), own)));
  }

  private Call nextCall() {
    if (random.nextInt(100) < 23) {
      String session = "long" + random.nextInt(LONG_SESSIONS);
      return new Call(longPriority, prompt(session, 9_000, 1_500 + random.nextInt(2_800), 384));
    }
    if (random.nextInt(77) < 32) {
      String session = "short" + random.nextInt(SHORT_SESSIONS);
      return new Call(0, prompt(session, 650, 100 + random.nextInt(160), 290));
    }
    return new Call(0, prompt("tag" + random.nextInt(SHORT_SESSIONS), 1_800, 500, 24));
  }

  private void play(long untilMillis, double callsPerSecond) {
    double credit = 0;
    while (now < untilMillis) {
      credit += callsPerSecond * TICK_MILLIS / 1_000;
      for (; credit >= 1; credit--) {
        instances.get(random.nextInt(INSTANCES)).arrive(nextCall());
      }
      if (now % EXCHANGE_MILLIS == 0) {
        instances.forEach(Instance::exchange);
      }
      now += TICK_MILLIS;
      engines.forEach(engine -> engine.advanceTo(now));
      instances.forEach(Instance::tick);
    }
  }

  private double shareInTime(long fromMillis, long untilMillis) {
    List<Call> arrived =
        calls.stream()
            .filter(c -> c.arrivedMillis >= fromMillis && c.arrivedMillis < untilMillis)
            .toList();
    return arrived.stream().filter(Call::isInTime).count() / (double) arrived.size();
  }

  private double shareOf(boolean isLong, java.util.function.Predicate<Call> condition) {
    List<Call> ofKind =
        calls.stream().filter(c -> c.prompt.inputTokens() > 5_000 == isLong).toList();
    return ofKind.stream().filter(condition).count() / (double) ofKind.size();
  }

  @Test
  void crestDoesNotOutliveItself() {
    play(10_000, 80);
    play(14_000, 160);
    play(18_000, 80);
    final double calm = shareInTime(5_000, 10_000);
    play(26_000, 80);

    assertThat(calm).isGreaterThan(0.95);
    assertThat(shareInTime(18_000, 26_000)).isGreaterThan(BACK_SHARE * calm);
  }

  @Test
  void cachesRefillUnderLoad() {
    play(10_000, 90);
    final double calm = shareInTime(5_000, 10_000);
    engines.forEach(EngineSimulation::dropCache);
    instances.forEach(i -> i.replicas.forEach(replica -> replica.parts().clear()));
    play(10_000 + RECOVERY_MILLIS, 90);
    play(20_000, 90);

    assertThat(shareInTime(10_000 + RECOVERY_MILLIS, 20_000)).isGreaterThan(BACK_SHARE * calm);
  }

  @Test
  void callsAreRefusedAtOnceInSustainedOverload() {
    play(5_000, 80);
    play(25_000, 300);
    List<Long> heldMillis =
        calls.stream()
            .filter(call -> call.arrivedMillis > 10_000 && call.refusedMillis >= 0)
            .map(call -> call.refusedMillis - call.arrivedMillis)
            .toList();

    assertThat(heldMillis).hasSizeGreaterThan(1_000);
    assertThat(heldMillis.stream().filter(held -> held > GOAL_MILLIS / 8).count())
        .isLessThan(heldMillis.size() / 2);
    assertThat(shareInTime(10_000, 25_000)).isGreaterThan(0.3);
  }

  /** Long prompts need more memory, but are not the only ones to be refused. */
  @Test
  void equallyUrgentRequestsShareSustainedOverload() {
    longPriority = 0;
    play(5_000, 80);
    play(25_000, 190);

    assertThat(shareInTime(10_000, 25_000)).isGreaterThan(0.4);
    assertThat(shareOf(true, call -> call.firstTokenMillis >= 0))
        .isGreaterThan(0.5 * shareOf(false, call -> call.firstTokenMillis >= 0));
  }
}
