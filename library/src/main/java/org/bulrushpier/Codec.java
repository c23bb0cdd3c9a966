package org.bulrushpier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Serializes and deserializes messages, as JSON for external systems or as MessagePack between
 * entries.
 *
 * <pre>{@code
 * byte[] bytes = Codec.messagePack().write(message);
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 */
public final class Codec {

  private static final Codec JSON = new Codec(JsonMapper.builder().build(), false);
  private static final Codec MESSAGE_PACK =
      new Codec(new ObjectMapper(new MessagePackFactory()), true);

  private final ObjectMapper mapper;
  private final boolean isBinary;

  private Codec(ObjectMapper mapper, boolean isBinary) {
    this.isBinary = isBinary;
    this.mapper = mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
  }

  /** Returns the JSON codec. */
  public static Codec json() {
    return JSON;
  }

  /** Returns the MessagePack codec. */
  public static Codec messagePack() {
    return MESSAGE_PACK;
  }

  /**
   * Serializes a message.
   *
   * @param message the message
   * @return the encoded bytes
   * @throws IllegalArgumentException if the type of the message cannot be serialized
   */
  public byte[] write(Object message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "message: " + message.getClass() + " cannot be serialized", e);
    }
  }

  /**
   * Deserializes a message.
   *
   * @param <T> the type of the message
   * @param bytes the encoded bytes
   * @param type the class of the message
   * @return the message, never null
   * @throws BulrushpierException with {@link ErrorCode#BAD_REQUEST} if the bytes do not encode a
   *     message of this type
   */
  public <T> T read(byte[] bytes, Class<T> type) {
    try {
      if (isBinary) {
        checkLengths(bytes);
      }
      T message = mapper.readValue(bytes, type);
      if (message == null) {
        throw malformed(type, "value is null", null);
      }
      return message;
    } catch (IOException | RuntimeException e) {
      throw e instanceof BulrushpierException known ? known : malformed(type, e.getMessage(), e);
    }
  }

  /**
   * Deserializes a message of any type into a tree.
   *
   * @param bytes the encoded bytes
   * @return the root node of the tree
   * @throws BulrushpierException with {@link ErrorCode#BAD_REQUEST} if the bytes are malformed
   */
  public JsonNode readTree(byte[] bytes) {
    return read(bytes, JsonNode.class);
  }

  /**
   * Skips over a MessagePack value without building it, so that a declared length beyond the end of
   * the input fails here. The object mapper would allocate the declared length before it noticed.
   */
  private static void checkLengths(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
    }
  }

  private static BulrushpierException malformed(Class<?> type, String reason, Throwable cause) {
    String firstLine = String.valueOf(reason).lines().findFirst().orElse("");
    String message = "body is not a " + type.getSimpleName() + ": " + firstLine;
    return BulrushpierException.notRun(ErrorCode.BAD_REQUEST, message).withCause(cause);
  }
}
