package org.bulrushpier.rig.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.cache.PrefixChain;
import org.bulrushpier.cache.Prompt;
import org.bulrushpier.rig.engine.AnswerOracle;
import org.bulrushpier.rig.site.Site;

/**
 * The arrivals of a run, generated in advance. The same seed gives the same arrivals for every
 * routing policy, because the expected answers, which are part of later prompts, are computed
 * rather than requested.
 *
 * <p>Immutable and thread-safe.
 *
 * @param turns the arrivals in chronological order
 */
public record Workload(List<Turn> turns) {

  private static final String KEY_VERSION = Site.MODEL + "@7";

  /** Copies the list. */
  public Workload {
    turns = List.copyOf(turns);
  }

  /**
   * One arrival. Immutable and thread-safe.
   *
   * @param atMillis the intended start, in milliseconds from the beginning of the run
   * @param customer the customer's number, from 1
   * @param entry a number that selects the entry, modulo the number of entries
   * @param messages the conversation up to this turn
   * @param answerTokens the answer's length in tokens
   * @param isReturning true unless this is the conversation's first turn
   */
  public record Turn(
      long atMillis,
      int customer,
      int entry,
      List<ChatMessage> messages,
      int answerTokens,
      boolean isReturning) {

    /**
     * Returns the expected answer.
     *
     * @return the complete text
     */
    public String answer() {
      return AnswerOracle.answer(Site.customerId(customer), KEY_VERSION, messages, answerTokens);
    }
  }

  /**
   * The parameters of the generated conversations. Immutable and thread-safe.
   *
   * @param seconds the duration of the run
   * @param startsPerSecond the mean rate of new conversations (Poisson arrivals)
   * @param customers the number of customers
   * @param sharedWords the length of the system prompt that a customer's conversations share
   * @param minWords the minimum length of the first user message
   * @param maxWords the maximum length of the first user message
   * @param maxTurns the maximum number of turns in a conversation
   * @param minGapMillis the minimum time between two turns
   * @param meanExtraGapMillis the mean of the exponentially distributed time beyond the minimum
   * @param answerTokens the mean length of an answer in tokens
   */
  public record Parameters(
      int seconds,
      double startsPerSecond,
      int customers,
      int sharedWords,
      int minWords,
      int maxWords,
      int maxTurns,
      long minGapMillis,
      long meanExtraGapMillis,
      int answerTokens) {}

  /**
   * Generates a workload.
   *
   * @param parameters the parameters of the conversations
   * @param seed the seed of the random numbers
   * @return the arrivals
   */
  public static Workload of(Parameters parameters, long seed) {
    Random random = new Random(seed);
    List<Turn> turns = new ArrayList<>();
    double at = 0;
    for (int n = 0; ; n++) {
      at += -Math.log(1 - random.nextDouble()) / parameters.startsPerSecond() * 1_000;
      if (at >= parameters.seconds() * 1_000L) {
        break;
      }
      addConversation(parameters, new Random(seed * 31 + n), n, (long) at, turns);
    }
    turns.sort(Comparator.comparingLong(Turn::atMillis));
    return new Workload(turns);
  }

  private static void addConversation(
      Parameters parameters, Random random, int number, long start, List<Turn> turns) {
    int customer = customer(parameters, random);
    List<ChatMessage> messages = new ArrayList<>();
    messages.add(new ChatMessage("system", words("rule" + customer, parameters.sharedWords())));
    int words =
        parameters.minWords() + random.nextInt(parameters.maxWords() - parameters.minWords() + 1);
    messages.add(new ChatMessage("user", words("note" + number, words)));
    long at = start;
    for (int turn = 0; turn < parameters.maxTurns(); turn++) {
      int tokens = parameters.answerTokens() / 2 + random.nextInt(parameters.answerTokens());
      Turn next =
          new Turn(at, customer, random.nextInt(1_000), List.copyOf(messages), tokens, turn > 0);
      turns.add(next);
      long gap = (long) (-Math.log(1 - random.nextDouble()) * parameters.meanExtraGapMillis());
      at += parameters.minGapMillis() + gap;
      if (at >= parameters.seconds() * 1_000L) {
        return;
      }
      messages.add(new ChatMessage("assistant", next.answer()));
      messages.add(new ChatMessage("user", words("more" + number + "x" + turn, 40)));
    }
  }

  /** Draws a customer with a skew: half of the draws are limited to the first two customers. */
  private static int customer(Parameters parameters, Random random) {
    boolean isLarge = random.nextBoolean();
    return 1
        + random.nextInt(isLarge ? Math.min(2, parameters.customers()) : parameters.customers());
  }

  private static String words(String stem, int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(stem).append('-').append(i).append(' ');
    }
    return text.toString();
  }

  /**
   * The prompt tokens that must be computed under any routing policy. Immutable and thread-safe.
   *
   * @param share the share of prompt tokens that are in no prefix of an earlier arrival
   * @param tokensP95 the 95th percentile of their number per arrival
   */
  public record Unseen(double share, long tokensP95) {}

  /**
   * Computes how many prompt tokens are new to the site.
   *
   * @param fromMillis arrivals before this time add to the seen prefixes but not to the result
   * @return the share and the 95th percentile
   */
  public Unseen unseen(long fromMillis) {
    Set<String> seen = new HashSet<>();
    List<Long> counts = new ArrayList<>();
    long all = 0;
    for (Turn turn : turns) {
      String customer = Site.customerId(turn.customer());
      Prompt prompt = Prompt.of(turn.messages());
      PrefixChain chain = PrefixChain.of(customer, KEY_VERSION, prompt);
      int known = 0;
      while (known < chain.keys().size() && seen.contains(chain.keys().get(known))) {
        known++;
      }
      if (turn.atMillis() >= fromMillis) {
        all += chain.tokens();
        counts.add(chain.tokens() - (long) known * PrefixChain.BLOCK_TOKENS);
      }
      seen.addAll(PrefixChain.of(customer, KEY_VERSION, prompt.withAnswer(turn.answer())).keys());
    }
    if (counts.isEmpty()) {
      return new Unseen(0, 0);
    }
    counts.sort(null);
    long sum = counts.stream().mapToLong(Long::longValue).sum();
    return new Unseen((double) sum / all, counts.get((int) (counts.size() * 0.95)));
  }
}
