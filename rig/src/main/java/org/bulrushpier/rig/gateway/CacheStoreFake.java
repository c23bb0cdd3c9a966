package org.bulrushpier.rig.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.Address;

/**
 * A store of cache parts on the users' platform that keeps one part and holds no waiting calls
 * while it is crowded.
 *
 * <p>Thread-safe.
 */
public final class CacheStoreFake implements Closeable {

  private static final int TOO_MANY = 429;

  private final RawHttpServer server;
  private final String kept;
  private final AtomicBoolean isCrowded = new AtomicBoolean();
  private final AtomicInteger refused = new AtomicInteger();

  private CacheStoreFake(String salt, String part, int tokens) throws IOException {
    kept = "\"%s\",\"%s\",%d,\"m0\"".formatted(salt, part, tokens);
    server = new RawHttpServer(this::answer);
  }

  /**
   * Starts a store on a free port.
   *
   * @param salt the salt of the part that it keeps
   * @param part the part's id
   * @param tokens its tokens
   * @return the store
   * @throws IOException if no port is free
   */
  public static CacheStoreFake start(String salt, String part, int tokens) throws IOException {
    return new CacheStoreFake(salt, part, tokens);
  }

  /**
   * Returns where it listens.
   *
   * @return the address
   */
  public Address address() {
    return server.address();
  }

  /** From now on, every call for events is refused. */
  public void crowd() {
    isCrowded.set(true);
  }

  /**
   * Returns how many calls it refused.
   *
   * @return the number
   */
  public int refused() {
    return refused.get();
  }

  private boolean answer(RawHttpServer.Request request, Socket socket) throws IOException {
    if (isCrowded.get()) {
      refused.incrementAndGet();
      return RawHttpServer.json(socket, TOO_MANY, "{}");
    }
    String body =
        request.path().equals("/kv-list")
            ? "{\"boot_epoch\":7,\"next_token\":1,\"held\":[[" + kept + "]]}"
            : "{\"boot_epoch\":7,\"next_token\":1,\"lost\":false,\"events\":[[1,\"+\","
                + kept
                + "]]}";
    return RawHttpServer.json(socket, 200, body);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
