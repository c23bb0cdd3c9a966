package org.bulrushpier.rig.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.Address;

/**
 * Fake cache store of the users' platform. It holds one cache part until that is freed, answers
 * long polls immediately and can be overloaded, in which case it answers 429. The clock that it
 * shares with replicas is the wall clock.
 *
 * <p>Thread-safe.
 */
public final class CacheStoreFake implements Closeable {

  private static final int TOO_MANY_REQUESTS = 429;

  private final RawHttpServer server;
  private final String heldPart;
  private final String freedPart;
  private final AtomicBoolean isOverloaded = new AtomicBoolean();
  private final AtomicInteger refused = new AtomicInteger();
  private volatile long freedMillis;

  private CacheStoreFake(String salt, String part, int tokens) throws IOException {
    heldPart = "\"%s\",\"%s\",%d,\"m0\"".formatted(salt, part, tokens);
    freedPart = "\"%s\",\"%s\",0,\"m0\"".formatted(salt, part);
    server = new RawHttpServer(this::handle);
  }

  /**
   * Starts a store on a free port.
   *
   * @param salt the cache salt of the part that the store holds
   * @param part the part's id
   * @param tokens the number of tokens in the part
   * @return the store
   * @throws IOException if no port is free
   */
  public static CacheStoreFake start(String salt, String part, int tokens) throws IOException {
    return new CacheStoreFake(salt, part, tokens);
  }

  /**
   * Returns the listen address.
   *
   * @return the address
   */
  public Address address() {
    return server.address();
  }

  /** Makes the store answer all subsequent calls with 429 Too Many Requests. */
  public void overload() {
    isOverloaded.set(true);
  }

  /**
   * Returns the number of calls that were answered 429.
   *
   * @return the number of refused calls
   */
  public int refusedCalls() {
    return refused.get();
  }

  /**
   * Returns when the part was freed.
   *
   * @return the time on the store's clock, in milliseconds, or 0 if the part is held
   */
  public long freedMillis() {
    return freedMillis;
  }

  private boolean handle(RawHttpServer.Request request, Socket socket) throws IOException {
    if (isOverloaded.get()) {
      refused.incrementAndGet();
      return RawHttpServer.sendJson(socket, TOO_MANY_REQUESTS, "{}");
    }
    if (request.path().equals("/kv-free")) {
      freedMillis = freedMillis == 0 ? System.currentTimeMillis() : freedMillis;
      return RawHttpServer.sendJson(socket, 200, "{}");
    }
    boolean isHeld = freedMillis == 0;
    String state =
        request.path().equals("/kv-list")
            ? "\"held\":[" + (isHeld ? "[" + heldPart + "]" : "") + "]"
            : "\"lost\":false,\"events\":[[1,\""
                + (isHeld ? "+" : "-")
                + "\","
                + (isHeld ? heldPart : freedPart)
                + "]]";
    return RawHttpServer.sendJson(
        socket,
        200,
        "{\"boot_epoch\":7,\"next_token\":1,\"clock_ms\":%d,%s}"
            .formatted(System.currentTimeMillis(), state));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
