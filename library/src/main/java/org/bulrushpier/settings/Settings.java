package org.bulrushpier.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushpier.Contract;
import org.bulrushpier.Customer;
import org.bulrushpier.Deployment;
import org.bulrushpier.Domain;
import org.bulrushpier.Finding;
import org.bulrushpier.Team;
import org.bulrushpier.Upstream;

/**
 * The whole settings tree in typed form.
 *
 * <pre>{@code
 * Settings settings = SettingsTree.empty().with(subtree).settings();
 * Optional<Customer> customer = settings.customerByKeyHash(Hash.hex(key));
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param siteName the name of the site
 * @param ledgerShards the number of ledger shards
 * @param ledgerWritesPerSecond the maximum rate of platform writes by the ledger, over all shards
 * @param domains the failure domains by name
 * @param upstreams the upstreams by name
 * @param teams the teams by path
 * @param customers the customers by the SHA-256 of their API key
 * @param deployments the deployments by {@code TEAM_PATH/NAME}
 * @param contracts the operation contracts by team path
 * @param findings the validation errors of the tree, empty if it is valid
 */
public record Settings(
    String siteName,
    int ledgerShards,
    long ledgerWritesPerSecond,
    Map<String, Domain> domains,
    Map<String, Upstream> upstreams,
    Map<String, Team> teams,
    Map<String, Customer> customers,
    Map<String, Deployment> deployments,
    Map<String, List<Contract>> contracts,
    List<Finding> findings) {

  /** Makes immutable copies of the collections. */
  public Settings {
    domains = Map.copyOf(domains);
    upstreams = Map.copyOf(upstreams);
    teams = Map.copyOf(teams);
    customers = Map.copyOf(customers);
    deployments = Map.copyOf(deployments);
    contracts = Map.copyOf(contracts);
    findings = List.copyOf(findings);
  }

  /**
   * Finds the customer with a given API key.
   *
   * @param keySha256 the SHA-256 of the key
   * @return the customer, or empty if no customer or more than one has this key
   */
  public Optional<Customer> customerByKeyHash(String keySha256) {
    return Optional.ofNullable(customers.get(keySha256));
  }

  /**
   * Finds a deployment that is visible to a customer. The customer's team is searched first, then
   * its ancestors from the bottom up.
   *
   * @param customer the customer, not null
   * @param name the name of the deployment as the caller specified it
   * @return the deployment, or empty if there is none
   */
  public Optional<Deployment> deployment(Customer customer, String name) {
    for (String team = customer.team(); !team.isEmpty(); team = parent(team)) {
      Deployment found = deployments.get(team + "/" + name);
      if (found != null) {
        return Optional.of(found);
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the contract that covers a call to a plain service. The customer's team is searched
   * first, then its ancestors from the bottom up.
   *
   * @param customer the customer, not null
   * @param service the name of the service
   * @param method the HTTP method
   * @param path the path relative to the service
   * @return the contract, or empty if neither the team nor its ancestors define one
   */
  public Optional<Contract> contract(
      Customer customer, String service, String method, String path) {
    for (String team = customer.team(); !team.isEmpty(); team = parent(team)) {
      for (Contract contract : contracts.getOrDefault(team, List.of())) {
        if (contract.service().equals(service) && contract.matches(method, path)) {
          return Optional.of(contract);
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the engines that serve a model.
   *
   * @param model the model
   * @return the engines, sorted by name
   */
  public List<Upstream.Engine> engines(String model) {
    return upstreams.values().stream()
        .filter(Upstream.Engine.class::isInstance)
        .map(Upstream.Engine.class::cast)
        .filter(engine -> engine.model().equals(model))
        .sorted((a, b) -> a.name().compareTo(b.name()))
        .toList();
  }

  /**
   * Returns the replicas of a plain service.
   *
   * @param service the name of the service
   * @return the replicas, sorted by name
   */
  public List<Upstream.Service> services(String service) {
    return upstreams.values().stream()
        .filter(Upstream.Service.class::isInstance)
        .map(Upstream.Service.class::cast)
        .filter(replica -> replica.service().equals(service))
        .sorted((a, b) -> a.name().compareTo(b.name()))
        .toList();
  }

  /**
   * Returns the cache stores.
   *
   * @return the stores, sorted by name
   */
  public List<Upstream.Store> stores() {
    return upstreams.values().stream()
        .filter(Upstream.Store.class::isInstance)
        .map(Upstream.Store.class::cast)
        .sorted((a, b) -> a.name().compareTo(b.name()))
        .toList();
  }

  private static String parent(String path) {
    int slash = path.lastIndexOf('/');
    return slash < 0 ? "" : path.substring(0, slash);
  }
}
