package org.bulrushpier.daemon.serve;

import static org.bulrushpier.daemon.net.ConnectionPool.ANY_IDLE_TIME;

import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.bulrushpier.Address;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.EngineFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.daemon.net.MessageBuffer;
import org.bulrushpier.daemon.net.OutboundRequest;
import org.bulrushpier.daemon.net.ResponseHead;
import org.bulrushpier.limit.ByteBudget;
import org.eclipse.jetty.http.HttpFields;

/**
 * Makes calls whose response body is small and read as a whole: to the platform's metadata store,
 * to cache stores and to the control interfaces of replicas.
 *
 * <p>A call that times out closes its connection. Guarded by the loop's lock.
 */
final class ControlClient {

  /** Status of a call that got no response. */
  static final int NO_RESPONSE = 0;

  /** Status of a call whose response body was too large. */
  static final int TOO_LARGE = -1;

  /** The largest response body, in bytes: a few times the store's limit for a list. */
  private static final int MAX_BODY_BYTES = 4 * 1_024 * 1_024;

  private final EventLoop loop;
  private final ConnectionPool pool;

  ControlClient(EventLoop loop, ConnectionPool pool) {
    this.loop = loop;
    this.pool = pool;
  }

  /**
   * The outcome of a call. Immutable by convention.
   *
   * @param status the HTTP status, {@link #NO_RESPONSE} or {@link #TOO_LARGE}
   * @param body the body, or empty
   * @param fields the header fields of the response, or empty
   * @param sent when the call was made
   * @param detail the failure if there is no complete response, otherwise empty
   * @param isRefused whether nothing listens at the address
   */
  record Outcome(
      int status, byte[] body, HttpFields fields, Moment sent, String detail, boolean isRefused) {

    /** Creates the outcome of a call whose connection was not refused. */
    Outcome(int status, byte[] body, HttpFields fields, Moment sent, String detail) {
      this(status, body, fields, sent, detail, false);
    }

    boolean isOk() {
      return status >= 200 && status < 300;
    }
  }

  /** Makes a call with a JSON body or none; the consumer is called exactly once. */
  void call(
      Address address,
      String method,
      String target,
      byte[] body,
      long timeoutMillis,
      Consumer<Outcome> consumer) {
    HttpFields fields = StoreFormat.fields(address.toString(), body.length);
    send(address, method, target, fields, body, timeoutMillis, ANY_IDLE_TIME, consumer);
  }

  /** Makes a GET call with the given header fields; the consumer is called exactly once. */
  void call(
      Address address,
      String target,
      HttpFields fields,
      long timeoutMillis,
      Consumer<Outcome> consumer) {
    send(address, "GET", target, fields, new byte[0], timeoutMillis, ANY_IDLE_TIME, consumer);
  }

  /**
   * Makes a GET call that reads from the store; the consumer is called once unless it is cancelled.
   *
   * @param maxIdleMillis the longest time that a reused connection may have been idle, in
   *     milliseconds
   * @return a handle that cancels the call
   */
  Handle read(
      Address address,
      String target,
      long timeoutMillis,
      long maxIdleMillis,
      Consumer<Outcome> consumer) {
    HttpFields fields = StoreFormat.fields(address.toString(), 0);
    return send(
        address, "GET", target, fields, new byte[0], timeoutMillis, maxIdleMillis, consumer);
  }

  /**
   * Makes a GET call that the other side may hold; the consumer is called once unless it is
   * cancelled.
   *
   * @param headMillis the time until the response begins, in milliseconds
   * @param bodyMillis the time from then until it is complete, in milliseconds
   * @return a handle that cancels the call
   */
  Handle readHeld(
      Address address,
      String target,
      long headMillis,
      long bodyMillis,
      Consumer<Outcome> consumer) {
    HttpFields fields = StoreFormat.fields(address.toString(), 0);
    Call call = new Call(loop.budget(), () -> false, consumer);
    call.begun = () -> startTimer(address, call, bodyMillis);
    OutboundRequest outbound = OutboundRequest.of("GET", target, fields, new byte[0], call);
    send(address, outbound, call, headMillis, ANY_IDLE_TIME);
    return call;
  }

  /** A call that can be cancelled. Guarded by the loop's lock. */
  interface Handle {
    /** Cancels the call, whose consumer is not called any more; has no effect after the call. */
    void cancel();
  }

  /**
   * Sends an order that only the expected replica accepts; the consumer is called once. The order
   * fails if it is obsolete when a connection for it has been opened.
   */
  void order(
      Address address,
      String replica,
      String target,
      byte[] body,
      long timeoutMillis,
      BooleanSupplier isObsolete,
      Consumer<Outcome> consumer) {
    HttpFields fields = EngineFormat.fields(address.toString(), replica, body.length);
    Call call = new Call(loop.budget(), isObsolete, consumer);
    OutboundRequest outbound = OutboundRequest.of("POST", target, fields, body, call);
    send(address, outbound, call, timeoutMillis, ANY_IDLE_TIME);
  }

  private Handle send(
      Address address,
      String method,
      String target,
      HttpFields fields,
      byte[] body,
      long timeoutMillis,
      long maxIdleMillis,
      Consumer<Outcome> consumer) {
    Call call = new Call(loop.budget(), () -> false, consumer);
    OutboundRequest outbound = OutboundRequest.of(method, target, fields, body, call);
    send(address, outbound, call, timeoutMillis, maxIdleMillis);
    return call;
  }

  private void send(
      Address address,
      OutboundRequest outbound,
      Call call,
      long timeoutMillis,
      long maxIdleMillis) {
    call.outbound = outbound;
    startTimer(address, call, timeoutMillis);
    pool.send(address, outbound, maxIdleMillis);
  }

  private void startTimer(Address address, Call call, long timeoutMillis) {
    if (call.timer != null) {
      call.timer.cancel();
    }
    call.timer =
        loop.after(
            timeoutMillis,
            () -> {
              if (!call.isDone) {
                call.outbound.cancel();
                // Connections that were opened before may have failed without notice, too.
                pool.closeIdle(address);
                call.failed("no response within " + timeoutMillis + " ms");
              }
            });
  }

  /** A call in progress. */
  private static final class Call implements OutboundRequest.Listener, Handle {
    private final BooleanSupplier isObsolete;
    private final Consumer<Outcome> consumer;
    private final Moment sent = Moment.now();
    private final MessageBuffer body;
    private EventLoop.Timer timer;
    private OutboundRequest outbound;
    private Runnable begun = () -> {};
    private int status;
    private HttpFields fields = HttpFields.EMPTY;
    private boolean isRefused;
    private boolean isDone;

    Call(ByteBudget budget, BooleanSupplier isObsolete, Consumer<Outcome> consumer) {
      this.body = MessageBuffer.of(budget.open(ByteBudget.Use.CONTROL), MAX_BODY_BYTES);
      this.isObsolete = isObsolete;
      this.consumer = consumer;
    }

    @Override
    public void cancel() {
      if (!isDone) {
        isDone = true;
        timer.cancel();
        outbound.cancel();
        body.release();
      }
    }

    @Override
    public boolean isObsolete() {
      return isObsolete.getAsBoolean();
    }

    @Override
    public void started(ResponseHead head) {
      status = head.status();
      fields = head.fields();
      begun.run();
    }

    @Override
    public void body(ByteBuffer bytes) {
      int size = body.size() + bytes.remaining();
      if (isDone || body.append(bytes)) {
        return;
      }
      outbound.cancel();
      if (size > MAX_BODY_BYTES) {
        finish(
            new Outcome(
                TOO_LARGE,
                new byte[0],
                fields,
                sent,
                "the response exceeds " + MAX_BODY_BYTES + " bytes"));
      } else {
        failed("no room for a response of " + size + " bytes");
      }
    }

    @Override
    public void completed() {
      finish(new Outcome(status, body.toByteArray(), fields, sent, ""));
    }

    @Override
    public void refused() {
      isRefused = true;
    }

    @Override
    public void failed(String detail) {
      finish(new Outcome(NO_RESPONSE, new byte[0], HttpFields.EMPTY, sent, detail, isRefused));
    }

    private void finish(Outcome outcome) {
      if (!isDone) {
        isDone = true;
        if (timer != null) {
          timer.cancel();
        }
        body.release();
        consumer.accept(outcome);
      }
    }
  }
}
