package org.bulrushpier.rig.engine;

import java.util.HexFormat;
import java.util.List;
import org.bulrushpier.Hash;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.cache.PrefixChain;
import org.bulrushpier.cache.Prompt;

/**
 * Computes the expected answer of an {@link EngineFake}. The text is a deterministic function of
 * prompt, customer, model, weight version and token position.
 *
 * <p>Stateless and thread-safe.
 */
public final class AnswerOracle {

  private static final int TOKEN_BYTES = 4;

  private AnswerOracle() {}

  /**
   * Returns the complete expected answer.
   *
   * @param customerId the id of the customer
   * @param keyVersion model and weight version as {@code MODEL@VERSION}
   * @param messages the conversation that is sent as the prompt
   * @param maxTokens the answer's length in tokens
   * @return the tokens, each followed by a space
   */
  public static String answer(
      String customerId, String keyVersion, List<ChatMessage> messages, int maxTokens) {
    List<String> tokens = Prompt.of(messages).tokens();
    byte[] state = PrefixChain.seed(customerId, keyVersion);
    int offset = 0;
    for (; offset + PrefixChain.BLOCK_TOKENS <= tokens.size(); offset += PrefixChain.BLOCK_TOKENS) {
      state = PrefixChain.next(state, tokens.subList(offset, offset + PrefixChain.BLOCK_TOKENS));
    }
    byte[] seed = seed(state, tokens.subList(offset, tokens.size()));
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < maxTokens; i++) {
      text.append(token(seed, i)).append(' ');
    }
    return text.toString();
  }

  static byte[] seed(byte[] blockState, List<String> partialBlock) {
    return Hash.bytes(blockState, Hash.utf8(String.join(" ", partialBlock)));
  }

  static String token(byte[] seed, int position) {
    byte[] hash = Hash.bytes(seed, Hash.utf8(Integer.toString(position)));
    return HexFormat.of().formatHex(hash, 0, TOKEN_BYTES);
  }
}
