package org.bulrushpier.daemon.http;

import java.util.Map;
import java.util.TreeMap;
import org.bulrushpier.Address;
import org.bulrushpier.Codec;

/**
 * An HTTP request to be sent to another process.
 *
 * <pre>{@code
 * OutgoingCall.get(address, "/load").withTimeout(500);
 * }</pre>
 *
 * <p>Immutable and thread-safe as long as the body array is not modified.
 *
 * @param method the HTTP method
 * @param address the address of the process
 * @param path path and query
 * @param headers the headers
 * @param contentType the body's content type, or empty
 * @param body the body
 * @param timeoutMillis the timeout of the whole call
 * @param idleTimeoutMillis the longest time allowed between parts of the response
 */
public record OutgoingCall(
    String method,
    Address address,
    String path,
    Map<String, String> headers,
    String contentType,
    byte[] body,
    long timeoutMillis,
    long idleTimeoutMillis) {

  private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;
  private static final byte[] NO_BODY = new byte[0];

  /** Copies the headers. */
  public OutgoingCall {
    headers = Map.copyOf(headers);
  }

  /**
   * Creates a GET call.
   *
   * @param address the address of the process
   * @param path path and query
   * @return the call
   */
  public static OutgoingCall get(Address address, String path) {
    return of("GET", address, path);
  }

  /**
   * Creates a call without a body.
   *
   * @param method the HTTP method
   * @param address the address of the process
   * @param path path and query
   * @return the call
   */
  public static OutgoingCall of(String method, Address address, String path) {
    return new OutgoingCall(
        method,
        address,
        path,
        Map.of(),
        "",
        NO_BODY,
        DEFAULT_TIMEOUT_MILLIS,
        DEFAULT_TIMEOUT_MILLIS);
  }

  /**
   * Returns a copy with a JSON body.
   *
   * @param message the body
   * @return the copy
   */
  public OutgoingCall withJson(Object message) {
    return withBody("application/json", Codec.json().write(message));
  }

  /**
   * Returns a copy with a body.
   *
   * @param type the content type
   * @param bytes the body
   * @return the copy
   */
  public OutgoingCall withBody(String type, byte[] bytes) {
    return new OutgoingCall(
        method, address, path, headers, type, bytes, timeoutMillis, idleTimeoutMillis);
  }

  /**
   * Returns a copy with an additional header.
   *
   * @param name its name
   * @param value its value
   * @return the copy
   */
  public OutgoingCall withHeader(String name, String value) {
    Map<String, String> extended = new TreeMap<>(headers);
    extended.put(name, value);
    return new OutgoingCall(
        method, address, path, extended, contentType, body, timeoutMillis, idleTimeoutMillis);
  }

  /**
   * Returns a copy with another timeout, which also replaces the idle timeout.
   *
   * @param millis the timeout of the whole call, at least 1
   * @return the copy
   */
  public OutgoingCall withTimeout(long millis) {
    long limit = Math.max(1, millis);
    return new OutgoingCall(method, address, path, headers, contentType, body, limit, limit);
  }

  /**
   * Returns a copy with another idle timeout.
   *
   * @param millis the longest time allowed between parts of the response, at least 1
   * @return the copy
   */
  public OutgoingCall withIdleTimeout(long millis) {
    return new OutgoingCall(
        method, address, path, headers, contentType, body, timeoutMillis, Math.max(1, millis));
  }
}
