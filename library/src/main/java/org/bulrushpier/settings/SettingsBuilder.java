package org.bulrushpier.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bulrushpier.Contract;
import org.bulrushpier.Customer;
import org.bulrushpier.Deployment;
import org.bulrushpier.Domain;
import org.bulrushpier.Finding;
import org.bulrushpier.Limits;
import org.bulrushpier.Team;
import org.bulrushpier.Upstream;

/**
 * Builds typed settings from the texts of all subtrees and collects the findings.
 *
 * <p>Parents are read before their children, so that the limits of a child can be checked against
 * those granted by its parent. Not thread-safe; use a separate builder for each tree.
 */
final class SettingsBuilder {

  /** The upper bound of all rates per second and of the concurrency and queue limits. */
  private static final long MAX_RATE = 1_000_000;

  private static final long MAX_DEADLINE_MILLIS = 3_600_000;
  private static final long DEFAULT_DEADLINE_MILLIS = 30_000;
  private static final int MAX_LEDGER_SHARDS = 256;
  private static final Set<String> METHODS = Set.of("GET", "POST", "PUT", "PATCH", "DELETE");

  private final TreeMap<String, Subtree> subtrees;
  private final List<Finding> findings = new ArrayList<>();
  private final Map<String, Domain> domains = new HashMap<>();
  private final Map<String, Upstream> upstreams = new HashMap<>();
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, Customer> customers = new HashMap<>();
  private final Set<String> duplicateKeys = new HashSet<>();
  private final Map<String, Deployment> deployments = new HashMap<>();
  private final Map<String, List<Contract>> contracts = new HashMap<>();
  private String siteName = "";
  private int ledgerShards = 1;
  private long ledgerWritesPerSecond = 45;

  SettingsBuilder(TreeMap<String, Subtree> subtrees) {
    this.subtrees = subtrees;
  }

  Settings build() {
    subtrees.values().forEach(this::readSubtree);
    duplicateKeys.forEach(customers::remove);
    return new Settings(
        siteName,
        ledgerShards,
        ledgerWritesPerSecond,
        domains,
        upstreams,
        teams,
        customers,
        deployments,
        contracts,
        findings);
  }

  private void readSubtree(Subtree subtree) {
    String path = subtree.path();
    if (!path.equals(Subtree.ROOT) && !teams.containsKey(path)) {
      findings.add(new Finding(path, 0, "", "", "team is not defined in its parent"));
    }
    List<IniSection> sections = new IniReader(path, findings).read(subtree.text());
    for (IniSection section : ordered(sections)) {
      SectionReader reader = new SectionReader(path, section, findings);
      readSection(path, section, reader);
      reader.reportUnknownKeys();
    }
  }

  /** Moves the site and domain sections to the front, because other sections refer to them. */
  private static List<IniSection> ordered(List<IniSection> sections) {
    List<IniSection> ordered = new ArrayList<>();
    sections.stream().filter(SettingsBuilder::isReferredTo).forEach(ordered::add);
    sections.stream().filter(s -> !isReferredTo(s)).forEach(ordered::add);
    return ordered;
  }

  private static boolean isReferredTo(IniSection section) {
    return section.kind().equals("site") || section.kind().equals("domain");
  }

  private void readSection(String path, IniSection section, SectionReader reader) {
    boolean isRoot = path.equals(Subtree.ROOT);
    switch (section.kind()) {
      case "site" -> rootOnly(isRoot, reader, () -> readSite(reader));
      case "domain" -> rootOnly(isRoot, reader, () -> readDomain(reader));
      case "engine" -> rootOnly(isRoot, reader, () -> readEngine(reader));
      case "service" -> rootOnly(isRoot, reader, () -> readService(reader));
      case "store" -> rootOnly(isRoot, reader, () -> readStore(reader));
      case "team" -> readTeam(path, reader);
      case "customer" -> readCustomer(path, reader);
      case "deployment" -> readDeployment(path, reader);
      case "operation" -> readOperation(path, reader);
      default -> {
        reader.addFinding("", "'" + section.kind() + "' is not a known kind of section");
        section.values().keySet().forEach(key -> reader.optional(key, ""));
      }
    }
  }

  private static void rootOnly(boolean isRoot, SectionReader reader, Runnable read) {
    if (!isRoot) {
      reader.addFinding("", "is allowed only in the root subtree '" + Subtree.ROOT + "'");
    }
    read.run();
  }

  private void readSite(SectionReader reader) {
    siteName = reader.text("name");
    ledgerShards = (int) reader.integer("ledger-shards", 1, MAX_LEDGER_SHARDS, 1);
    ledgerWritesPerSecond = reader.integer("ledger-writes-per-second", 1, MAX_RATE, 45);
    teams.put(Subtree.ROOT, new Team(siteName, Subtree.ROOT, "", limits(reader, "")));
  }

  private void readDomain(SectionReader reader) {
    String name = reader.name();
    domains.put(name, new Domain(name, reader.text("region")));
  }

  private String domain(SectionReader reader) {
    String domain = reader.text("domain");
    if (!domain.isEmpty() && !domains.containsKey(domain)) {
      reader.addFinding("domain", "no failure domain is named '" + domain + "'");
    }
    return domain;
  }

  private void readEngine(SectionReader reader) {
    put(
        reader,
        new Upstream.Engine(
            reader.name(),
            reader.address("address"),
            domain(reader),
            reader.text("model"),
            reader.yesOrNo("checks-fencing", false),
            reader.integer("prefill-tokens-per-second", 1, MAX_RATE, 8_000)));
  }

  private void readService(SectionReader reader) {
    put(
        reader,
        new Upstream.Service(
            reader.name(), reader.address("address"), domain(reader), reader.text("service")));
  }

  private void readStore(SectionReader reader) {
    long maxLinkBytesPerSecond = 100_000_000_000L;
    put(
        reader,
        new Upstream.Store(
            reader.name(),
            reader.address("address"),
            domain(reader),
            reader.integer("link-bytes-per-second", 1, maxLinkBytesPerSecond, 100_000_000)));
  }

  private void put(SectionReader reader, Upstream upstream) {
    if (upstreams.put(upstream.name(), upstream) != null) {
      reader.addFinding("", "an upstream of this name is already defined");
    }
  }

  private Limits limits(SectionReader reader, String parentPath) {
    Team parent = teams.get(parentPath);
    Limits cap = parent == null ? new Limits(MAX_RATE, MAX_RATE, MAX_RATE) : parent.limits();
    Limits limits =
        new Limits(
            reader.integer("rate-limit", 1, MAX_RATE, cap.requestsPerSecond()),
            reader.integer("concurrency-limit", 1, MAX_RATE, cap.maxInFlight()),
            reader.integer("queue-limit", 0, MAX_RATE, Math.min(cap.maxQueued(), 100)));
    checkWithinParent(reader, "rate-limit", limits.requestsPerSecond(), cap.requestsPerSecond());
    checkWithinParent(reader, "concurrency-limit", limits.maxInFlight(), cap.maxInFlight());
    return limits;
  }

  private static void checkWithinParent(SectionReader reader, String key, long value, long cap) {
    if (value > cap) {
      reader.addFinding(key, value + " exceeds the " + cap + " granted by the parent");
    }
  }

  private void readTeam(String path, SectionReader reader) {
    String name = reader.name();
    String teamPath = path + "/" + name;
    Limits limits = limits(reader, path);
    teams.put(teamPath, new Team(name, teamPath, reader.keyHash("operator-key-sha256"), limits));
  }

  private void readCustomer(String path, SectionReader reader) {
    String keyHash = reader.keyHash("key-sha256");
    Limits limits = limits(reader, path);
    int weight = (int) reader.integer("weight", 1, 1_000, 1);
    int priority = (int) reader.integer("priority", 0, 9, 5);
    Customer customer = new Customer(reader.name(), path, keyHash, limits, weight, priority);
    Customer other = customers.put(keyHash, customer);
    if (other != null && !keyHash.isEmpty()) {
      duplicateKeys.add(keyHash);
      reader.addFinding("key-sha256", "customer " + other.id() + " has the same key");
    }
  }

  private void readDeployment(String path, SectionReader reader) {
    String name = reader.name();
    String model = reader.text("model");
    boolean isDefined =
        upstreams.values().stream()
            .anyMatch(u -> u instanceof Upstream.Engine engine && engine.model().equals(model));
    if (!model.isEmpty() && !isDefined) {
      reader.addFinding("model", "no engine serves the model '" + model + "'");
    }
    Deployment.Prices prices =
        new Deployment.Prices(
            reader.decimal("recomputed-token-price-ms", 0, 1_000, 0.02),
            reader.decimal("link-megabyte-price-ms", 0, 100_000, 0.1));
    deployments.put(
        path + "/" + name,
        new Deployment(
            name,
            path,
            model,
            reader.text("weight-version"),
            prices,
            reader.integer("deadline-ms", 1, MAX_DEADLINE_MILLIS, DEFAULT_DEADLINE_MILLIS)));
  }

  private void readOperation(String path, SectionReader reader) {
    String service = reader.text("service");
    boolean isDefined =
        upstreams.values().stream()
            .anyMatch(u -> u instanceof Upstream.Service s && s.service().equals(service));
    if (!service.isEmpty() && !isDefined) {
      reader.addFinding("service", "no instance of the service '" + service + "' is defined");
    }
    String method = reader.text("method");
    if (!method.isEmpty() && !METHODS.contains(method)) {
      reader.addFinding(
          "method", "'" + method + "' is not one of " + new java.util.TreeSet<>(METHODS));
    }
    String callPath = reader.text("path");
    if (!callPath.isEmpty() && !callPath.startsWith("/")) {
      reader.addFinding("path", "must start with '/'");
    }
    boolean isIdempotent = reader.yesOrNo("idempotent", false);
    long deadlineMillis =
        reader.integer("deadline-ms", 1, MAX_DEADLINE_MILLIS, DEFAULT_DEADLINE_MILLIS);
    contracts
        .computeIfAbsent(path, p -> new ArrayList<>())
        .add(new Contract(reader.name(), service, method, callPath, isIdempotent, deadlineMillis));
  }
}
