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
 * that looked idle in the last reports, its queue fills while others are idle.
 */
class PlainManyInstancesTest {

  private static final int DOMAINS = 3;
  private static final int INSTANCES = 84;
  private static final int REPLICAS = 4;
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;
  private static final double MEAN_WORK_MILLIS = 68;
  private static final double CALLS_PER_MILLI = 0.2;
  private static final long EXCHANGE_MILLIS = 1_000;
  private static final long PHASE_MILLIS = 10;
  private static final long GOAL_MILLIS = 300;

  private final Random random = new Random(11);
  private final List<Server> servers = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private long now;
  private int calls;
  private int inTime;
  private int shed;

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

    boolean accept(Call call) {
      if (running.size() < SLOTS) {
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

    void advance() {
      while (!running.isEmpty() && running.peek().endMillis <= now) {
        Running ended = running.poll();
        Call call = ended.call;
        if (!waiting.isEmpty()) {
          start(waiting.poll(), ended.endMillis);
        }
        call.replica.recordLoad(new ReportedLoad(running.size(), waiting.size(), SLOTS), now);
        call.replica.end(call.id);
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
      Replica replica = ((Placement.Send) placement.choose(replicas, Set.of(), now)).replica();
      Call call = new Call(this, replica, id, now);
      if (servers.get(replicas.indexOf(replica)).accept(call)) {
        replica.begin(id, new Replica.InFlightRequest(0, 0, 0, 0, now, now + 2 * GOAL_MILLIS));
      } else {
        shed++;
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

  private void play(long untilMillis) {
    double next = 0;
    while (now < untilMillis) {
      now++;
      servers.forEach(Server::advance);
      for (; next <= now; next += random.nextExponential() / CALLS_PER_MILLI) {
        instances.get(random.nextInt(INSTANCES)).arrive("c" + calls);
      }
      for (Instance instance : instances) {
        if ((now + instance.index * PHASE_MILLIS) % EXCHANGE_MILLIS == 0) {
          instance.report();
        }
        if (now % EXCHANGE_MILLIS == 0) {
          instance.peers.expire(now);
        }
      }
    }
  }

  @Test
  void callsAreSpreadOverAllReplicas() {
    instances.forEach(
        instance ->
            instance.group.update(
                instance.address, INSTANCES, List.of(instance.address), Map.of()));
    play(20_000);

    assertThat(inTime).isGreaterThan((int) (0.97 * calls));
    assertThat(shed).isLessThan(calls / 200);
  }
}
