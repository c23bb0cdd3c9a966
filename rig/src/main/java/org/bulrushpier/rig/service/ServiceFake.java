package org.bulrushpier.rig.service;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.Hash;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.rig.Faults;

/**
 * Fake plain service that records every call it executes.
 *
 * <p>Faults: {@code slow-ms} delays a call before its execution, {@code lose-answers} (counted)
 * aborts the connection after the execution, {@code fail} (counted) answers 500 after the
 * execution, {@code leaving} refuses calls as a leaving instance does. Thread-safe.
 */
public final class ServiceFake {

  private static final int MAX_BODY_BYTES = 2_000_000;

  private final String name;
  private final long workMillis;
  private final Faults faults = new Faults();
  private final List<Execution> executions = new ArrayList<>();
  private final AtomicLong arrivals = new AtomicLong();

  /**
   * Creates a service that has not executed any calls.
   *
   * @param name the replica's name
   * @param workMillis the duration of a call
   */
  public ServiceFake(String name, long workMillis) {
    this.name = name;
    this.workMillis = workMillis;
  }

  /**
   * An executed call.
   *
   * @param request the request id
   * @param customer the id of the customer
   * @param method the HTTP method
   * @param path the path
   * @param body the SHA-256 hash of the request body in hexadecimal
   * @param atMillis when the call was executed, in milliseconds since the epoch
   */
  public record Execution(
      String request, String customer, String method, String path, String body, long atMillis) {}

  /**
   * The number of calls that were received, executed or not; calls that were refused as leaving are
   * not counted. Immutable and thread-safe.
   *
   * @param count the number of calls
   */
  public record Arrivals(long count) {}

  /** The response to an executed call. */
  record Done(String replica, int number, String path) {}

  /**
   * Handles a request.
   *
   * @param call the request and its response
   */
  public void handle(Call call) {
    if (faults.handle(call)) {
      return;
    }
    if (call.path().equals("/arrivals") || call.path().equals("/counts")) {
      call.json(200, new Arrivals(arrivals.get()));
      return;
    }
    if (call.path().equals("/record")) {
      call.json(200, executions());
      return;
    }
    if (faults.value("leaving") > 0) {
      call.setHeader("X-Leaving", "yes");
      call.send(503, "", new byte[0]);
      return;
    }
    arrivals.incrementAndGet();
    byte[] body = call.body(MAX_BODY_BYTES);
    faults.delay("slow-ms");
    final int number = recordExecution(call, body);
    Faults.sleep(workMillis);
    if (faults.consume("lose-answers")) {
      call.abort();
      return;
    }
    if (faults.consume("fail")) {
      call.send(500, "text/plain", Hash.utf8("injected failure"));
      return;
    }
    call.json(200, new Done(name, number, call.path()));
  }

  private synchronized int recordExecution(Call call, byte[] body) {
    executions.add(
        new Execution(
            call.header("X-Request-Id").orElse(""),
            call.header("X-Customer").orElse(""),
            call.method(),
            call.path(),
            Hash.hex(body),
            System.currentTimeMillis()));
    return executions.size();
  }

  private synchronized List<Execution> executions() {
    return List.copyOf(executions);
  }
}
