package org.bulrushpier.daemon;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushpier.Address;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.platform.InstanceList;
import org.bulrushpier.platform.ListedInstance;
import org.bulrushpier.platform.ObjectApi;
import org.bulrushpier.platform.PlatformUnavailableException;
import org.bulrushpier.platform.StoredObject;

/**
 * Accesses the platform's object API and instance list over HTTP.
 *
 * <p>Thread-safe.
 */
public final class PlatformClient implements ObjectApi, InstanceList {

  private static final long TIMEOUT_MILLIS = 400;
  private static final long WATCH_TIMEOUT_MARGIN_MILLIS = 1_000;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;
  private static final int SERVER_ERROR = 500;
  private static final String IF_NONE_MATCH = "If-None-Match";
  private static final String IF_MATCH = "If-Match";

  private final HttpCaller caller;
  private final Address address;
  private final AtomicLong writes = new AtomicLong();
  private final AtomicLong reads = new AtomicLong();
  private volatile boolean isReachable = true;

  private PlatformClient(HttpCaller caller, Address address) {
    this.caller = caller;
    this.address = address;
  }

  /**
   * Creates a client.
   *
   * @param caller the HTTP client
   * @param address the address of the platform
   * @return the client
   */
  public static PlatformClient of(HttpCaller caller, Address address) {
    return new PlatformClient(caller, address);
  }

  @Override
  public Optional<StoredObject> read(String key) {
    reads.incrementAndGet();
    Reply reply = call(OutgoingCall.get(address, "/objects/" + key), TIMEOUT_MILLIS);
    if (reply.status() == NOT_FOUND) {
      return Optional.empty();
    }
    expectOk(reply, "read " + key);
    return Optional.of(new StoredObject(key, version(reply), reply.body()));
  }

  @Override
  public List<StoredObject> list(String prefix) {
    return changes(prefix, 0, 0);
  }

  @Override
  public List<StoredObject> watch(String prefix, long afterVersion, long waitMillis) {
    return changes(prefix, afterVersion, waitMillis);
  }

  @Override
  public Optional<Long> write(String key, byte[] value, long expectedVersion) {
    writes.incrementAndGet();
    OutgoingCall put = OutgoingCall.of("PUT", address, "/objects/" + key);
    OutgoingCall conditional =
        expectedVersion == ABSENT
            ? put.withHeader(IF_NONE_MATCH, "*")
            : put.withHeader(IF_MATCH, Long.toString(expectedVersion));
    Reply reply = call(conditional.withBody("application/octet-stream", value), TIMEOUT_MILLIS);
    if (reply.status() == PRECONDITION_FAILED) {
      return Optional.empty();
    }
    expectOk(reply, "write " + key);
    return Optional.of(version(reply));
  }

  @Override
  public boolean delete(String key, long expectedVersion) {
    writes.incrementAndGet();
    OutgoingCall delete = OutgoingCall.of("DELETE", address, "/objects/" + key);
    String version = Long.toString(expectedVersion);
    Reply reply = call(delete.withHeader(IF_MATCH, version), TIMEOUT_MILLIS);
    if (reply.status() == PRECONDITION_FAILED || reply.status() == NOT_FOUND) {
      return false;
    }
    expectOk(reply, "delete " + key);
    return true;
  }

  @Override
  public List<ListedInstance> instances() {
    reads.incrementAndGet();
    Reply reply = call(OutgoingCall.get(address, "/instances"), TIMEOUT_MILLIS);
    expectOk(reply, "instances");
    return Arrays.asList(parse(reply, ListedInstance[].class));
  }

  /**
   * Returns the number of attempted writes.
   *
   * @return the number of write and delete calls
   */
  public long writes() {
    return writes.get();
  }

  /**
   * Returns the number of attempted reads, including pending watches.
   *
   * @return the number of read, list and watch calls
   */
  public long reads() {
    return reads.get();
  }

  private List<StoredObject> changes(String prefix, long after, long waitMillis) {
    reads.incrementAndGet();
    String query = "/objects?prefix=" + prefix + "&after=" + after + "&wait-ms=" + waitMillis;
    long timeout = waitMillis == 0 ? TIMEOUT_MILLIS * 4 : waitMillis + WATCH_TIMEOUT_MARGIN_MILLIS;
    Reply reply = call(OutgoingCall.get(address, query), timeout);
    expectOk(reply, "list " + prefix);
    return Arrays.asList(parse(reply, StoredObject[].class));
  }

  /**
   * Tells whether the platform answered the last call. True before the first call.
   *
   * @return false after a call that failed or returned a server error
   */
  public boolean isReachable() {
    return isReachable;
  }

  private Reply call(OutgoingCall call, long timeoutMillis) {
    try {
      Reply reply = caller.call(call.withTimeout(timeoutMillis));
      isReachable = reply.status() < SERVER_ERROR;
      return reply;
    } catch (CallFailedException e) {
      isReachable = false;
      throw new PlatformUnavailableException("platform: " + e.getMessage(), e);
    }
  }

  private static <T> T parse(Reply reply, Class<T> type) {
    try {
      return reply.json(type);
    } catch (BulrushpierException e) {
      throw new PlatformUnavailableException("platform: " + e.getMessage(), e);
    }
  }

  private static void expectOk(Reply reply, String operation) {
    if (!reply.isOk()) {
      throw new PlatformUnavailableException(
          "platform: " + operation + " failed with status " + reply.status(), null);
    }
  }

  private static long version(Reply reply) {
    try {
      return Long.parseLong(reply.header("etag").replace("\"", ""));
    } catch (NumberFormatException e) {
      throw new PlatformUnavailableException("platform: response has no valid ETag", e);
    }
  }
}
