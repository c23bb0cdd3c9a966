package org.bulrushpier.placing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.bulrushpier.Address;
import org.bulrushpier.Moment;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.call.UpstreamResponse.ReportedLoad;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.fleet.UpstreamLoad;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.RequestInterval;
import org.bulrushpier.rollout.TargetWeights;
import org.bulrushpier.rollout.WeightPreference;
import org.bulrushpier.site.Service;

/**
 * Simulated engines behind many instances, each of which places its calls with what it knows.
 *
 * <p>Not thread-safe.
 */
final class FleetSimulation {

  private static final long TICK_MILLIS = 5;
  private static final long GROUP_MILLIS = 100;
  private static final long PHASE_MILLIS = 10;

  private final Site site;
  private final Random random = new Random(5);
  private final List<EngineSimulation> engines = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private long now;

  /**
   * The size of a site.
   *
   * @param service the engines' service
   * @param tokensPerMilli the prompt tokens that an engine reads in a millisecond
   * @param exchangeMillis the interval of general load reports, in milliseconds
   * @param crossingMillis the time that data takes from one domain to another, in milliseconds
   */
  record Site(
      Service.Engines service,
      int domains,
      int instances,
      int engines,
      double tokensPerMilli,
      long exchangeMillis,
      double crossingMillis) {

    Site(
        Service.Engines service,
        int domains,
        int instances,
        int engines,
        double tokensPerMilli,
        long exchangeMillis) {
      this(service, domains, instances, engines, tokensPerMilli, exchangeMillis, 0);
    }
  }

  FleetSimulation(Site site) {
    this.site = site;
    for (int i = 0; i < site.engines; i++) {
      engines.add(
          new EngineSimulation(
              site.service.memoryTokens(), site.service.slots(), site.tokensPerMilli));
    }
    for (int i = 0; i < site.instances; i++) {
      instances.add(new Instance(i));
    }
  }

  List<Instance> instances() {
    return instances;
  }

  private String domain(int i) {
    return "d" + i % site.domains;
  }

  final class Call {
    private final int priority;
    private final PromptShape prompt;
    private final long goal;
    private final long arrivedMillis = now;
    private long firstTokenMillis = -1;
    private boolean hasCrossed;
    private Instance receiver;

    Call(int priority, PromptShape prompt, long goal) {
      this.priority = priority;
      this.prompt = prompt;
      this.goal = goal;
    }

    int priority() {
      return priority;
    }

    Instance receiver() {
      return receiver;
    }

    boolean hasCrossed() {
      return hasCrossed;
    }

    long waitMillis() {
      return firstTokenMillis - arrivedMillis;
    }

    boolean isInTime() {
      return firstTokenMillis >= 0 && waitMillis() <= goal;
    }
  }

  final class Instance {
    private final Address address;
    private final int index;
    private final PrefillRate rate = new PrefillRate();
    private final PeerLoads peers = new PeerLoads();
    private final LoadGroup group = new LoadGroup();
    private final EnginePlacement placement;
    private final PlacementQueue<Call> queue = new PlacementQueue<>();
    private final List<Replica> replicas = new ArrayList<>();
    private long sequence;
    private int nextId;

    Instance(int index) {
      this.index = index;
      this.address = new Address("10.0.0." + index, 1);
      placement =
          EnginePlacement.of(domain(index), rate, peers, group, FetchBound.NONE, new Random(index));
      for (int i = 0; i < site.engines; i++) {
        replicas.add(Engines.engine("e" + i, domain(i)));
      }
    }

    void arrive(Call call) {
      calls.add(call);
      call.receiver = this;
      if (queue.isAhead(call.priority) && queue.isFull("c", call.priority, call.goal, now)) {
        return;
      }
      if (queue.isAhead(call.priority) || !place(call)) {
        queue.add(call, "c", 1, call.priority, call.goal, now);
      }
    }

    void tick() {
      peers.expire(now);
      queue.removeExpired(now);
      while (queue.head().isPresent() && place(queue.head().get())) {
        queue.placed(queue.head().get(), now);
      }
    }

    private boolean place(Call call) {
      Placement placed =
          placement.choose(
              call.prompt,
              version -> "s",
              site.service,
              replicas.stream().filter(replica -> replica.isUsable(now)).toList(),
              WeightPreference.of(
                  new TargetWeights.TargetVersion(1, RequestInterval.at(new Moment(0, 0))),
                  new Moment(0, 0),
                  8_000),
              List.of(),
              Set.of(),
              call.priority,
              call.goal,
              call.arrivedMillis + 5_000 - now,
              now);
      if (placed instanceof Placement.Send send) {
        send(call, send);
      }
      return !(placed instanceof Placement.Wait);
    }

    private void send(Call call, Placement.Send send) {
      Replica replica = send.replica();
      int at = replicas.indexOf(replica);
      EngineSimulation engine = engines.get(at);
      call.hasCrossed = !replica.entry().domain().equals(domain(index));
      long wayMillis = call.hasCrossed ? Math.round(2 * site.crossingMillis) : 0;
      String id = "r" + nextId++;
      long sentMillis = now;
      Replica.InFlightRequest request =
          new Replica.InFlightRequest(
              call.priority,
              send.cache().prefillTokens(),
              call.prompt.totalTokens(),
              0,
              now,
              now + 2 * call.goal);
      replica.begin(id, request);
      engine.submit(
          new EngineSimulation.Run(
              call.priority,
              call.prompt.parts(),
              call.prompt.maxOutputTokens(),
              () -> {
                call.firstTokenMillis = now + wayMillis;
                request.markStarted(now);
                replica.recordActivity(now);
                replica.recordLoad(
                    new ReportedLoad(
                        engine.runningRequests(), engine.waitingRequests(), site.service.slots()),
                    now);
                if (send.isAlone()) {
                  rate.sample(
                      send.cache().prefillTokens(),
                      Math.max(1, call.firstTokenMillis - sentMillis));
                }
              },
              () -> replica.end(id)));
    }

    /** Forms the group of this instance out of all instances. */
    void join() {
      List<Address> inDomain =
          instances.stream()
              .filter(other -> domain(other.index).equals(domain(index)))
              .map(other -> other.address)
              .toList();
      List<String> ids =
          replicas.stream()
              .filter(replica -> replica.entry().domain().equals(domain(index)))
              .map(replica -> replica.entry().id())
              .toList();
      group.update(address, instances.size(), inDomain, Map.of("engines", ids));
    }

    List<Instance> groupMembers() {
      return instances.stream().filter(i -> group.members().contains(i.address)).toList();
    }

    LoadGroup group() {
      return group;
    }

    List<Replica> replicas() {
      return replicas;
    }

    void report(List<Instance> receivers) {
      List<UpstreamLoad> loads = new ArrayList<>();
      for (Replica replica : replicas) {
        if (replica.ownRequests() > 0) {
          loads.add(replica.ownLoad());
        }
      }
      FleetMessage.Load load = new FleetMessage.Load(1, ++sequence, loads, domain(index));
      for (Instance other : receivers) {
        if (other != this) {
          other.peers.record(address.toString(), load, now);
        }
      }
    }
  }

  /** Creates a call whose prompt is in no cache. */
  Call call(int priority, int tokens, int output, long goalMillis) {
    List<PromptPart> parts = List.of(new PromptPart("o" + random.nextLong(), tokens));
    PromptShape prompt = new PromptShape("m", tokens, output, output, parts);
    return new Call(priority, prompt, goalMillis);
  }

  /** Plays arrivals at instances chosen at random. */
  void play(long untilMillis, double callsPerSecond, Supplier<Call> nextCall) {
    play(untilMillis, callsPerSecond, nextCall, instances);
  }

  /** Plays arrivals at some of the instances, chosen at random. */
  void play(
      long untilMillis, double callsPerSecond, Supplier<Call> nextCall, List<Instance> receivers) {
    double credit = 0;
    while (now < untilMillis) {
      credit += callsPerSecond * TICK_MILLIS / 1_000;
      for (; credit >= 1; credit--) {
        receivers.get(random.nextInt(receivers.size())).arrive(nextCall.get());
      }
      for (Instance instance : instances) {
        long phase = now + instance.index * PHASE_MILLIS;
        if (phase % site.exchangeMillis == 0) {
          instance.report(instances);
        } else if (phase % GROUP_MILLIS == 0) {
          instance.report(instance.groupMembers());
        }
      }
      now += TICK_MILLIS;
      engines.forEach(engine -> engine.advanceTo(now));
      instances.forEach(Instance::tick);
    }
  }

  /** Returns the instances of a failure domain. */
  List<Instance> instancesIn(int domain) {
    return instances.stream().filter(i -> i.index % site.domains == domain).toList();
  }

  /** Returns the share of the calls that got their first token in time. */
  double shareInTime(long fromMillis, long untilMillis, Predicate<Call> selected) {
    List<Call> arrived = arrived(fromMillis, untilMillis, selected);
    return arrived.stream().filter(Call::isInTime).count() / (double) arrived.size();
  }

  /** Returns the share of the calls that were sent to engines in other domains. */
  double shareCrossed(long fromMillis, long untilMillis) {
    List<Call> arrived = arrived(fromMillis, untilMillis, call -> call.firstTokenMillis >= 0);
    return arrived.stream().filter(Call::hasCrossed).count() / (double) arrived.size();
  }

  /** Returns the time to the first token that a share of the calls does not exceed, in ms. */
  long firstTokenMillis(double share, long fromMillis, long untilMillis, Predicate<Call> selected) {
    List<Long> times =
        arrived(fromMillis, untilMillis, selected).stream()
            .map(call -> call.firstTokenMillis < 0 ? Long.MAX_VALUE : call.waitMillis())
            .sorted()
            .toList();
    return times.get((int) (share * (times.size() - 1)));
  }

  private List<Call> arrived(long fromMillis, long untilMillis, Predicate<Call> selected) {
    return calls.stream()
        .filter(selected)
        .filter(call -> call.arrivedMillis >= fromMillis && call.arrivedMillis < untilMillis)
        .toList();
  }
}
