package org.bulrushpier.placing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.rollout.WeightsWish;
import org.bulrushpier.routing.Rendezvous;
import org.bulrushpier.site.Service;

/**
 * Chooses the engine for a generation: the one with the least predicted time to its first token.
 *
 * <p>The load it answers: long prompts whose sessions return, of which an engine's memory holds a
 * handful, beside many short ones. The prediction adds up the prompts that wait to be read there,
 * the part of this prompt that is not cached, and a wait for memory where running requests fill it.
 * Instances that know nothing of each other's sends agree on a home for each session by rendezvous
 * hashing, which breaks near ties.
 *
 * <p>Not thread-safe; guarded by the lock of the tables.
 */
public final class EnginePlacement {

  /** How long a load told with an answer is believed, in milliseconds: a few answers' distance. */
  private static final long TOLD_LIFE_MILLIS = 700;

  /** What a session's home is worth, in tokens: less than a session's usual history. */
  private static final int HOME_TOKENS = 1_500;

  /** What crossing failure domains costs, in tokens: a millisecond of reading. */
  private static final int CROSSING_TOKENS = 60;

  /** How many other calls' tokens stand for one told call whose size is not known. */
  private static final int OTHER_TOKENS = 1_500;

  /** What reading a shared token again costs besides its time, in milliseconds of waiting. */
  private static final double SHARED_READ_MILLIS = 0.12;

  /** The wait for memory to come free, in milliseconds: about one generation. */
  private static final double MEMORY_WAIT_MILLIS = 400;

  /** What each call late at a replica adds, in milliseconds, as it may not answer at all. */
  private static final double OVERDUE_MILLIS = 700;

  /** A share of failures that is no sign of a faulty engine. */
  private static final double USUAL_FAILURES = 0.1;

  /** What an engine that fails every call costs, in milliseconds. */
  private static final double FAILURE_MILLIS = 3_000;

  /** What an engine costs that lately took no connection or did not answer, in milliseconds. */
  private static final double UNREACHABLE_MILLIS = 2_000;

  /** Decode slows down with each running call, in milliseconds to the first token. */
  private static final double RUNNING_MILLIS = 0.6;

  /** The share of an engine's memory that calls may be planned to fill. */
  private static final double MEMORY_SHARE = 0.95;

  /** The shortest advice on when to return, in milliseconds. */
  private static final long MIN_RETRY_MILLIS = 100;

  private final String domain;
  private final ReadingRate rate;

  private EnginePlacement(String domain, ReadingRate rate) {
    this.domain = domain;
    this.rate = rate;
  }

  /**
   * Creates the policy of an instance.
   *
   * @param domain the instance's failure domain
   * @param rate the learned reading rate
   * @return the policy
   */
  public static EnginePlacement of(String domain, ReadingRate rate) {
    return new EnginePlacement(domain, rate);
  }

  /**
   * Chooses.
   *
   * @param prompt the generation
   * @param salts the salt under which an engine's parts are cached, by version
   * @param service the engines' service
   * @param engines the replicas to choose from, all usable
   * @param weights the wanted weights
   * @param stores the stores of cache parts
   * @param excluded ids of replicas that this call was sent to before
   * @param leftMillis how long the caller still waits
   * @param nowMillis the steady time
   * @return the engine, or a refusal
   */
  public Placement choose(
      PromptShape prompt,
      IntFunction<String> salts,
      Service.Engines service,
      List<Replica> engines,
      WeightsWish weights,
      Collection<CacheStoreState> stores,
      Set<String> excluded,
      long leftMillis,
      long nowMillis) {
    Replica best = null;
    CachePlan bestPlan = CachePlan.EMPTY;
    double bestCost = Double.MAX_VALUE;
    double bestMillis = Double.MAX_VALUE;
    String home = home(prompt, engines);
    Map<Integer, PartSources> sources = new HashMap<>();
    for (Replica engine : engines) {
      if (excluded.contains(engine.entry().id())) {
        continue;
      }
      int version = engine.version(prompt.model());
      String salt = salts.apply(version);
      PartSources found =
          sources.computeIfAbsent(
              version, v -> PartSources.of(prompt.parts(), salt, stores, nowMillis));
      CachePlan plan = CachePlanner.plan(prompt, salt, service, engine, found);
      double millis = predict(prompt, service, engine, plan, nowMillis);
      if (!weights.allows(version, millis)) {
        continue;
      }
      double tokens = 0;
      if (!engine.entry().domain().equals(domain)) {
        tokens += CROSSING_TOKENS;
      }
      if (engine.entry().id().equals(home)) {
        tokens -= Math.min(HOME_TOKENS, plan.readTokens());
      }
      double cost =
          millis
              + rate.millis(tokens)
              + plan.sharedReadTokens() * SHARED_READ_MILLIS
              + weights.penaltyMillis(version);
      if (cost < bestCost) {
        best = engine;
        bestCost = cost;
        bestMillis = millis;
        bestPlan = plan;
      }
    }
    if (best == null) {
      return new Placement.Refuse("no engine can take it", MIN_RETRY_MILLIS);
    }
    if (bestMillis > leftMillis) {
      long wait = Math.max(MIN_RETRY_MILLIS, (long) (bestMillis - leftMillis));
      return new Placement.Refuse("predicted first token after " + (long) bestMillis + " ms", wait);
    }
    return new Placement.Send(best, bestPlan, (long) Math.ceil(bestMillis));
  }

  private double predict(
      PromptShape prompt, Service.Engines service, Replica engine, CachePlan plan, long nowMillis) {
    int others = engine.others(nowMillis, TOLD_LIFE_MILLIS);
    int othersWaiting = Math.min(others, engine.told().waiting());
    double unread =
        engine.unreadTokens() + (double) othersWaiting * OTHER_TOKENS + plan.readTokens();
    double millis =
        rate.millis(unread)
            + plan.transferMillis()
            + engine.transferMillis()
            + (engine.own() + others) * RUNNING_MILLIS;
    double held = engine.heldTokens() + (double) others * OTHER_TOKENS + prompt.totalTokens();
    double room = service.memoryTokens() * MEMORY_SHARE;
    if (held > room) {
      millis += MEMORY_WAIT_MILLIS * held / room;
    }
    int calls = engine.own() + others;
    if (service.slots() > 0 && calls >= service.slots()) {
      millis += MEMORY_WAIT_MILLIS * (calls + 1 - service.slots()) / service.slots();
    }
    double failures = Math.max(0, engine.failureShare(nowMillis) - USUAL_FAILURES);
    return millis
        + engine.overdue(nowMillis) * OVERDUE_MILLIS
        + failures * FAILURE_MILLIS
        + (engine.isUnreachable(nowMillis) ? UNREACHABLE_MILLIS : 0);
  }

  /** The engine that all instances would choose for a session, if they knew nothing else. */
  private static String home(PromptShape prompt, List<Replica> engines) {
    int parts = prompt.parts().size();
    if (parts == 0 || engines.isEmpty()) {
      return "";
    }
    String session = prompt.parts().get(Math.max(0, parts - 2)).id();
    List<String> ids = engines.stream().map(engine -> engine.entry().id()).toList();
    return Rendezvous.first(session, ids);
  }
}
