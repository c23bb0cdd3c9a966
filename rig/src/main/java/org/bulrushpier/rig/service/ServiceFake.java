package org.bulrushpier.rig.service;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.Hash;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.rig.Faults;

/**
 * A plain service's stand-in with a record of every call it truly ran.
 *
 * <p>Faults: {@code slow-ms} delays before the call runs, {@code lose-answers} (counted) runs a
 * call and then breaks the connection, {@code fail} (counted) answers 500 after running, {@code
 * leaving} refuses as a leaving instance. Thread-safe.
 */
public final class ServiceFake {

  private static final int MAX_BODY_BYTES = 2_000_000;

  private final String name;
  private final long workMillis;
  private final Faults faults = new Faults();
  private final List<Ran> record = new ArrayList<>();
  private final AtomicLong arrivals = new AtomicLong();

  /**
   * Creates a service that ran nothing.
   *
   * @param name the replica's name
   * @param workMillis how long a call takes
   */
  public ServiceFake(String name, long workMillis) {
    this.name = name;
    this.workMillis = workMillis;
  }

  /**
   * A call that ran.
   *
   * @param request the request's id
   * @param customer the customer
   * @param method the HTTP method
   * @param path the path
   * @param body the hash of the body
   * @param atMillis when it ran
   */
  public record Ran(
      String request, String customer, String method, String path, String body, long atMillis) {}

  /**
   * How many calls arrived, whether they ran or not. Immutable and thread-safe.
   *
   * @param count the number of calls
   */
  public record Arrivals(long count) {}

  /** The answer to a call. */
  record Done(String replica, int number, String path) {}

  /**
   * Answers a call.
   *
   * @param call the call
   */
  public void answer(Call call) {
    if (faults.answer(call)) {
      return;
    }
    if (call.path().equals("/arrivals") || call.path().equals("/counts")) {
      call.json(200, new Arrivals(arrivals.get()));
      return;
    }
    if (call.path().equals("/record")) {
      call.json(200, ran());
      return;
    }
    if (faults.value("leaving") > 0) {
      call.setHeader("X-Leaving", "yes");
      call.send(503, "", new byte[0]);
      return;
    }
    arrivals.incrementAndGet();
    byte[] body = call.body(MAX_BODY_BYTES);
    faults.pause("slow-ms");
    final int number = run(call, body);
    Faults.sleep(workMillis);
    if (faults.take("lose-answers")) {
      call.abort();
      return;
    }
    if (faults.take("fail")) {
      call.send(500, "text/plain", Hash.utf8("failed on purpose"));
      return;
    }
    call.json(200, new Done(name, number, call.path()));
  }

  private synchronized int run(Call call, byte[] body) {
    record.add(
        new Ran(
            call.header("X-Request-Id").orElse(""),
            call.header("X-Customer").orElse(""),
            call.method(),
            call.path(),
            Hash.hex(body),
            System.currentTimeMillis()));
    return record.size();
  }

  private synchronized List<Ran> ran() {
    return List.copyOf(record);
  }
}
