package org.bulrushpier.rig.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.bulrushpier.cache.PrefixChain;
import org.bulrushpier.cache.Prompt;
import org.bulrushpier.stream.ChatChunk;
import org.bulrushpier.stream.EngineRequest;

/**
 * A prompt and its answer while they are computed in the batch.
 *
 * <p>Guarded by the lock of the {@link Batch}, except for the chunk queue and the cancellation
 * flag, which are shared with the thread that writes the response. That thread also reads the token
 * counts without the lock, when its stream has ended.
 */
final class Sequence {

  private static final String END_TOKEN = "<end>";

  private final EngineRequest request;
  private final String keyVersion;
  private final BlockCache cache;
  private final List<String> tokens;
  private final int promptTokens;
  private final BlockingQueue<ChatChunk> chunks = new LinkedBlockingQueue<>();
  private volatile boolean isCancelled;
  private boolean isStarted;
  private int cachedTokens;
  private int computed;
  private byte[] state;
  private byte[] promptSeed;
  private int emitted;

  Sequence(EngineRequest request, BlockCache cache) {
    this.request = request;
    this.cache = cache;
    this.keyVersion = request.model() + "@" + request.weightVersion();
    List<String> prompt = Prompt.of(request.messages()).tokens();
    this.promptTokens = prompt.size();
    this.tokens = new ArrayList<>(prompt);
    if (!request.partial().isBlank()) {
      tokens.addAll(List.of(request.partial().strip().split("\\s+")));
    }
    this.emitted = request.offset();
  }

  EngineRequest request() {
    return request;
  }

  BlockingQueue<ChatChunk> chunks() {
    return chunks;
  }

  int promptTokens() {
    return promptTokens;
  }

  int cachedTokens() {
    return cachedTokens;
  }

  int emitted() {
    return emitted;
  }

  boolean isCancelled() {
    return isCancelled;
  }

  void cancel() {
    isCancelled = true;
  }

  /** Loads the longest cached prefix; has no effect after the first invocation. */
  void loadCachedPrefix() {
    if (isStarted) {
      return;
    }
    isStarted = true;
    state = PrefixChain.seed(request.customer(), keyVersion);
    byte[] candidate = state;
    int fullBlocks = tokens.size() / PrefixChain.BLOCK_TOKENS;
    for (int block = 0; block < fullBlocks; block++) {
      candidate = PrefixChain.next(candidate, block(block));
      byte[] cached = cache.state(PrefixChain.key(candidate));
      if (cached == null) {
        break;
      }
      advance(cached, (block + 1) * PrefixChain.BLOCK_TOKENS);
    }
    cachedTokens = Math.min(computed, promptTokens);
  }

  private void advance(byte[] nextState, int endOffset) {
    if (computed <= promptTokens && endOffset > promptTokens) {
      promptSeed = seed(state);
    }
    state = nextState;
    computed = endOffset;
  }

  int waitingTokens() {
    return isStarted ? tokens.size() - computed : tokens.size();
  }

  /** Prefills at most {@code budget} prompt tokens and returns how many were computed. */
  int prefill(int budget) {
    int count = Math.min(budget, tokens.size() - computed);
    int endOffset = computed + count;
    int fullBlocks = endOffset / PrefixChain.BLOCK_TOKENS;
    for (int index = computed / PrefixChain.BLOCK_TOKENS; index < fullBlocks; index++) {
      int blockEnd = (index + 1) * PrefixChain.BLOCK_TOKENS;
      byte[] next = PrefixChain.next(state, block(index));
      if (promptSeed == null && blockEnd > promptTokens) {
        promptSeed = seed(state);
      }
      state = next;
      cache.put(PrefixChain.key(next), next);
    }
    computed = endOffset;
    return count;
  }

  boolean isPrefilled() {
    return isStarted && computed == tokens.size();
  }

  /** Decodes the next token and queues its chunk. */
  void decode() {
    if (promptSeed == null) {
      promptSeed = seed(state);
    }
    String token = AnswerOracle.token(promptSeed, emitted);
    chunks.add(
        ChatChunk.token(
            request.attempt(), request.model(), request.weightVersion(), emitted, token + " "));
    emitted++;
    append(token);
  }

  boolean isDone() {
    return emitted >= request.maxTokens();
  }

  /** Queues the final chunk. */
  void finish() {
    append(END_TOKEN);
    ChatChunk.Usage usage = new ChatChunk.Usage(promptTokens, emitted, cachedTokens);
    chunks.add(
        ChatChunk.end(request.attempt(), request.model(), request.weightVersion(), emitted, usage));
  }

  private void append(String token) {
    tokens.add(token);
    computed++;
    if (computed % PrefixChain.BLOCK_TOKENS == 0) {
      state = PrefixChain.next(state, block(computed / PrefixChain.BLOCK_TOKENS - 1));
      cache.put(PrefixChain.key(state), state);
    }
  }

  private byte[] seed(byte[] blockState) {
    int firstToken = promptTokens / PrefixChain.BLOCK_TOKENS * PrefixChain.BLOCK_TOKENS;
    return AnswerOracle.seed(blockState, tokens.subList(firstToken, promptTokens));
  }

  private List<String> block(int number) {
    int firstToken = number * PrefixChain.BLOCK_TOKENS;
    return tokens.subList(firstToken, firstToken + PrefixChain.BLOCK_TOKENS);
  }
}
