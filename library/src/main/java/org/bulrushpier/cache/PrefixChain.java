package org.bulrushpier.cache;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.bulrushpier.Hash;

/**
 * The hash chain over the blocks of a prompt, which yields their cache keys. The key of a block
 * depends on its own tokens and on all tokens before it.
 *
 * <pre>{@code
 * PrefixChain chain = PrefixChain.of("site/parks/escuela", "7", prompt);
 * chain.keys(); // a key for each full block of the prompt
 * }</pre>
 *
 * <p>Invariant: the chain starts with a hash of the customer and the weight version, so different
 * customers or weight versions never share a key. Only full blocks have keys. Immutable and
 * thread-safe.
 */
public final class PrefixChain {

  /** The number of tokens in a block. */
  public static final int BLOCK_TOKENS = 64;

  private static final int KEY_BYTES = 16;

  private final List<String> keys;
  private final String conversationKey;
  private final int tokens;

  private PrefixChain(List<String> keys, String conversationKey, int tokens) {
    this.keys = keys;
    this.conversationKey = conversationKey;
    this.tokens = tokens;
  }

  /**
   * Computes the chain of a prompt.
   *
   * @param customerId the id of the customer
   * @param weightVersion the model and version of the weights
   * @param prompt the prompt
   * @return the chain
   */
  public static PrefixChain of(String customerId, String weightVersion, Prompt prompt) {
    byte[] seed = seed(customerId, weightVersion);
    List<String> keys = new ArrayList<>();
    List<String> tokens = prompt.tokens();
    byte[] previous = seed;
    for (int end = BLOCK_TOKENS; end <= tokens.size(); end += BLOCK_TOKENS) {
      previous = next(previous, tokens.subList(end - BLOCK_TOKENS, end));
      keys.add(key(previous));
    }
    byte[] opening = next(seed, tokens.subList(0, prompt.openingTokens()));
    return new PrefixChain(List.copyOf(keys), key(opening), tokens.size());
  }

  /**
   * Returns the initial hash of a chain.
   *
   * @param customerId the id of the customer
   * @param weightVersion the model and version of the weights
   * @return the 32-byte hash
   */
  public static byte[] seed(String customerId, String weightVersion) {
    return Hash.bytes(Hash.utf8(customerId), Hash.utf8(weightVersion));
  }

  /**
   * Returns the chain hash of a block.
   *
   * @param previous the chain hash of the preceding block, or the seed
   * @param tokens the tokens of the block
   * @return the 32-byte hash
   */
  public static byte[] next(byte[] previous, List<String> tokens) {
    return Hash.bytes(previous, Hash.utf8(String.join(" ", tokens)));
  }

  /**
   * Returns the key of a block, which is a prefix of its chain hash.
   *
   * @param chainHash the 32-byte chain hash of the block
   * @return 32 hexadecimal digits
   */
  public static String key(byte[] chainHash) {
    return HexFormat.of().formatHex(chainHash, 0, KEY_BYTES);
  }

  /**
   * Returns the keys of all full blocks.
   *
   * @return an unmodifiable list, in prefix order
   */
  public List<String> keys() {
    return keys;
  }

  /**
   * Returns the key of the conversation, which is the same for all of its turns.
   *
   * @return 32 hexadecimal digits
   */
  public String conversationKey() {
    return conversationKey;
  }

  /**
   * Returns the length of the prompt.
   *
   * @return the number of tokens
   */
  public int tokens() {
    return tokens;
  }
}
