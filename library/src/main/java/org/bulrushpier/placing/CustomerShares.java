package org.bulrushpier.placing;

import java.util.HashMap;
import java.util.Map;

/**
 * Orders waiting requests of one priority by weighted fair queueing over their customers.
 *
 * <p>Each request gets a start tag: the work of its customer before it while requests waited,
 * divided by the customer's weight. The request with the smallest tag is next. The weight of a
 * customer is its usual demand, so that in a lasting shortage all customers are served in
 * proportion to it, and a burst of one of them waits behind the others instead of in front of them.
 * A large request delays only later ones of the same customer.
 *
 * <p>Invariant: the tags of one customer's requests never decrease while any request waits. Not
 * thread-safe; guarded by the lock of the gateway's event loop.
 */
final class CustomerShares {

  /** The time in which an earlier demand halves, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 10_000;

  /**
   * The time for which a customer may be ahead of its share before it waits behind others, in
   * milliseconds. Without it, the chance fluctuations of customers with few requests would count as
   * bursts.
   */
  private static final double TOLERANCE_MILLIS = 500;

  /** The same as a part of the usual demand, which is what arrives in the mean lifetime. */
  private static final double TOLERANCE = TOLERANCE_MILLIS * Math.log(2) / HALF_LIFE_MILLIS;

  private static final class Account {
    private double usualTokens;
    private long updatedMillis;
    private double lastStart;
    private double finish;

    private double usual(long nowMillis) {
      double age = Math.max(0, nowMillis - updatedMillis);
      return usualTokens * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }
  }

  private final Map<String, Account> accounts = new HashMap<>();
  private double virtualTime;

  /**
   * Records the arrival of a request, whether or not it has to wait.
   *
   * @param customer the name of the customer
   * @param tokens the size of the request, in tokens
   * @param nowMillis the current monotonic time, in milliseconds
   */
  void arrived(String customer, int tokens, long nowMillis) {
    Account account = accounts.computeIfAbsent(customer, name -> new Account());
    account.usualTokens = account.usual(nowMillis) + Math.max(1, tokens);
    account.updatedMillis = nowMillis;
  }

  /** Returns the start tag that the customer's next request would get. */
  double nextStart(String customer) {
    Account account = accounts.get(customer);
    return account == null
        ? virtualTime
        : Math.max(virtualTime, Math.max(account.lastStart, account.finish - TOLERANCE));
  }

  /**
   * Returns what a request costs its customer.
   *
   * @param customer the name of the customer
   * @param tokens the size of the request, in tokens
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the size in relation to the customer's usual demand, at most 1
   */
  double cost(String customer, int tokens, long nowMillis) {
    double size = Math.max(1, tokens);
    Account account = accounts.get(customer);
    return account == null ? 1 : size / Math.max(size, account.usual(nowMillis));
  }

  /**
   * Charges a request that begins to wait.
   *
   * @param customer the name of the customer
   * @param cost its cost
   * @return its start tag
   */
  double charge(String customer, double cost) {
    double start = nextStart(customer);
    Account account = accounts.computeIfAbsent(customer, name -> new Account());
    account.lastStart = start;
    account.finish = Math.max(start, account.finish) + cost;
    return start;
  }

  /** Takes back the charge for a request that ended without being placed. */
  void refund(String customer, double cost) {
    accounts.get(customer).finish -= cost;
  }

  /** Records that the request with a start tag was placed. */
  void placed(double start) {
    virtualTime = Math.max(virtualTime, start);
  }

  /** Forgets all charges, as no request waits any more. */
  void settle() {
    virtualTime = 0;
    for (Account account : accounts.values()) {
      account.lastStart = 0;
      account.finish = 0;
    }
  }
}
