package org.bulrushpier.daemon.serve;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import org.bulrushpier.Address;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.EngineFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.daemon.net.OutboundRequest;
import org.bulrushpier.daemon.net.ResponseHead;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.survival.Inquiry;
import org.bulrushpier.survival.SilenceWatch;

/**
 * Asks engines for their reports to find out whether they are alive. All requests of this instance
 * share the answers.
 *
 * <p>The head of any response is an answer. Its body is not kept, so that an answer needs no room.
 *
 * <p>Guarded by the loop's lock.
 */
final class ReplicaInquiries {

  /** Time after which a question is given up, in milliseconds; a later answer proves nothing. */
  private static final long TIMEOUT_MILLIS = 1_000;

  /**
   * Time after which a question is put on a new connection if it has not been answered, in
   * milliseconds. An idle connection may be dead without notice.
   */
  private static final long RENEWAL_MILLIS = SilenceWatch.ANSWER_MILLIS / 2;

  /** The most connections that carry one question, as each of them may be reset. */
  private static final int MAX_CONNECTIONS = 3;

  private final EventLoop loop;
  private final ConnectionPool pool;
  private final Map<Replica, Inquiry> inquiries = new WeakHashMap<>();

  ReplicaInquiries(EventLoop loop, ConnectionPool pool) {
    this.loop = loop;
    this.pool = pool;
  }

  /** Returns when an engine was asked and has answered. */
  Inquiry of(Replica engine) {
    return inquiries.computeIfAbsent(engine, key -> new Inquiry());
  }

  /** Asks an engine unless it has been asked recently. */
  void ask(Replica engine) {
    Inquiry inquiry = of(engine);
    long now = MonotonicClock.millis();
    if (inquiry.isDue(SilenceWatch.REPEAT_MILLIS, now)) {
      inquiry.asked(now);
      new Question(engine.entry().address(), inquiry).put(ConnectionPool.ANY_IDLE_TIME);
    }
  }

  /** A question to one engine, which may be put on several connections. */
  private final class Question {
    private final Address address;
    private final Inquiry inquiry;
    private final Set<Carrier> carriers = new HashSet<>();
    private final EventLoop.Timer timer;
    private final EventLoop.Timer renewal;
    private int connections;
    private boolean isAnswered;

    Question(Address address, Inquiry inquiry) {
      this.address = address;
      this.inquiry = inquiry;
      timer = loop.after(TIMEOUT_MILLIS, this::timedOut);
      renewal = loop.after(RENEWAL_MILLIS, this::renew);
    }

    void put(long maxIdleMillis) {
      connections++;
      Carrier carrier = new Carrier(this);
      carriers.add(carrier);
      carrier.send(maxIdleMillis);
    }

    private void renew() {
      if (connections == 1) {
        put(ConnectionPool.NEW_CONNECTION);
      }
    }

    private void timedOut() {
      carriers.forEach(carrier -> carrier.outbound.cancel());
      // Connections that were opened before may have failed without notice, too.
      pool.closeIdle(address);
    }

    private void answered() {
      isAnswered = true;
      renewal.cancel();
      inquiry.answered(MonotonicClock.millis());
    }

    private void broke() {
      if (!isAnswered && connections < MAX_CONNECTIONS) {
        inquiry.askedAgain(MonotonicClock.millis());
        put(ConnectionPool.NEW_CONNECTION);
      }
    }

    private void ended(Carrier carrier) {
      carriers.remove(carrier);
      if (carriers.isEmpty()) {
        timer.cancel();
        renewal.cancel();
      }
    }
  }

  /** A connection that carries a question. */
  private final class Carrier implements OutboundRequest.Listener {
    private final Question question;
    private final OutboundRequest outbound;
    private boolean isBeingSent;

    Carrier(Question question) {
      this.question = question;
      outbound =
          OutboundRequest.of(
              "GET",
              EngineFormat.REPORT,
              StoreFormat.fields(question.address.toString(), 0),
              new byte[0],
              this);
    }

    void send(long maxIdleMillis) {
      isBeingSent = true;
      pool.send(question.address, outbound, maxIdleMillis);
      isBeingSent = false;
    }

    @Override
    public void started(ResponseHead head) {
      question.answered();
    }

    @Override
    public void body(ByteBuffer bytes) {}

    @Override
    public void completed() {
      question.ended(this);
    }

    @Override
    public void failed(String detail) {
      if (outbound.isSent()) {
        question.broke();
      } else if (isBeingSent) {
        // Nothing was tried on the network: this process has no socket or no way out.
        question.inquiry.withdrawn();
      }
      question.ended(this);
    }
  }
}
