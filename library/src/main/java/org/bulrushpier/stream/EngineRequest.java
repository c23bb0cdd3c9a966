package org.bulrushpier.stream;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.bulrushpier.cache.ChatMessage;

/**
 * The body of a completion request to an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model
 * @param messages the conversation
 * @param maxTokens the maximum length of the answer in tokens
 * @param attempt the id of the attempt, which every event of the answer repeats
 * @param customer the id of the customer
 * @param weightVersion the weight version to use; an engine that serves another one rejects the
 *     request
 * @param priority the priority, 0 (lowest) to 9
 * @param partial the part of the answer that the caller has already received, or empty
 * @param offset the length of that part in tokens
 */
public record EngineRequest(
    String model,
    List<ChatMessage> messages,
    @JsonProperty("max_tokens") int maxTokens,
    String attempt,
    String customer,
    @JsonProperty("weight_version") String weightVersion,
    int priority,
    String partial,
    int offset) {}
