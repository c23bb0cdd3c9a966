package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.bulrushpier.Address;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.fleet.UpstreamLoad;
import org.bulrushpier.replica.Replica;
import org.junit.jupiter.api.Test;

/**
 * Plays short calls from many instances, which hear from each other once a second, to the few
 * replicas of a plain service, and checks what callers get. If all instances send to the replica
 * that looked idle in the last reports, its queue fills while others are idle; the heavier the
 * load, the longer.
 */
class PlainManyInstancesTest {

  private static final int DOMAINS = 3;
  private static final int INSTANCES = 84;
  private static final int FEW_INSTANCES = 26;
  private static final int REPLICAS = 4;
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;
  private static final double MEAN_WORK_MILLIS = 68;
  private static final double CAPACITY_PER_MILLI = REPLICAS * SLOTS / MEAN_WORK_MILLIS;
  private static final long PHASE_MILLIS = 10;
  private static final long GOAL_MILLIS = 300;

  private final Random random = new Random(11);
  private final List<Server> servers = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private long exchangeMillis = 1_000;
  private long now;
  private int calls;
  private int inTime;
  private int shed;
  private int crossed;

  PlainManyInstancesTest() {
    for (int i = 0; i < REPLICAS; i++) {
      servers.add(new Server());
    }
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance(i));
    }
  }

  private record Call(Instance instance, Replica replica, String id, long sentMillis) {}

  private record Running(Call call, double endMillis) {}

  /** A replica that runs a few calls and queues some more. */
  private final class Server {
    private final PriorityQueue<Running> running =
        new PriorityQueue<>((a, b) -> Double.compare(a.endMillis, b.endMillis));
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();

    private boolean isDead;

    boolean accept(Call call) {
      if (isDead) {
        return false;
      } else if (running.size() < SLOTS) {
        start(call, now);
      } else if (waiting.size() < QUEUE) {
        waiting.add(call);
      } else {
        return false;
      }
      return true;
    }

    private void start(Call call, double millis) {
      double work = MEAN_WORK_MILLIS * (0.4 + 0.6 * random.nextExponential());
      running.add(new Running(call, millis + work));
    }

    void die() {
      isDead = true;
      running.forEach(ended -> ended.call.replica.end(ended.call.id));
      waiting.forEach(call -> call.replica.end(call.id));
      running.clear();
      waiting.clear();
    }

    void advance() {
      while (!running.isEmpty() && running.peek().endMillis <= now) {
        Running ended = running.poll();
        Call call = ended.call;
        if (!waiting.isEmpty()) {
          start(waiting.poll(), ended.endMillis);
        }
        call.replica.recordLoad(new ReportedLoad(running.size(), waiting.size(), SLOTS), now);
        call.replica.end(call.id);
        call.replica.recordOutcome(false, now);
        if (now - call.sentMillis <= GOAL_MILLIS) {
          inTime++;
        }
      }
    }
  }

  private final class Instance {
    private final Address address;
    private final int index;
    private final PeerLoads peers = new PeerLoads();
    private final LoadGroup group = new LoadGroup();
    private final PlainPlacement placement;
    private final List<Replica> replicas = new ArrayList<>();
    private long sequence;

    Instance(int index) {
      this.index = index;
      address = new Address("10.0.0." + index, 1);
      placement = PlainPlacement.of("d" + index % DOMAINS, peers, group, new Random(index));
      for (int i = 0; i < REPLICAS; i++) {
        replicas.add(Engines.engine("p" + i, "d" + i % DOMAINS, SLOTS));
      }
    }

    void arrive(String id) {
      calls++;
      send(id);
    }

    private void send(String id) {
      List<Replica> usable = replicas.stream().filter(replica -> replica.isUsable(now)).toList();
      Replica replica = ((Placement.Send) placement.choose(usable, Set.of(), now)).replica();
      Server server = servers.get(replicas.indexOf(replica));
      if (server.accept(new Call(this, replica, id, now))) {
        if (!replica.entry().domain().equals("d" + index % DOMAINS)) {
          crossed++;
        }
        replica.begin(id, new Replica.InFlightRequest(0, 0, 0, 0, now, now + 2 * GOAL_MILLIS));
      } else if (server.isDead) {
        replica.breaker().failed(now);
        send(id);
      } else {
        shed++;
        replica.recordOutcome(true, now);
      }
    }

    void report() {
      List<UpstreamLoad> loads = new ArrayList<>();
      for (Replica replica : replicas) {
        if (replica.ownRequests() > 0) {
          loads.add(replica.ownLoad());
        }
      }
      FleetMessage.Load load = new FleetMessage.Load(1, ++sequence, loads, "");
      instances.stream()
          .filter(other -> other != this)
          .forEach(other -> other.peers.record(address.toString(), load, now));
    }
  }

  private void play(double shareOfCapacity, long untilMillis) {
    play(shareOfCapacity, untilMillis, instances);
  }

  private void play(double shareOfCapacity, long untilMillis, List<Instance> receivers) {
    double callsPerMilli = shareOfCapacity * CAPACITY_PER_MILLI;
    double next = now;
    while (now < untilMillis) {
      now++;
      servers.forEach(Server::advance);
      for (; next <= now; next += random.nextExponential() / callsPerMilli) {
        receivers.get(random.nextInt(receivers.size())).arrive("c" + calls);
      }
      for (Instance instance : instances) {
        if ((now + instance.index * PHASE_MILLIS) % exchangeMillis == 0) {
          instance.report();
        }
        if (now % exchangeMillis == 0) {
          instance.peers.expire(now);
        }
      }
    }
  }

  private void groupInstances() {
    instances.forEach(
        instance ->
            instance.group.update(
                instance.address, INSTANCES, List.of(instance.address), Map.of()));
  }

  /** Keeps so few instances that each knows the load of the others as of a moment ago. */
  private void keepFewInstances() {
    instances.removeIf(instance -> instance.index >= FEW_INSTANCES);
    exchangeMillis = new LoadGroup().generalIntervalMillis(FEW_INSTANCES - 1);
  }

  private List<Instance> instancesInFirstDomain() {
    return instances.stream().filter(instance -> instance.index % DOMAINS == 0).toList();
  }

  @Test
  void callsAreSpreadOverAllReplicas() {
    groupInstances();
    play(0.57, 20_000);

    assertThat(inTime).isGreaterThan((int) (0.97 * calls));
    assertThat(shed).isLessThan(calls / 200);
  }

  /** One replica shed calls while the next had idle slots, until the next reports. */
  @Test
  void heavyLoadIsSpreadOverAllReplicas() {
    groupInstances();
    play(0.9, 20_000);

    assertThat(inTime).isGreaterThan((int) (0.9 * calls));
    assertThat(shed).isLessThan(calls / 100);
  }

  @Test
  void loadOfReplicaThatDiedIsSpreadOverTheOthers() {
    groupInstances();
    play(0.65, 8_000);
    servers.get(0).die();
    play(0.65, 20_000);

    assertThat(inTime).isGreaterThan((int) (0.95 * calls));
    assertThat(shed).isLessThan(calls / 100);
  }

  /** The domain into which the callers move has two of the replicas. */
  @Test
  void callersThatMovedUseAllReplicas() {
    groupInstances();
    play(0.75, 8_000);
    play(0.75, 20_000, instancesInFirstDomain());

    assertThat(inTime).isGreaterThan((int) (0.95 * calls));
    assertThat(shed).isLessThan(calls / 100);
  }

  @Test
  void callersThatMovedUseAllReplicasThatAreLeft() {
    groupInstances();
    play(0.65, 8_000);
    servers.get(0).die();
    play(0.65, 20_000, instancesInFirstDomain());

    assertThat(inTime).isGreaterThan((int) (0.95 * calls));
    assertThat(shed).isLessThan(calls / 100);
  }

  @Test
  void callersThatMovedUseAllReplicasThatAreLeftWhereInstancesAreFew() {
    keepFewInstances();
    play(0.65, 8_000);
    servers.get(0).die();
    play(0.65, 20_000, instancesInFirstDomain());

    assertThat(inTime).isGreaterThan((int) (0.95 * calls));
    assertThat(shed).isLessThan(calls / 100);
  }

  /** A call that crosses takes milliseconds longer, one that waits for a slot much longer. */
  @Test
  void callsCrossOnlyWhereTheOwnDomainIsBusierWhereInstancesAreFew() {
    keepFewInstances();
    play(0.05, 5_000, instancesInFirstDomain());
    assertThat(crossed).isLessThan(calls / 4);

    play(0.75, 20_000, instancesInFirstDomain());
    assertThat(crossed).isBetween((int) (0.4 * calls), (int) (0.6 * calls));
    assertThat(inTime).isGreaterThan((int) (0.97 * calls));
  }
}
