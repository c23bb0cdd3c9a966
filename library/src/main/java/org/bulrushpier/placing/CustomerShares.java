package org.bulrushpier.placing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.TreeMap;

/**
 * Orders waiting requests of one priority by weighted fair queueing over their customers.
 *
 * <p>Each request gets a start tag: the work of its customer before it while requests waited,
 * divided by the customer's weight. The request with the smallest tag is next. The weight of a
 * customer is its usual demand, so that in a lasting shortage all customers are served in
 * proportion to it, and a burst of one of them waits behind the others instead of in front of them.
 * A large request delays only later ones of the same customer. A request that ended without being
 * placed leaves nothing behind. Customers whose demand has halved away are forgotten.
 *
 * <p>Invariant: a request's tag is never smaller than that of a waiting request of the same
 * customer, or than the greatest tag of those that were placed. Not thread-safe; guarded by the
 * lock of the gateway's event loop.
 */
final class CustomerShares {

  /** The time in which an earlier demand halves, in milliseconds. */
  private static final long HALF_LIFE_MILLIS = 10_000;

  /** The time without arrivals after which a customer is forgotten, in milliseconds. */
  static final long IDLE_MILLIS = 10 * HALF_LIFE_MILLIS;

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
    private double finish;

    /** The number of waiting requests by start tag. */
    private final TreeMap<Double, Integer> waiting = new TreeMap<>();

    private double usual(long nowMillis) {
      double age = Math.max(0, nowMillis - updatedMillis);
      return usualTokens * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }

    private boolean isForgettable(long nowMillis) {
      return waiting.isEmpty() && nowMillis - updatedMillis > IDLE_MILLIS;
    }

    private void left(double start) {
      waiting.computeIfPresent(start, (tag, count) -> count == 1 ? null : count - 1);
    }
  }

  /** In the order of the last arrivals. */
  private final LinkedHashMap<String, Account> accounts = new LinkedHashMap<>();

  private double virtualTime;
  private double greatestFinish;

  /**
   * Records the arrival of a request, whether or not it has to wait.
   *
   * @param customer the name of the customer
   * @param tokens the size of the request, in tokens
   * @param nowMillis the current monotonic time, in milliseconds
   */
  void arrived(String customer, int tokens, long nowMillis) {
    Account account = accounts.remove(customer);
    if (account == null) {
      account = new Account();
    }
    account.usualTokens = account.usual(nowMillis) + Math.max(1, tokens);
    account.updatedMillis = nowMillis;
    accounts.put(customer, account);
    forgetIdle(nowMillis);
  }

  /** Looks only at the customers that are forgotten and the next one. */
  private void forgetIdle(long nowMillis) {
    Iterator<Account> oldest = accounts.values().iterator();
    while (oldest.hasNext() && oldest.next().isForgettable(nowMillis)) {
      oldest.remove();
    }
  }

  /** Returns the start tag that the customer's next request would get. */
  double nextStart(String customer) {
    Account account = accounts.get(customer);
    if (account == null) {
      return virtualTime;
    }
    double start = Math.max(virtualTime, account.finish - TOLERANCE);
    return account.waiting.isEmpty() ? start : Math.max(start, account.waiting.lastKey());
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
    account.waiting.merge(start, 1, Integer::sum);
    account.finish = Math.max(virtualTime, account.finish) + cost;
    greatestFinish = Math.max(greatestFinish, account.finish);
    return start;
  }

  /** Takes back the charge for a request with a start tag that ended without being placed. */
  void refund(String customer, double start, double cost) {
    Account account = accounts.get(customer);
    account.left(start);
    account.finish -= cost;
  }

  /** Records that a customer's request with a start tag was placed. */
  void placed(String customer, double start) {
    accounts.get(customer).left(start);
    virtualTime = Math.max(virtualTime, start);
  }

  /** Forgets all charges, as no request waits any more. */
  void settle() {
    virtualTime = Math.max(virtualTime, greatestFinish);
  }

  /** Returns the number of customers that are remembered. */
  int size() {
    return accounts.size();
  }
}
