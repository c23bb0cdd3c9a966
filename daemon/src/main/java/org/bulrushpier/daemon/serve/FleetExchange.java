package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushpier.Address;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.fleet.FleetMessage;
import org.bulrushpier.fleet.LoadGroup;
import org.bulrushpier.fleet.Membership;
import org.bulrushpier.fleet.PaceReport;
import org.bulrushpier.fleet.PeerLoads;
import org.bulrushpier.fleet.UpstreamLoad;
import org.bulrushpier.fleet.WeightAge;
import org.bulrushpier.poison.CrashKnowledge;
import org.bulrushpier.replica.Replica;

/**
 * Exchanges load reports, lists of instances, the ages of requested weight versions and crashes of
 * engines with the other instances of the site.
 *
 * <p>Uses datagrams: a report is obsolete after a fraction of a second, so a lost one is not worth
 * a retransmission, and an unreachable instance cannot hold up the others. The interval grows with
 * the number of instances, which bounds the datagrams that each instance handles per second. At a
 * large site the few members of a {@link LoadGroup} get reports more often.
 *
 * <p>Thread-safe: datagrams are received on a thread of their own and applied with the loop's lock
 * held; everything else is guarded by that lock.
 */
final class FleetExchange {

  /** Interval of the exchange of lists, in milliseconds. */
  private static final long MEMBERS_INTERVAL_MILLIS = 1_000;

  /** Interval of the exchange of lists until another instance has been found, in milliseconds. */
  private static final long SEARCH_INTERVAL_MILLIS = 200;

  /** The largest datagram that is received, in bytes. */
  private static final int MAX_BYTES = 16 * 1_024;

  /** The most upstreams in one report, which keeps it within a datagram. */
  private static final int MAX_UPSTREAMS = 200;

  /** The number of instances that get the same question. */
  private static final int MAX_ASKED = 3;

  /** How long the receiving thread may take to leave the closed socket, in milliseconds. */
  private static final long STOP_MILLIS = 1_000;

  private final GatewayContext context;
  private final Address self;
  private final EventLoop loop;
  private final EventLog log;
  private final Membership membership;
  private final PeerLoads peerLoads;
  private final CrashGossip gossip = new CrashGossip();
  private final DatagramChannel channel;
  private final Thread receiver = new Thread(this::receiveAll, "fleet");
  private final long startMillis = System.currentTimeMillis();
  private long sequence;
  private long lastLoadMillis = Long.MIN_VALUE / 2;
  private long lastGroupMillis = Long.MIN_VALUE / 2;
  private long lastMembersMillis = Long.MIN_VALUE / 2;
  private List<UpstreamLoad> reported = List.of();
  private boolean wasIdle;
  private int loggedInstances = 1;

  private FleetExchange(
      GatewayContext context, Address self, Membership membership, DatagramChannel channel) {
    this.context = context;
    this.self = self;
    this.loop = context.loop();
    this.log = context.log();
    this.membership = membership;
    this.peerLoads = context.peerLoads();
    this.channel = channel;
  }

  /**
   * Starts the exchange.
   *
   * @param address the address of this instance for datagrams
   * @param context the state of the gateway
   * @return the running exchange
   * @throws IOException if the address cannot be bound
   */
  static FleetExchange start(Address address, GatewayContext context) throws IOException {
    DatagramChannel channel = DatagramChannel.open();
    channel.bind(new InetSocketAddress(address.host(), address.port()));
    FleetExchange exchange =
        new FleetExchange(
            context, address, Membership.of(address, context.settings().seeds()), channel);
    context.poison().turn(exchange::turn);
    context.cold().places(exchange.membership::place);
    context.paces().places(exchange.membership::place);
    exchange.receiver.setDaemon(true);
    exchange.receiver.start();
    return exchange;
  }

  /** Replaces the instances to contact first. */
  void seeds(Collection<Address> seeds) {
    membership.seeds(seeds);
  }

  /**
   * Closes the socket, which also ends the receiving thread. The address is in use until that
   * thread has left the socket. Must not be called with the loop's lock held.
   */
  void stop() {
    try {
      channel.close();
      receiver.join(STOP_MILLIS);
    } catch (IOException e) {
      log.event("datagram-socket-not-closed", "detail", e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends what is due; called at each tick of the gateway. */
  void tick(long nowMillis) {
    peerLoads.expire(nowMillis);
    reportLoad(nowMillis);
    reportToGroup(nowMillis);
    exchangeMembers(nowMillis);
    askForWeights(nowMillis);
    if (gossip.isDue(context.poison().changes(), nowMillis)) {
      tellCrashes(gossip.receivers(membership.contacts(nowMillis)));
    }
  }

  /** Returns the live instances of this instance's failure domain, this one included. */
  List<Address> liveInDomain(long nowMillis) {
    return membership.liveInDomain(context.settings().domain(), nowMillis);
  }

  /** Returns whether all instances of which this one knows are heard from. */
  boolean isComplete(long nowMillis) {
    return membership.isComplete(nowMillis);
  }

  /**
   * Returns the number of live instances that come before this one in an order that varies by key.
   */
  private int turn(String key) {
    return membership.turn(key, MonotonicClock.millis());
  }

  private void tellCrashes(List<Address> receivers) {
    CrashKnowledge knowledge = context.poison().knowledge();
    if (!knowledge.isEmpty()) {
      byte[] bytes = Codec.messagePack().write(new FleetMessage.Crashes(knowledge));
      receivers.forEach(receiver -> send(receiver, bytes));
    }
  }

  private void reportLoad(long nowMillis) {
    long sinceLast = nowMillis - lastLoadMillis;
    if (sinceLast < LoadGroup.MIN_INTERVAL_MILLIS) {
      return;
    }
    List<Address> contacts = membership.contacts(nowMillis);
    if (sinceLast >= context.loadGroup().generalIntervalMillis(contacts.size())) {
      sendLoad(contacts, nowMillis);
    }
  }

  private void exchangeMembers(long nowMillis) {
    int instances = membership.liveInstances(nowMillis);
    context.recordInstances(instances);
    long membersInterval = instances > 1 ? MEMBERS_INTERVAL_MILLIS : SEARCH_INTERVAL_MILLIS;
    if (nowMillis - lastMembersMillis >= membersInterval) {
      lastMembersMillis = nowMillis;
      membership.expire(nowMillis);
      membership
          .nextPartner(ThreadLocalRandom.current())
          .ifPresent(
              partner -> {
                sendMembers(partner, true, nowMillis);
                tellCrashes(List.of(partner));
              });
      if (instances != loggedInstances) {
        log.event("fleet", "instances", instances, "before", loggedInstances);
        loggedInstances = instances;
      }
      updateGroup(instances, nowMillis);
    }
  }

  private void updateGroup(int instances, long nowMillis) {
    String domain = context.settings().domain();
    Map<String, List<String>> engines = new HashMap<>();
    for (Replica replica : context.replicas().all()) {
      if (replica.entry().domain().equals(domain) && !replica.isLeaving()) {
        engines
            .computeIfAbsent(replica.entry().service(), service -> new ArrayList<>())
            .add(replica.entry().id());
      }
    }
    LoadGroup group = context.loadGroup();
    if (group.update(self, instances, membership.liveInDomain(domain, nowMillis), engines)) {
      log.event("load-group", "members", group.members().size(), "engines", group.engines());
    }
  }

  private void askForWeights(long nowMillis) {
    Optional<FleetMessage.WeightQuestion> question =
        context
            .weightInquiry()
            .nextQuestion(Moment.now(), context.settings().weightsChangeMillis());
    if (question.isPresent()) {
      List<Address> contacts = new ArrayList<>(membership.contacts(nowMillis));
      Collections.shuffle(contacts);
      byte[] bytes = Codec.messagePack().write(question.get());
      contacts.stream().limit(MAX_ASKED).forEach(contact -> send(contact, bytes));
    }
  }

  private void weightsTold(Address sender, FleetMessage.WeightAnswer answer) {
    for (WeightAge age : context.weightInquiry().apply(answer, Moment.now())) {
      log.event(
          "weights-dated",
          "id",
          age.model(),
          "detail",
          age.version(),
          "from",
          sender,
          "maxAgeMs",
          age.maxMillis(),
          "minAgeMs",
          age.minMillis());
    }
  }

  private void sendLoad(List<Address> contacts, long nowMillis) {
    List<UpstreamLoad> upstreams = ownLoads();
    boolean isIdle = upstreams.isEmpty();
    if (isIdle && wasIdle && nowMillis - lastLoadMillis < LoadGroup.MAX_INTERVAL_MILLIS) {
      return;
    }
    wasIdle = isIdle;
    lastLoadMillis = nowMillis;
    tellPaces(contacts);
    sendLoads(upstreams, contacts, nowMillis);
  }

  /** Tells the own group at once what has changed, as its members share engines. */
  private void reportToGroup(long nowMillis) {
    LoadGroup group = context.loadGroup();
    if (!group.isInForce() || nowMillis - lastGroupMillis < LoadGroup.MIN_INTERVAL_MILLIS) {
      return;
    }
    List<UpstreamLoad> upstreams = ownLoads();
    if (!upstreams.equals(reported)) {
      sendLoads(upstreams, group.members(), nowMillis);
    }
  }

  private List<UpstreamLoad> ownLoads() {
    List<UpstreamLoad> upstreams = new ArrayList<>();
    List<UpstreamLoad> onlyCopies = new ArrayList<>();
    for (Replica replica : context.replicas().all()) {
      if (replica.ownRequests() > 0) {
        upstreams.add(replica.ownLoad());
      } else if (replica.hasCopies()) {
        onlyCopies.add(replica.ownLoad());
      }
    }
    upstreams.addAll(onlyCopies);
    return upstreams.size() > MAX_UPSTREAMS
        ? List.copyOf(upstreams.subList(0, MAX_UPSTREAMS))
        : upstreams;
  }

  private void sendLoads(
      List<UpstreamLoad> upstreams, Collection<Address> receivers, long nowMillis) {
    lastGroupMillis = nowMillis;
    reported = upstreams;
    String domain = context.settings().domain();
    byte[] bytes =
        Codec.messagePack()
            .write(new FleetMessage.Load(startMillis, ++sequence, upstreams, domain));
    receivers.forEach(receiver -> send(receiver, bytes));
  }

  private void tellPaces(List<Address> contacts) {
    List<PaceReport> reports = context.paces().reports();
    if (!reports.isEmpty()) {
      byte[] bytes = Codec.messagePack().write(new FleetMessage.Paces(reports));
      contacts.forEach(contact -> send(contact, bytes));
    }
  }

  private void sendMembers(Address to, boolean isReplyExpected, long nowMillis) {
    List<String> addresses = membership.liveAddresses(nowMillis, ThreadLocalRandom.current());
    send(to, Codec.messagePack().write(new FleetMessage.Members(isReplyExpected, addresses)));
  }

  private void send(Address to, byte[] bytes) {
    try {
      channel.send(ByteBuffer.wrap(bytes), new InetSocketAddress(to.host(), to.port()));
    } catch (IOException e) {
      log.event("datagram-not-sent", "to", to, "detail", e.getMessage());
    }
  }

  private void receiveAll() {
    ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        if (channel.receive(buffer) instanceof InetSocketAddress sender) {
          byte[] bytes = new byte[buffer.flip().remaining()];
          buffer.get(bytes);
          received(new Address(sender.getAddress().getHostAddress(), sender.getPort()), bytes);
        }
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException | RuntimeException | StackOverflowError e) {
        loop.run(() -> log.event("datagram-not-received", "detail", e.toString()));
      }
    }
  }

  private void received(Address sender, byte[] bytes) {
    FleetMessage message;
    try {
      message = Codec.messagePack().read(bytes, FleetMessage.class);
    } catch (BulrushpierException e) {
      loop.run(() -> ignored(sender, e.getMessage()));
      return;
    }
    loop.run(() -> apply(sender, message));
  }

  private void ignored(Address sender, String detail) {
    log.event("datagram-ignored", "from", sender, "detail", detail);
  }

  private void apply(Address sender, FleetMessage message) {
    long now = MonotonicClock.millis();
    membership.heard(sender, now);
    switch (message) {
      case FleetMessage.Load load -> {
        if (!load.domain().isEmpty()) {
          membership.heard(sender, load.domain(), now);
        }
        if (!peerLoads.record(sender.toString(), load, now)) {
          ignored(sender, "implausible load");
        }
      }
      case FleetMessage.Members members -> {
        learned(sender, members.addresses(), now);
        if (members.isReplyExpected()) {
          sendMembers(sender, false, now);
          tellCrashes(List.of(sender));
        }
      }
      case FleetMessage.Paces paces -> {
        if (!context.paces().learn(sender.toString(), paces.replicas(), now)) {
          ignored(sender, "implausible paces");
        }
      }
      case FleetMessage.WeightQuestion question ->
          send(
              sender,
              Codec.messagePack().write(context.weightInquiry().answer(question, Moment.now())));
      case FleetMessage.WeightAnswer answer -> weightsTold(sender, answer);
      case FleetMessage.Crashes crashes -> {
        if (crashes.knowledge() != null && crashes.knowledge().isPlausible()) {
          context.poison().learn(crashes.knowledge());
        } else {
          ignored(sender, "implausible crashes");
        }
      }
    }
  }

  private void learned(Address sender, List<String> addresses, long nowMillis) {
    int unreadable = 0;
    String defect = "";
    for (String address : addresses) {
      try {
        membership.learned(Address.parse(address), nowMillis);
      } catch (IllegalArgumentException e) {
        unreadable++;
        defect = e.getMessage();
      }
    }
    if (unreadable > 0) {
      ignored(sender, unreadable + " unreadable addresses, the last: " + defect);
    }
  }
}
