package org.bulrushpier.daemon.serve;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.EventLoop;

/**
 * A reading call to the platform's metadata store that tells a dead connection from an outage of
 * the store.
 *
 * <p>Open connections may fall silent or be reset while the store serves new ones. If the response
 * is late or the connection fails, the call is made once more on a new connection, without a wait.
 * The first response counts; only if neither connection yields one, the call fails.
 *
 * <p>Invariant: the consumer is called exactly once. Guarded by the loop's lock.
 */
final class StoreCall {

  /**
   * The longest pause before the second call if the first connection was reset, in milliseconds.
   */
  private static final long MAX_PAUSE_MILLIS = 90;

  private static final long MIN_PAUSE_MILLIS = 30;

  /**
   * The parameters of a call. Immutable and thread-safe.
   *
   * @param target returns path and query for the time that the store may wait, in milliseconds
   * @param waitMillis how long the store may wait before it responds, in milliseconds
   * @param lateMillis the time after the wait from which on a response is late, in milliseconds
   * @param limitMillis the time after the wait after which a connection is given up, in
   *     milliseconds
   */
  record Plan(LongFunction<String> target, long waitMillis, long lateMillis, long limitMillis) {}

  /**
   * The outcome of a call. Immutable by convention.
   *
   * @param waitMillis how long the store was allowed to wait, in milliseconds
   * @param outcome the response, or the failure of the last connection
   */
  record Answer(long waitMillis, ControlClient.Outcome outcome) {}

  private final EventLoop loop;
  private final ControlClient client;
  private final Address address;
  private final Plan plan;
  private final Consumer<Answer> consumer;
  private ControlClient.Handle first;
  private ControlClient.Handle second;
  private EventLoop.Timer secondTimer;
  private boolean isFirstFailed;
  private boolean isSecondFailed;
  private boolean isDone;

  private StoreCall(
      EventLoop loop, ControlClient client, Address address, Plan plan, Consumer<Answer> consumer) {
    this.loop = loop;
    this.client = client;
    this.address = address;
    this.plan = plan;
    this.consumer = consumer;
  }

  /**
   * Makes a call.
   *
   * @param loop the event loop
   * @param client the client
   * @param address the address of the store
   * @param plan the parameters of the call
   * @param consumer receives the outcome
   */
  static void send(
      EventLoop loop, ControlClient client, Address address, Plan plan, Consumer<Answer> consumer) {
    new StoreCall(loop, client, address, plan, consumer).send();
  }

  private void send() {
    secondTimer = loop.after(plan.waitMillis() + plan.lateMillis(), this::sendSecond);
    first =
        client.read(
            address,
            plan.target().apply(plan.waitMillis()),
            plan.waitMillis() + plan.limitMillis(),
            ConnectionPool.ANY_IDLE_TIME,
            this::firstReceived);
  }

  private void sendSecond() {
    if (isDone || second != null) {
      return;
    }
    secondTimer.cancel();
    second =
        client.read(
            address,
            plan.target().apply(0),
            plan.limitMillis(),
            ConnectionPool.NEW_CONNECTION,
            this::secondReceived);
  }

  private void firstReceived(ControlClient.Outcome outcome) {
    if (outcome.status() != ControlClient.NO_RESPONSE || isSecondFailed) {
      finish(new Answer(plan.waitMillis(), outcome));
      return;
    }
    isFirstFailed = true;
    if (second == null) {
      secondTimer.cancel();
      long pause = ThreadLocalRandom.current().nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
      secondTimer = loop.after(pause, this::sendSecond);
    }
  }

  private void secondReceived(ControlClient.Outcome outcome) {
    if (outcome.status() != ControlClient.NO_RESPONSE || isFirstFailed) {
      finish(new Answer(0, outcome));
    } else {
      isSecondFailed = true;
    }
  }

  private void finish(Answer answer) {
    if (isDone) {
      return;
    }
    isDone = true;
    secondTimer.cancel();
    first.cancel();
    if (second != null) {
      second.cancel();
    }
    consumer.accept(answer);
  }
}
