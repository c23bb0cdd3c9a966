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
 * A site of real processes behind the fault-injecting proxy.
 *
 * <pre>{@code
 * try (Site site = Site.start(SitePlan.small())) {
 *   site.signal("entry-1", "KILL");
 * }
 * }</pre>
 *
 * <p>Links of the proxy: {@code entry-1-platform}, {@code entry-1-entry-2} and the upstreams' own
 * names. Thread-safe but for starting and closing.
 */
public final class Site implements AutoCloseable {

  /** The key of the root's operators. */
  public static final String ROOT_KEY = "root-key";

  /** The key of the team's operators. */
  public static final String TEAM_KEY = "team-key";

  /** The path of the team that owns all customers. */
  public static final String TEAM = "site/team";

  /** The deployment that customers ask for. */
  public static final String DEPLOYMENT = "chat";

  /** The model behind the deployment. */
  public static final String MODEL = "model-8b";

  private static final String RIG = "org.bulrushpier.rig.Main ";
  private static final String ENTRY = "org.bulrushpier.daemon.Main entry --settings ";
  private static final int FIRST_PORT = Integer.getInteger("bulrushpier.first-port", 20_000);
  private static final int LAST_PORT = FIRST_PORT + 3_000;
  private static final long READY_MILLIS = 40_000;
  private static final long POLL_MILLIS = 50;
  private static final AtomicInteger NEXT_PORT = new AtomicInteger(FIRST_PORT);

  private final SitePlan plan;
  private final Launcher launcher;
  private final HttpCaller caller = HttpCaller.start();
  private final Map<String, Address> addresses = new TreeMap<>();
  private final Map<String, Address> proxied = new TreeMap<>();
  private final Map<String, String> commands = new TreeMap<>();
  private final Map<String, String> domains = new TreeMap<>();
  private final Path folder;

  private Site(SitePlan plan, Launcher launcher) throws IOException {
    this.plan = plan;
    this.launcher = launcher;
    this.folder = Files.createTempDirectory(launcher.directory(), "site");
  }

  /**
   * Starts a site and waits until every entry is ready.
   *
   * @param plan what it is made of
   * @return the running site
   */
  public static Site start(SitePlan plan) {
    try {
      Site site = new Site(plan, Launcher.ofProperty());
      site.startAll();
      return site;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void startAll() throws IOException {
    plan("platform", "platform --list-lag-ms 2000", "");
    for (int i = 0; i < plan.engines(); i++) {
      String name = "engine-" + (i + 1);
      String options =
          " --model " + MODEL + " --version 7 --cache-blocks " + plan.cacheBlocks() + " --name ";
      String weights = " --weight-store " + addresses.get("platform");
      String fencing = i % 2 == 0 ? " --checks-fencing" : "";
      plan(name, "engine" + options + name + fencing + weights, domain(i));
    }
    for (int i = 0; i < plan.services(); i++) {
      String name = "records-" + (i + 1);
      plan(name, "service --name " + name, domain(i));
    }
    for (int i = 0; i < plan.stores(); i++) {
      String rate = " --link-bytes-per-second " + plan.linkBytesPerSecond();
      plan("store-" + (i + 1), "store" + rate, domain(i));
    }
    for (int i = 0; i < plan.entries(); i++) {
      String name = entryName(i);
      addresses.put(name, port());
      addresses.put(name + "-peer", port());
      domains.put(name, domain(i));
    }
    startProxy();
    for (int i = 0; i < plan.entries(); i++) {
      Path file = folder.resolve(entryName(i) + ".ini");
      Files.writeString(file, entrySettings(entryName(i)));
      commands.put(entryName(i), ENTRY + file);
    }
    commands.forEach(launcher::start);
    commands.keySet().stream().filter(n -> !n.startsWith("entry")).forEach(this::awaitUp);
    delayLinks();
    listAll();
    entries().forEach(name -> await(name, "/healthz"));
    change("site", ROOT_KEY, rootSettings());
    change(TEAM, TEAM_KEY, teamSettings("7"));
    entries().forEach(this::awaitSettings);
  }

  private void delayLinks() {
    if (plan.delayMillis() > 0) {
      proxied.keySet().stream()
          .filter(link -> link.startsWith("entry"))
          .forEach(link -> shape(link, "delay-ms=" + plan.delayMillis()));
    }
  }

  private void plan(String name, String arguments, String domain) {
    Address address = port();
    addresses.put(name, address);
    domains.put(name, domain);
    commands.put(name, RIG + arguments + " --address " + address);
  }

  private void startProxy() {
    StringBuilder command = new StringBuilder(RIG + "proxy --control ");
    addresses.put("proxy", port());
    command.append(addresses.get("proxy"));
    for (String entry : entryNames()) {
      link(command, entry + "-platform", addresses.get("platform"));
      for (String other : entryNames()) {
        if (!other.equals(entry)) {
          link(command, entry + "-" + other, addresses.get(other + "-peer"));
        }
      }
    }
    for (String upstream : List.copyOf(domains.keySet())) {
      if (!upstream.startsWith("entry") && !upstream.equals("platform")) {
        link(command, upstream, addresses.get(upstream));
      }
    }
    commands.put("proxy", command.toString());
  }

  private void link(StringBuilder command, String name, Address target) {
    Address listen = port();
    proxied.put(name, listen);
    command.append(" --link ").append(name).append('=').append(listen).append('=').append(target);
  }

  private String entrySettings(String name) {
    StringBuilder ini = new StringBuilder("[entry]\n");
    ini.append("name = ").append(name).append('\n');
    ini.append("domain = ").append(domains.get(name)).append('\n');
    ini.append("caller-address = ").append(addresses.get(name)).append('\n');
    ini.append("peer-address = ").append(addresses.get(name + "-peer")).append('\n');
    ini.append("platform-address = ").append(proxied.get(name + "-platform")).append('\n');
    ini.append("root-operator-key-sha256 = ").append(Hash.hex(ROOT_KEY)).append('\n');
    ini.append("routing-policy = ").append(plan.policy()).append('\n');
    ini.append("drain-ms = 500\n");
    for (String other : entryNames()) {
      if (!other.equals(name)) {
        ini.append("[contact ").append(other).append("]\n");
        ini.append("peer-address = ").append(proxied.get(name + "-" + other)).append('\n');
        ini.append("domain = ").append(domains.get(other)).append('\n');
      }
    }
    return ini.toString();
  }

  /**
   * Cuts an entry off from its peers, or heals the cut.
   *
   * @param entry the entry
   * @param query such as {@code cut=1&cut-back=1}; empty to heal
   */
  public void cutFromPeers(String entry, String query) {
    for (String other : entryNames()) {
      if (!other.equals(entry)) {
        shape(entry + "-" + other, query);
        shape(other + "-" + entry, query);
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
        place(ini, name);
      } else if (name.startsWith("records")) {
        ini.append("[service ").append(name).append("]\nservice = records\n");
        place(ini, name);
      } else if (name.startsWith("store")) {
        ini.append("[store ").append(name).append("]\nlink-bytes-per-second = ");
        ini.append(plan.linkBytesPerSecond()).append('\n');
        place(ini, name);
      }
    }
    ini.append("[team team]\noperator-key-sha256 = ").append(Hash.hex(TEAM_KEY)).append('\n');
    return ini.toString();
  }

  private void place(StringBuilder ini, String name) {
    ini.append("address = ").append(proxied.get(name)).append('\n');
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
    ini.append(weightVersion).append('\n').append(plan.prices());
    ini.append("[operation log]\nservice = records\nmethod = POST\npath = /defects\n");
    ini.append("idempotent = no\ndeadline-ms = 4000\n");
    ini.append("[operation look]\nservice = records\nmethod = GET\npath = /frames/*\n");
    ini.append("idempotent = yes\ndeadline-ms = 2000\n");
    return ini.toString();
  }

  /**
   * Returns a customer's key.
   *
   * @param number the customer's number, from 1
   * @return the key
   */
  public static String customerKey(int number) {
    return "key-" + number;
  }

  /**
   * Returns a customer's unique name.
   *
   * @param number the customer's number, from 1
   * @return the name
   */
  public static String customerId(int number) {
    return TEAM + "/c" + number;
  }

  /**
   * Changes a subtree through the first entry.
   *
   * @param path the subtree
   * @param key the operator's key
   * @param text the INI text
   */
  public void change(String path, String key, String text) {
    Reply reply = tryChange(entries().get(0), path, key, text, null);
    if (!reply.isOk()) {
      throw new IllegalStateException(new String(reply.body()));
    }
  }

  /** A proposed text. */
  private record Proposal(String text, Long expectedVersion) {}

  /**
   * Tries to change a subtree.
   *
   * @param entry the entry to ask
   * @param path the subtree
   * @param key the operator's key
   * @param text the INI text
   * @param expectedVersion the version it must have, or null
   * @return the answer
   */
  public Reply tryChange(String entry, String path, String key, String text, Long expectedVersion) {
    return caller.call(
        OutgoingCall.of("PUT", address(entry), "/admin/settings/" + path)
            .withHeader("Authorization", "Bearer " + key)
            .withJson(new Proposal(text, expectedVersion)));
  }

  /**
   * Returns the names of the entries.
   *
   * @return the names in order
   */
  public List<String> entries() {
    return entryNames();
  }

  /**
   * Returns where a process listens, not through the proxy.
   *
   * @param name the process
   * @return the address
   */
  public Address address(String name) {
    return addresses.get(name);
  }

  /**
   * Returns the client for calls to the site.
   *
   * @return the client
   */
  public HttpCaller caller() {
    return caller;
  }

  /**
   * Returns the launcher.
   *
   * @return the launcher
   */
  public Launcher launcher() {
    return launcher;
  }

  /**
   * Sends a signal to a process.
   *
   * @param name the process
   * @param signal such as KILL, STOP, CONT or TERM
   */
  public void signal(String name, String signal) {
    launcher.signal(name, signal);
  }

  /**
   * Starts a process again after its end.
   *
   * @param name the process
   */
  public void restart(String name) {
    launcher.start(name, commands.get(name));
    if (name.startsWith("entry")) {
      await(name, "/readyz");
    } else {
      awaitUp(name);
    }
  }

  /**
   * Sets a fault of a stand-in.
   *
   * @param name the process
   * @param fault the fault
   * @param value its number
   */
  public void fault(String name, String fault, long value) {
    String path = "/faults/" + fault + "?value=" + value;
    caller.call(OutgoingCall.of("PUT", address(name), path));
  }

  /**
   * Sets what a link of the proxy does.
   *
   * @param link the link's name
   * @param query such as {@code cut=1} or {@code delay-ms=5}; empty for an undisturbed link
   */
  public void shape(String link, String query) {
    Reply reply =
        caller.call(OutgoingCall.of("PUT", address("proxy"), "/links/" + link + "?" + query));
    if (!reply.isOk()) {
      throw new IllegalArgumentException("link: '" + link + "' is unknown");
    }
  }

  /**
   * Reads a stand-in's JSON.
   *
   * @param <T> the type
   * @param name the process
   * @param path the path
   * @param type the type
   * @return the message
   */
  public <T> T read(String name, String path, Class<T> type) {
    return caller.call(OutgoingCall.get(address(name), path)).json(type);
  }

  /**
   * Reads an entry's administration resource as the root's operator.
   *
   * @param <T> the type
   * @param entry the entry
   * @param path the path
   * @param type the type
   * @return the message
   */
  public <T> T admin(String entry, String path, Class<T> type) {
    OutgoingCall call =
        OutgoingCall.get(address(entry), path).withHeader("Authorization", "Bearer " + ROOT_KEY);
    return caller.call(call).json(type);
  }

  /** Ends all processes of the site. */
  @Override
  public void close() {
    commands.keySet().forEach(name -> launcher.signal(name, "KILL"));
    caller.stop();
  }

  /**
   * Publishes a change of the platform's instance list.
   *
   * @param name the instance
   * @param isLeaving true if it leaves
   */
  public void list(String name, boolean isLeaving) {
    putList(List.of(listed(name, isLeaving)));
  }

  private void listAll() {
    List<ListedInstance> all = new ArrayList<>();
    domains.keySet().stream()
        .filter(name -> !name.equals("platform"))
        .forEach(name -> all.add(listed(name, false)));
    putList(all);
  }

  private void putList(List<ListedInstance> instances) {
    caller.call(OutgoingCall.of("PUT", address("platform"), "/instances").withJson(instances));
  }

  private ListedInstance listed(String name, boolean isLeaving) {
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

  private void awaitUp(String name) {
    await(name, name.equals("proxy") ? "/" : "/counts");
  }

  /** Waits until a process answers; a stand-in's 404 is an answer, an entry must say 200. */
  private void await(String name, String path) {
    long until = System.currentTimeMillis() + READY_MILLIS;
    while (!answers(name, path)) {
      if (System.currentTimeMillis() > until) {
        throw new IllegalStateException(name + " did not come up: see its log");
      }
      Faults.sleep(POLL_MILLIS);
    }
  }

  private boolean answers(String name, String path) {
    try {
      Reply reply = caller.call(OutgoingCall.get(address(name), path).withTimeout(1_000));
      return reply.isOk() || !name.startsWith("entry");
    } catch (CallFailedException e) {
      return false;
    }
  }

  private void awaitSettings(String name) {
    long until = System.currentTimeMillis() + READY_MILLIS;
    while (!hasTeam(name)) {
      if (System.currentTimeMillis() > until) {
        throw new IllegalStateException(name + " never got the settings");
      }
      Faults.sleep(POLL_MILLIS);
    }
  }

  private boolean hasTeam(String name) {
    String body = new String(Codec.json().write(admin(name, "/admin/settings", Object.class)));
    return body.contains("\"" + TEAM + "\"") && enginesKnown(name);
  }

  private boolean enginesKnown(String name) {
    return admin(name, "/admin/status", org.bulrushpier.daemon.Status.class).upstreams().stream()
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

  private static Address port() {
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
