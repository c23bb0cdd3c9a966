package org.bulrushpier.rig.site;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.Address;
import org.bulrushpier.Codec;
import org.bulrushpier.Hash;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.platform.ListedInstance;
import org.bulrushpier.rig.Faults;

/**
 * A running test site of real processes that are connected through the fault-injecting proxy.
 *
 * <pre>{@code
 * try (Site site = Site.start(SitePlan.small())) {
 *   site.signal("entry-1", "KILL");
 * }
 * }</pre>
 *
 * <p>The links of the proxy are named {@code entry-1-platform}, {@code entry-1-entry-2} and, for
 * upstreams, as the upstream. Thread-safe, except for starting and closing.
 */
public final class Site implements AutoCloseable {

  /** The API key of the root operators. */
  public static final String ROOT_KEY = "root-key";

  /** The API key of the team's operators. */
  public static final String TEAM_KEY = "team-key";

  /** The settings path of the team that owns all customers. */
  public static final String TEAM = "site/team";

  /** The deployment that customers request. */
  public static final String DEPLOYMENT = "chat";

  /** The model that the deployment serves. */
  public static final String MODEL = "model-8b";

  private static final String RIG_COMMAND = "org.bulrushpier.rig.Main ";
  private static final String ENTRY_COMMAND = "org.bulrushpier.daemon.Main entry --settings ";
  private static final int FIRST_PORT = Integer.getInteger("bulrushpier.first-port", 20_000);
  private static final int LAST_PORT = FIRST_PORT + 3_000;
  private static final long READY_TIMEOUT_MILLIS = 40_000;
  private static final long POLL_MILLIS = 50;
  private static final AtomicInteger NEXT_PORT = new AtomicInteger(FIRST_PORT);

  private final SitePlan plan;
  private final Launcher launcher;
  private final HttpCaller caller = HttpCaller.start();
  private final Map<String, Address> addresses = new TreeMap<>();
  private final Map<String, Address> proxyAddresses = new TreeMap<>();
  private final Map<String, String> commands = new TreeMap<>();
  private final Map<String, String> domains = new TreeMap<>();
  private final Path directory;

  private Site(SitePlan plan, Launcher launcher) throws IOException {
    this.plan = plan;
    this.launcher = launcher;
    this.directory = Files.createTempDirectory(launcher.directory(), "site");
  }

  /**
   * Starts a site and waits until every entry is up, has the settings and knows the weight versions
   * of the engines.
   *
   * @param plan the composition of the site
   * @return the running site
   */
  public static Site start(SitePlan plan) {
    try {
      Site site = new Site(plan, Launcher.fromSystemProperty());
      site.startAll();
      return site;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void startAll() throws IOException {
    addFake("platform", "platform --list-lag-ms 2000", "");
    for (int i = 0; i < plan.engines(); i++) {
      String name = "engine-" + (i + 1);
      String options =
          " --model " + MODEL + " --version 7 --cache-blocks " + plan.cacheBlocks() + " --name ";
      String weights = " --weight-store " + addresses.get("platform");
      String fencing = i % 2 == 0 ? " --checks-fencing" : "";
      addFake(name, "engine" + options + name + fencing + weights, domain(i));
    }
    for (int i = 0; i < plan.services(); i++) {
      String name = "records-" + (i + 1);
      addFake(name, "service --name " + name, domain(i));
    }
    for (int i = 0; i < plan.stores(); i++) {
      String rate = " --link-bytes-per-second " + plan.linkBytesPerSecond();
      addFake("store-" + (i + 1), "store" + rate, domain(i));
    }
    for (int i = 0; i < plan.entries(); i++) {
      String name = entryName(i);
      addresses.put(name, nextFreePort());
      addresses.put(name + "-peer", nextFreePort());
      domains.put(name, domain(i));
    }
    addProxy();
    for (int i = 0; i < plan.entries(); i++) {
      Path file = directory.resolve(entryName(i) + ".ini");
      Files.writeString(file, entrySettings(entryName(i)));
      commands.put(entryName(i), ENTRY_COMMAND + file);
    }
    commands.forEach(launcher::start);
    commands.keySet().stream().filter(n -> !n.startsWith("entry")).forEach(this::awaitResponse);
    applyLinkDelays();
    publishAllInstances();
    entries().forEach(name -> awaitAvailable(name, "/healthz"));
    changeSettings("site", ROOT_KEY, rootSettings());
    changeSettings(TEAM, TEAM_KEY, teamSettings("7"));
    entries().forEach(this::awaitSettings);
  }

  private void applyLinkDelays() {
    if (plan.delayMillis() > 0) {
      proxyAddresses.keySet().stream()
          .filter(link -> link.startsWith("entry"))
          .forEach(link -> configureLink(link, "delay-ms=" + plan.delayMillis()));
    }
  }

  private void addFake(String name, String arguments, String domain) {
    Address address = nextFreePort();
    addresses.put(name, address);
    domains.put(name, domain);
    commands.put(name, RIG_COMMAND + arguments + " --address " + address);
  }

  private void addProxy() {
    StringBuilder command = new StringBuilder(RIG_COMMAND + "proxy --control ");
    addresses.put("proxy", nextFreePort());
    command.append(addresses.get("proxy"));
    for (String entry : entryNames()) {
      addLink(command, entry + "-platform", addresses.get("platform"));
      for (String other : entryNames()) {
        if (!other.equals(entry)) {
          addLink(command, entry + "-" + other, addresses.get(other + "-peer"));
        }
      }
    }
    for (String upstream : List.copyOf(domains.keySet())) {
      if (!upstream.startsWith("entry") && !upstream.equals("platform")) {
        addLink(command, upstream, addresses.get(upstream));
      }
    }
    commands.put("proxy", command.toString());
  }

  private void addLink(StringBuilder command, String name, Address target) {
    Address listen = nextFreePort();
    proxyAddresses.put(name, listen);
    command.append(" --link ").append(name).append('=').append(listen).append('=').append(target);
  }

  private String entrySettings(String name) {
    StringBuilder ini = new StringBuilder("[entry]\n");
    ini.append("name = ").append(name).append('\n');
    ini.append("domain = ").append(domains.get(name)).append('\n');
    ini.append("caller-address = ").append(addresses.get(name)).append('\n');
    ini.append("peer-address = ").append(addresses.get(name + "-peer")).append('\n');
    ini.append("platform-address = ").append(proxyAddresses.get(name + "-platform")).append('\n');
    ini.append("root-operator-key-sha256 = ").append(Hash.hex(ROOT_KEY)).append('\n');
    ini.append("routing-policy = ").append(plan.policy()).append('\n');
    ini.append("drain-ms = 500\n");
    for (String other : entryNames()) {
      if (!other.equals(name)) {
        ini.append("[contact ").append(other).append("]\n");
        ini.append("peer-address = ").append(proxyAddresses.get(name + "-" + other)).append('\n');
        ini.append("domain = ").append(domains.get(other)).append('\n');
      }
    }
    return ini.toString();
  }

  /**
   * Partitions an entry from its peers, or heals the partition.
   *
   * @param entry the entry
   * @param query the impairments, such as {@code cut=1&cut-back=1}; empty to heal the partition
   */
  public void partitionFromPeers(String entry, String query) {
    for (String other : entryNames()) {
      if (!other.equals(entry)) {
        configureLink(entry + "-" + other, query);
        configureLink(other + "-" + entry, query);
      }
    }
  }

  /**
   * Returns the root settings of the site.
   *
   * @return the INI text
   */
  public String rootSettings() {
    StringBuilder ini = new StringBuilder("[site]\nname = test\nledger-shards = 1\n");
    plan.domains().forEach(d -> ini.append("[domain ").append(d).append("]\nregion = r\n"));
    for (String name : domains.keySet()) {
      if (name.startsWith("engine")) {
        ini.append("[engine ").append(name).append("]\nmodel = ").append(MODEL).append('\n');
        appendLocation(ini, name);
      } else if (name.startsWith("records")) {
        ini.append("[service ").append(name).append("]\nservice = records\n");
        appendLocation(ini, name);
      } else if (name.startsWith("store")) {
        ini.append("[store ").append(name).append("]\nlink-bytes-per-second = ");
        ini.append(plan.linkBytesPerSecond()).append('\n');
        appendLocation(ini, name);
      }
    }
    ini.append("[team team]\noperator-key-sha256 = ").append(Hash.hex(TEAM_KEY)).append('\n');
    return ini.toString();
  }

  private void appendLocation(StringBuilder ini, String name) {
    ini.append("address = ").append(proxyAddresses.get(name)).append('\n');
    ini.append("domain = ").append(domains.get(name)).append('\n');
  }

  /**
   * Returns the team's settings.
   *
   * @param weightVersion the weight version of the deployment
   * @return the INI text
   */
  public String teamSettings(String weightVersion) {
    StringBuilder ini = new StringBuilder();
    for (int i = 1; i <= plan.customers(); i++) {
      ini.append("[customer c").append(i).append("]\nkey-sha256 = ");
      ini.append(Hash.hex(customerKey(i))).append("\nrate-limit = ");
      ini.append(plan.customerRate()).append("\nconcurrency-limit = 1000\n");
    }
    ini.append("[deployment " + DEPLOYMENT + "]\nmodel = " + MODEL + "\nweight-version = ");
    ini.append(weightVersion).append('\n').append(plan.deploymentSettings());
    ini.append("[operation log]\nservice = records\nmethod = POST\npath = /defects\n");
    ini.append("idempotent = no\ndeadline-ms = 4000\n");
    ini.append("[operation look]\nservice = records\nmethod = GET\npath = /frames/*\n");
    ini.append("idempotent = yes\ndeadline-ms = 2000\n");
    return ini.toString();
  }

  /**
   * Returns a customer's API key.
   *
   * @param number the customer's number, from 1
   * @return the API key
   */
  public static String customerKey(int number) {
    return "key-" + number;
  }

  /**
   * Returns a customer's id, such as {@code site/team/c1}.
   *
   * @param number the customer's number, from 1
   * @return the id
   */
  public static String customerId(int number) {
    return TEAM + "/c" + number;
  }

  /**
   * Changes a subtree of the settings through the first entry.
   *
   * @param path the path of the subtree
   * @param key the operator's API key
   * @param text the new settings as INI text
   * @throws IllegalStateException if the change is rejected
   */
  public void changeSettings(String path, String key, String text) {
    Reply reply = tryChangeSettings(entries().get(0), path, key, text, null);
    if (!reply.isOk()) {
      throw new IllegalStateException(new String(reply.body()));
    }
  }

  /** The request body of a settings change. */
  private record Proposal(String text, Long expectedVersion) {}

  /**
   * Sends a change of a subtree of the settings and returns the response, whether or not the change
   * was accepted.
   *
   * @param entry the entry that receives the change
   * @param path the path of the subtree
   * @param key the operator's API key
   * @param text the new settings as INI text
   * @param expectedVersion the version that the subtree must have, or null for any
   * @return the response
   */
  public Reply tryChangeSettings(
      String entry, String path, String key, String text, Long expectedVersion) {
    return caller.call(
        OutgoingCall.of("PUT", address(entry), "/admin/settings/" + path)
            .withHeader("Authorization", "Bearer " + key)
            .withJson(new Proposal(text, expectedVersion)));
  }

  /**
   * Returns the names of the entries.
   *
   * @return the names in ascending order
   */
  public List<String> entries() {
    return entryNames();
  }

  /**
   * Returns the listen address of a process, which bypasses the proxy.
   *
   * @param name the process's name
   * @return the address
   */
  public Address address(String name) {
    return addresses.get(name);
  }

  /**
   * Returns the HTTP client for calls to the site.
   *
   * @return the HTTP client
   */
  public HttpCaller caller() {
    return caller;
  }

  /**
   * Returns the launcher that started the processes.
   *
   * @return the launcher
   */
  public Launcher launcher() {
    return launcher;
  }

  /**
   * Sends a signal to a process.
   *
   * @param name the process's name
   * @param signal the signal's name, such as KILL, STOP, CONT or TERM
   */
  public void signal(String name, String signal) {
    launcher.signal(name, signal);
  }

  /**
   * Restarts a process that has exited and waits until it is up.
   *
   * @param name the process's name
   */
  public void restart(String name) {
    launcher.start(name, commands.get(name));
    if (name.startsWith("entry")) {
      awaitAvailable(name, "/readyz");
    } else {
      awaitResponse(name);
    }
  }

  /**
   * Sets a fault of a fake.
   *
   * @param name the process's name
   * @param fault the fault's name
   * @param value the fault's value; 0 clears the fault
   */
  public void setFault(String name, String fault, long value) {
    String path = "/faults/" + fault + "?value=" + value;
    caller.call(OutgoingCall.of("PUT", address(name), path));
  }

  /**
   * Sets the impairments of a link of the proxy.
   *
   * @param link the link's name
   * @param query such as {@code cut=1} or {@code delay-ms=5}; empty for an unimpaired link
   */
  public void configureLink(String link, String query) {
    Reply reply =
        caller.call(OutgoingCall.of("PUT", address("proxy"), "/links/" + link + "?" + query));
    if (!reply.isOk()) {
      throw new IllegalArgumentException("link: unknown name '" + link + "'");
    }
  }

  /**
   * Reads a JSON resource of a fake.
   *
   * @param <T> the type of the resource
   * @param name the process's name
   * @param path the path of the resource
   * @param type the type of the resource
   * @return the parsed resource
   */
  public <T> T read(String name, String path, Class<T> type) {
    return caller.call(OutgoingCall.get(address(name), path)).json(type);
  }

  /**
   * Reads an administration resource of an entry with the key of the root operators.
   *
   * @param <T> the type of the resource
   * @param entry the entry
   * @param path the path of the resource
   * @param type the type of the resource
   * @return the parsed resource
   */
  public <T> T readAdmin(String entry, String path, Class<T> type) {
    OutgoingCall call =
        OutgoingCall.get(address(entry), path).withHeader("Authorization", "Bearer " + ROOT_KEY);
    return caller.call(call).json(type);
  }

  /** Kills all processes of the site. */
  @Override
  public void close() {
    commands.keySet().forEach(name -> launcher.signal(name, "KILL"));
    caller.stop();
  }

  /**
   * Publishes a change in the platform's instance list.
   *
   * @param name the instance's name
   * @param isLeaving true to list the instance as leaving
   */
  public void publishInstance(String name, boolean isLeaving) {
    publish(List.of(listedInstance(name, isLeaving)));
  }

  private void publishAllInstances() {
    List<ListedInstance> all = new ArrayList<>();
    domains.keySet().stream()
        .filter(name -> !name.equals("platform"))
        .forEach(name -> all.add(listedInstance(name, false)));
    publish(all);
  }

  private void publish(List<ListedInstance> instances) {
    caller.call(OutgoingCall.of("PUT", address("platform"), "/instances").withJson(instances));
  }

  private ListedInstance listedInstance(String name, boolean isLeaving) {
    String kind = name.substring(0, name.indexOf('-'));
    Address peer = addresses.get(name + "-peer");
    return new ListedInstance(
        name,
        kind.equals("records") ? "service" : kind,
        addresses.get(name).toString(),
        peer == null ? "" : peer.toString(),
        domains.get(name),
        isLeaving);
  }

  private void awaitResponse(String name) {
    awaitAvailable(name, name.equals("proxy") ? "/" : "/counts");
  }

  /** Waits until a process responds: an entry with a success status, a fake with any status. */
  private void awaitAvailable(String name, String path) {
    long deadline = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
    while (!isResponding(name, path)) {
      if (System.currentTimeMillis() > deadline) {
        throw new IllegalStateException(name + " did not become available: see its log");
      }
      Faults.sleep(POLL_MILLIS);
    }
  }

  private boolean isResponding(String name, String path) {
    try {
      Reply reply = caller.call(OutgoingCall.get(address(name), path).withTimeout(1_000));
      return reply.isOk() || !name.startsWith("entry");
    } catch (CallFailedException e) {
      return false;
    }
  }

  private void awaitSettings(String name) {
    long deadline = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
    while (!hasSettings(name)) {
      if (System.currentTimeMillis() > deadline) {
        throw new IllegalStateException(name + " did not receive the settings");
      }
      Faults.sleep(POLL_MILLIS);
    }
  }

  private boolean hasSettings(String name) {
    String body = new String(Codec.json().write(readAdmin(name, "/admin/settings", Object.class)));
    return body.contains("\"" + TEAM + "\"") && areEngineVersionsKnown(name);
  }

  private boolean areEngineVersionsKnown(String name) {
    return readAdmin(name, "/admin/status", org.bulrushpier.daemon.Status.class)
        .upstreams()
        .stream()
        .filter(upstream -> upstream.kind().equals("engine"))
        .allMatch(upstream -> !upstream.weightVersion().isEmpty());
  }

  private List<String> entryNames() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < plan.entries(); i++) {
      names.add(entryName(i));
    }
    return names;
  }

  private static String entryName(int index) {
    return "entry-" + (index + 1);
  }

  private String domain(int index) {
    return plan.domains().get(index % plan.domains().size());
  }

  private static Address nextFreePort() {
    while (true) {
      int port = NEXT_PORT.getAndIncrement();
      if (port > LAST_PORT) {
        NEXT_PORT.set(FIRST_PORT);
      } else if (isFree(port)) {
        return new Address("127.0.0.1", port);
      }
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
