package org.bulrushpier.daemon.net;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request to another process and the listener for its response.
 *
 * <p>Exactly one of {@link Listener#completed} and {@link Listener#failed} is called, unless the
 * request is cancelled first. Guarded by the loop's lock.
 */
public final class OutboundRequest {

  /** Receives the response. Called with the loop's lock held. */
  public interface Listener {

    /**
     * Returns whether a response belongs to this request. Other responses are discarded.
     *
     * @param head the head of the response
     * @return true if it belongs to this request
     */
    default boolean matches(ResponseHead head) {
      return true;
    }

    /**
     * Returns whether the request must no longer be sent. Asked when a connection for it has been
     * opened, which may take long while the process or the peer is busy.
     *
     * @return true if the request has failed without being sent
     */
    default boolean isObsolete() {
      return false;
    }

    /** The first byte is about to be written; from now on the request may run. */
    default void sending() {}

    /**
     * The head of the response was read.
     *
     * @param head the head
     */
    void started(ResponseHead head);

    /**
     * A part of the body was read.
     *
     * @param bytes the part; must be copied if it is kept
     */
    void body(ByteBuffer bytes);

    /** The response is complete. */
    void completed();

    /**
     * The peer has closed or reset the connection. Followed by {@link #failed} unless the response
     * was complete with the end of the connection.
     */
    default void disconnected() {}

    /** The peer refused the connection, as nothing listens there. Followed by {@link #failed}. */
    default void refused() {}

    /**
     * The response failed before it was complete.
     *
     * @param detail the cause
     */
    void failed(String detail);
  }

  private final String method;
  private final String target;
  private final HttpFields fields;
  private final byte[] body;
  private final Listener listener;
  private OutboundConnection connection;
  private boolean isCancelled;
  private boolean isSent;

  private OutboundRequest(
      String method, String target, HttpFields fields, byte[] body, Listener listener) {
    this.method = method;
    this.target = target;
    this.fields = fields;
    this.body = body;
    this.listener = listener;
  }

  /**
   * Creates a request.
   *
   * @param method the method
   * @param target path and query
   * @param fields the header fields, including framing
   * @param body the body
   * @param listener the listener for the response
   * @return the request
   */
  public static OutboundRequest of(
      String method, String target, HttpFields fields, byte[] body, Listener listener) {
    return new OutboundRequest(method, target, fields, body, listener);
  }

  /** Cancels the request: its connection is closed and the listener is not called any more. */
  public void cancel() {
    isCancelled = true;
    if (connection != null) {
      connection.drop();
    }
  }

  /** Stops reading the response until {@link #resume}, so that its bytes stay with the peer. */
  public void pause() {
    if (connection != null && !isCancelled) {
      connection.pause();
    }
  }

  /** Continues to read the response. */
  public void resume() {
    if (connection != null && !isCancelled) {
      connection.resume();
    }
  }

  /**
   * Returns whether any byte of the request may have been sent.
   *
   * @return true from the first write on
   */
  public boolean isSent() {
    return isSent;
  }

  boolean isCancelled() {
    return isCancelled;
  }

  void assigned(OutboundConnection to) {
    connection = to;
    isSent = true;
    listener.sending();
  }

  String method() {
    return method;
  }

  String target() {
    return target;
  }

  HttpFields fields() {
    return fields;
  }

  byte[] body() {
    return body;
  }

  Listener listener() {
    return listener;
  }
}
