package org.bulrushpier.daemon.net;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request on its way to another process, with those who hear of its answer.
 *
 * <p>Confined to the loop's lock. Exactly one of {@link Listener#completed} and {@link
 * Listener#failed} is called, unless the request is cancelled first.
 */
public final class Outbound {

  /** Hears of the answer. Called under the loop's lock. */
  public interface Listener {

    /**
     * Tells whether an answer belongs to this request; others are dropped.
     *
     * @param head the answer's head
     * @return true if it does
     */
    default boolean isMine(AnswerHead head) {
      return true;
    }

    /** The first byte is about to be written: from now on the request may run. */
    default void sending() {}

    /**
     * The head of the answer was read.
     *
     * @param head the head
     */
    void started(AnswerHead head);

    /**
     * A piece of the body was read.
     *
     * @param bytes the piece; must be copied if it is kept
     */
    void body(ByteBuffer bytes);

    /** The answer is whole. */
    void completed();

    /**
     * The answer will not become whole.
     *
     * @param detail what happened
     */
    void failed(String detail);
  }

  private final String method;
  private final String target;
  private final HttpFields fields;
  private final byte[] body;
  private final Listener listener;
  private ReplicaConnection connection;
  private boolean isCancelled;
  private boolean isSent;

  private Outbound(
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
   * @param fields the header fields with their framing
   * @param body the body
   * @param listener who hears of the answer
   * @return the request
   */
  public static Outbound of(
      String method, String target, HttpFields fields, byte[] body, Listener listener) {
    return new Outbound(method, target, fields, body, listener);
  }

  /** Gives the request up: its connection is closed, and the listener hears no more. */
  public void cancel() {
    isCancelled = true;
    if (connection != null) {
      connection.drop();
    }
  }

  /**
   * Tells whether any byte of the request may have left.
   *
   * @return true from the first write on
   */
  public boolean isSent() {
    return isSent;
  }

  boolean isCancelled() {
    return isCancelled;
  }

  void assigned(ReplicaConnection to) {
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
