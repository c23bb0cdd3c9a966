package org.bulrushpier.daemon.serve;

import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.Hash;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.CallFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.call.CallerRequest;
import org.bulrushpier.daemon.net.CallerConnection;
import org.bulrushpier.daemon.net.InboundRequest;
import org.bulrushpier.daemon.net.NetLoop;
import org.bulrushpier.settings.GatewaySettings;
import org.bulrushpier.site.CallerLimits;
import org.bulrushpier.site.Configuration;
import org.eclipse.jetty.http.HttpFields;

/**
 * An entry instance on the users' platform.
 *
 * <pre>{@code
 * Gateway gateway = Gateway.start(settings);
 * gateway.shutDown();
 * }</pre>
 *
 * <p>Keeps nothing beyond its process: the configuration, the replicas and the wanted weights are
 * followed in the platform's store. Thread-safe; all state is guarded by the loop's lock.
 */
public final class Gateway {

  /** How often running exchanges look at the clock, in milliseconds. */
  private static final long TICK_MILLIS = 25;

  /** How long the balancer may go on sending connections after a failed readiness check. */
  private static final long BALANCER_MILLIS = 2_500;

  /** Requests read later than this after the signal might not end in time, in milliseconds. */
  private static final long LAST_REQUEST_MILLIS = 2_800;

  /** The share of the shutdown time after which requests still running are given up. */
  private static final double SHUTDOWN_SHARE = 0.88;

  /** How often the settings file is looked at, in milliseconds. */
  private static final long SETTINGS_MILLIS = 2_000;

  /** The pause after a new configuration, in milliseconds: they come in quick succession. */
  private static final long CONFIGURATION_REST_MILLIS = 50;

  /** A leaving replica gets no calls after 2 s; a silent connection is excused for 3 s. */
  private static final StoreWatch.Pace REPLICA_PACE = new StoreWatch.Pace(2_500, 250);

  /** New weights are to be in place within 8 s, of which an order takes a few. */
  private static final StoreWatch.Pace WEIGHTS_PACE = new StoreWatch.Pace(3_000, 50);

  /** The lease says which engines are changing; requests at those only wait longer. */
  private static final StoreWatch.Pace LEASE_PACE = new StoreWatch.Pace(3_000, 150);

  private static final long SHUTDOWN_POLL_MILLIS = 50;

  private volatile GatewaySettings settings;
  private final NetLoop loop = NetLoop.start();
  private final Tables tables;
  private final Set<Exchange> exchanges = new LinkedHashSet<>();
  private final Set<CallerConnection> connections = new HashSet<>();
  private final RolloutKeeper rollouts;
  private final CacheEvents cacheEvents;
  private boolean isLeaving;
  private long leavingSinceMillis;
  private boolean wasReady;

  private Gateway(GatewaySettings settings) {
    this.settings = settings;
    tables = new Tables(loop, () -> this.settings);
    rollouts = new RolloutKeeper(tables);
    cacheEvents = new CacheEvents(tables);
  }

  /**
   * Starts an instance.
   *
   * @param settings its settings
   * @return the running instance
   * @throws IOException if an address cannot be bound
   */
  public static Gateway start(GatewaySettings settings) throws IOException {
    Gateway gateway = new Gateway(settings);
    gateway.loop.listen(settings.readyAddress(), gateway.new Readiness());
    gateway.loop.listen(settings.callerAddress(), gateway.new Callers());
    gateway.loop.listen(settings.metricsAddress(), gateway.new Metrics());
    gateway.loop.run(gateway::follow);
    return gateway;
  }

  private void follow() {
    tables.log().event("started", "instance", settings.name(), "domain", settings.domain());
    tables.metrics().gauge("bulrushpier.requests.running", "Requests under way", exchanges::size);
    tables
        .metrics()
        .gauge(
            "bulrushpier.configuration.age.ms",
            "Age of the proof that the configuration is the newest",
            () -> tables.configuration().ageMillis(Moment.now()));
    tables
        .metrics()
        .gauge(
            "bulrushpier.upstream.connections.opened",
            "Connections opened to upstreams since the start",
            () -> tables.upstreams().opened());
    long wait = tables.keyFreshness().watchMillis();
    watch(
        StoreFormat.CONFIGURATIONS,
        new StoreWatch.Pace(wait, CONFIGURATION_REST_MILLIS),
        new ConfigurationFollower(tables));
    watch(StoreFormat.REPLICAS, REPLICA_PACE, new ReplicaFollower(tables));
    watch(StoreFormat.WEIGHTS, WEIGHTS_PACE, new WeightsFollower(tables));
    watch(StoreFormat.LEASES, LEASE_PACE, rollouts);
    tick();
  }

  /**
   * Looks at the settings file now and then; it may change without a signal.
   *
   * @param file the file
   */
  public void follow(SettingsFile file) {
    loop.after(
        SETTINGS_MILLIS,
        () -> {
          reload(file);
          follow(file);
        });
  }

  /**
   * Reads the settings file again. Addresses that the instance listens on stay as they are.
   *
   * @param file the file
   */
  public void reload(SettingsFile file) {
    loop.run(
        () -> {
          GatewaySettings newer = file.reread();
          if (newer != null) {
            settings = newer;
            tables.log().event("reloaded", "platform", newer.platformAddress());
          }
        });
  }

  private void watch(String kind, StoreWatch.Pace pace, StoreWatch.Listener listener) {
    new StoreWatch(loop, tables.client(), () -> settings.platformAddress(), kind, pace, listener)
        .start();
  }

  private void tick() {
    long now = MonotonicClock.millis();
    for (Exchange exchange : exchanges.toArray(new Exchange[0])) {
      exchange.tick(now);
    }
    exchanges.removeIf(Exchange::isDone);
    connections.removeIf(CallerConnection::isClosed);
    tables
        .replicas()
        .expire(now)
        .forEach(id -> tables.belief("replica-gone", id, "did not return"));
    cacheEvents.tick();
    if (!isLeaving) {
      rollouts.tick();
    }
    loop.after(TICK_MILLIS, this::tick);
  }

  private boolean isReady() {
    long age = tables.configuration().ageMillis(Moment.now());
    boolean isReady = !isLeaving && tables.keyFreshness().isReady(age);
    if (isReady != wasReady) {
      wasReady = isReady;
      tables.log().event(isReady ? "ready" : "not-ready", "leaving", isLeaving);
    }
    return isReady;
  }

  /** Stops taking connections, lets running requests end, and stops. */
  public void shutDown() {
    long start = MonotonicClock.millis();
    loop.run(
        () -> {
          isLeaving = true;
          leavingSinceMillis = start;
          tables.log().event("leaving", "running", exchanges.size());
        });
    long limit = (long) (settings.shutdownMillis() * SHUTDOWN_SHARE);
    while (MonotonicClock.millis() - start < limit) {
      if (MonotonicClock.millis() - start > BALANCER_MILLIS && isQuiet()) {
        break;
      }
      try {
        TimeUnit.MILLISECONDS.sleep(SHUTDOWN_POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    loop.run(() -> tables.log().event("stopped", "running", exchanges.size()));
  }

  /** Ends at once; open connections are closed. */
  public void stop() {
    loop.stop();
  }

  private boolean isQuiet() {
    boolean[] isQuiet = new boolean[1];
    loop.run(
        () -> {
          exchanges.removeIf(Exchange::isDone);
          connections.forEach(CallerConnection::closeIfIdle);
          isQuiet[0] = exchanges.isEmpty();
        });
    return isQuiet[0];
  }

  /** Answers the balancer's question. */
  private final class Readiness implements CallerConnection.Handler {
    @Override
    public void requested(CallerConnection connection, InboundRequest request) {
      connection.answer(isReady() ? 200 : 503, HttpFields.EMPTY, new byte[0]);
    }
  }

  /** Serves the metrics. */
  private final class Metrics implements CallerConnection.Handler {
    @Override
    public void requested(CallerConnection connection, InboundRequest request) {
      HttpFields fields = HttpFields.build().add("Content-Type", "text/plain; version=0.0.4");
      connection.answer(200, fields, Hash.utf8(tables.metrics().scrape()));
    }
  }

  /** Takes callers' requests. */
  private final class Callers implements CallerConnection.Handler {

    @Override
    public void requested(CallerConnection connection, InboundRequest inbound) {
      connections.add(connection);
      if (isLeaving && MonotonicClock.millis() - leavingSinceMillis > LAST_REQUEST_MILLIS) {
        tables.log().event("refused", "reason", "this instance is shutting down");
        HttpFields fields = CallFormat.own("", "this instance is shutting down", 0);
        connection.answer(503, fields, new byte[0]);
        return;
      }
      CallerRequest request;
      try {
        request = CallFormat.request(inbound.method(), inbound.target(), inbound.fields());
      } catch (IllegalArgumentException e) {
        tables.log().event("unreadable", "detail", e.getMessage());
        connection.answer(400, CallFormat.own("", e.getMessage(), -1), new byte[0]);
        return;
      }
      Exchange exchange = new Exchange(tables, connection, inbound, request);
      connection.attach(exchange);
      exchanges.add(exchange);
      exchange.begin();
    }

    @Override
    public void left(CallerConnection connection) {
      connections.remove(connection);
      if (connection.attachment() instanceof Exchange exchange) {
        exchange.left();
      }
    }

    @Override
    public CallerLimits limits() {
      return tables
          .configuration()
          .configuration()
          .map(Configuration::limits)
          .orElse(CallerLimits.DEFAULT);
    }

    @Override
    public boolean isLeaving() {
      return isLeaving;
    }
  }
}
