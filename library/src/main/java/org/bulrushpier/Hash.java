package org.bulrushpier;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 hash functions.
 *
 * <pre>{@code
 * String stored = Hash.hex("operator key");
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class Hash {

  /** The length of a digest in bytes. */
  public static final int BYTES = 32;

  private Hash() {}

  /**
   * Hashes parts in order, each prefixed with its length, so that different lists of parts with the
   * same concatenation have different hashes.
   *
   * @param parts the parts, none null
   * @return the 32-byte digest
   */
  public static byte[] bytes(byte[]... parts) {
    MessageDigest digest = digest();
    for (byte[] part : parts) {
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
      digest.update(part);
    }
    return digest.digest();
  }

  /**
   * Hashes the UTF-8 encoding of a text, without a length prefix; equal to the output of {@code
   * sha256sum}.
   *
   * @param text the text, not null
   * @return 64 lower-case hexadecimal digits
   */
  public static String hex(String text) {
    return HexFormat.of().formatHex(digest().digest(utf8(text)));
  }

  /**
   * Hashes bytes, without a length prefix.
   *
   * @param bytes the bytes, not null
   * @return 64 lower-case hexadecimal digits
   */
  public static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(digest().digest(bytes));
  }

  /**
   * Hashes texts to 64 bits.
   *
   * @param parts the texts, none null
   * @return a hash that is uniformly distributed over all long values
   */
  public static long hash64(String... parts) {
    byte[][] encoded = new byte[parts.length][];
    for (int i = 0; i < parts.length; i++) {
      encoded[i] = utf8(parts[i]);
    }
    return ByteBuffer.wrap(bytes(encoded)).getLong();
  }

  /** Returns the UTF-8 encoding of a text. */
  public static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, although every Java platform must provide it", e);
    }
  }
}
