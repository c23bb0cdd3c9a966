package org.bulrushpier.daemon.serve;

import java.util.List;

/**
 * Where an instance would send a request now, and why. Holds no key. Immutable and thread-safe.
 *
 * @param instance the name of the instance
 * @param domain its failure domain
 * @param route the name of the route, or empty
 * @param customer the name of the customer, or empty on public routes
 * @param priority the priority, 0 being the most urgent
 * @param goalMillis the time within which the caller expects the response or its first event, in
 *     milliseconds
 * @param waitMillis how long the request may take, in milliseconds
 * @param refusal why the request is refused before a replica is selected, or empty
 * @param services the services that share the requests of the route
 * @param beliefs what the decision rests on
 */
public record Explanation(
    String instance,
    String domain,
    String route,
    String customer,
    int priority,
    long goalMillis,
    long waitMillis,
    String refusal,
    List<Target> services,
    List<Belief> beliefs) {

  /** Stands for a time or a number that is not known. */
  public static final long UNKNOWN = -1;

  /** Copies the lists. */
  public Explanation {
    services = List.copyOf(services);
    beliefs = List.copyOf(beliefs);
  }

  /**
   * A service that requests of the route go to.
   *
   * @param service the name of the service
   * @param share its share of the requests, from 0 to 1
   * @param choice "send", "wait" or "refuse"
   * @param replica the id of the selected replica, or empty
   * @param reason why the request waits or is refused, or empty
   * @param waiting the requests that wait for the service at this instance
   * @param candidates its replicas: first those that may get the request, the best one first
   */
  public record Target(
      String service,
      double share,
      String choice,
      String replica,
      String reason,
      int waiting,
      List<Candidate> candidates) {

    /** Copies the list. */
    public Target {
      candidates = List.copyOf(candidates);
    }
  }

  /**
   * A replica.
   *
   * @param replica its id
   * @param domain its failure domain
   * @param exclusion the first reason for which it does not get the request, or empty
   * @param weights the version of the weights that it serves, or {@link #UNKNOWN}
   * @param inFlight the requests that this instance has in flight there
   * @param heardMillis the time since it last sent this instance anything, in milliseconds, or
   *     {@link #UNKNOWN}
   * @param prediction the prediction, or null if the replica is excluded or no engine
   * @param cost the cost by which the candidates are compared, in milliseconds for engines and in
   *     shares of the slots otherwise, or {@link #UNKNOWN} if the replica is excluded
   */
  public record Candidate(
      String replica,
      String domain,
      String exclusion,
      long weights,
      int inFlight,
      long heardMillis,
      Prediction prediction,
      double cost) {}

  /**
   * The predictions for the request at an engine.
   *
   * @param waitMillis the wait before its own prefill, in milliseconds
   * @param ownMillis the time to the first token after that, in milliseconds
   * @param faultMillis the cost of failures and overdue requests, in milliseconds
   * @param cachedTokens the tokens of the prompt that the engine holds
   * @param fetchedTokens the tokens that it would fetch from cache stores
   * @param prefillTokens the tokens that it would have to prefill
   */
  public record Prediction(
      long waitMillis,
      long ownMillis,
      long faultMillis,
      int cachedTokens,
      int fetchedTokens,
      int prefillTokens) {}

  /**
   * Something that the instance believes.
   *
   * @param name what it is about
   * @param value what is believed
   * @param ageMillis the time since it was last confirmed, in milliseconds, or {@link #UNKNOWN}
   */
  public record Belief(String name, String value, long ageMillis) {}
}
