package org.bulrushpier.daemon.http;

import java.util.Map;
import org.bulrushpier.Codec;

/**
 * The complete response of another process.
 *
 * <p>Immutable and thread-safe as long as the body array is not modified.
 *
 * @param status the HTTP status
 * @param headers the headers by lower-case name
 * @param body the body
 */
public record Reply(int status, Map<String, String> headers, byte[] body) {

  /** Copies the headers. */
  public Reply {
    headers = Map.copyOf(headers);
  }

  /**
   * Tells whether the status is a success.
   *
   * @return true if the status is 2xx
   */
  public boolean isOk() {
    return status / 100 == 2;
  }

  /**
   * Returns a header.
   *
   * @param name its name in lower case
   * @return the value, or an empty string
   */
  public String header(String name) {
    return headers.getOrDefault(name, "");
  }

  /**
   * Reads the body as JSON.
   *
   * @param <T> the type
   * @param type the type
   * @return the message
   */
  public <T> T json(Class<T> type) {
    return Codec.json().read(body, type);
  }
}
