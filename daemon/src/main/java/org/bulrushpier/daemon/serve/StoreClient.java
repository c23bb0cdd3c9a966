package org.bulrushpier.daemon.serve;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.bulrushpier.Address;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.EngineFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.daemon.net.AnswerHead;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.NetLoop;
import org.bulrushpier.daemon.net.Outbound;
import org.eclipse.jetty.http.HttpFields;

/**
 * Small calls with a body that is read whole: to the platform's metadata store and to replicas' own
 * interfaces.
 *
 * <p>A call without an answer in time closes its connection. Confined to the loop's lock.
 */
final class StoreClient {

  /** Status of a call that got no answer. */
  static final int NO_ANSWER = 0;

  private final NetLoop loop;
  private final ConnectionPool pool;

  StoreClient(NetLoop loop, ConnectionPool pool) {
    this.loop = loop;
    this.pool = pool;
  }

  /**
   * The outcome of a call. Immutable by convention.
   *
   * @param status the HTTP status, or {@link #NO_ANSWER}
   * @param body the body, or empty
   * @param sent when the call was made
   * @param detail what happened if there is no answer
   */
  record Outcome(int status, byte[] body, Moment sent, String detail) {
    boolean isOk() {
      return status >= 200 && status < 300;
    }
  }

  /** Makes a call; the consumer is called exactly once. */
  void call(
      Address address,
      String method,
      String target,
      byte[] body,
      long timeoutMillis,
      Consumer<Outcome> consumer) {
    HttpFields fields = StoreFormat.fields(address.toString(), body.length);
    send(address, method, target, fields, body, timeoutMillis, consumer);
  }

  /** Reads from an address with fields of the caller's choice. */
  void call(
      Address address,
      String target,
      HttpFields fields,
      long timeoutMillis,
      Consumer<Outcome> consumer) {
    send(address, "GET", target, fields, new byte[0], timeoutMillis, consumer);
  }

  /** Gives an order that only the expected replica takes; the consumer is called exactly once. */
  void order(
      Address address,
      String replica,
      String target,
      byte[] body,
      long timeoutMillis,
      Consumer<Outcome> consumer) {
    HttpFields fields = EngineFormat.fields(address.toString(), replica, body.length);
    send(address, "POST", target, fields, body, timeoutMillis, consumer);
  }

  private void send(
      Address address,
      String method,
      String target,
      HttpFields fields,
      byte[] body,
      long timeoutMillis,
      Consumer<Outcome> consumer) {
    Call call = new Call(consumer);
    Outbound outbound = Outbound.of(method, target, fields, body, call);
    call.timer =
        loop.after(
            timeoutMillis,
            () -> {
              if (!call.isDone) {
                outbound.cancel();
                call.failed("no answer within " + timeoutMillis + " ms");
              }
            });
    pool.send(address, outbound, ConnectionPool.ANY_AGE);
  }

  /** A call under way. */
  private static final class Call implements Outbound.Listener {
    private final Consumer<Outcome> consumer;
    private final Moment sent = Moment.now();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private NetLoop.Timer timer;
    private int status;
    private boolean isDone;

    Call(Consumer<Outcome> consumer) {
      this.consumer = consumer;
    }

    @Override
    public void started(AnswerHead head) {
      status = head.status();
    }

    @Override
    public void body(ByteBuffer bytes) {
      byte[] piece = new byte[bytes.remaining()];
      bytes.get(piece);
      body.write(piece, 0, piece.length);
    }

    @Override
    public void completed() {
      finish(new Outcome(status, body.toByteArray(), sent, ""));
    }

    @Override
    public void failed(String detail) {
      finish(new Outcome(NO_ANSWER, new byte[0], sent, detail));
    }

    private void finish(Outcome outcome) {
      if (!isDone) {
        isDone = true;
        if (timer != null) {
          timer.cancel();
        }
        consumer.accept(outcome);
      }
    }
  }
}
