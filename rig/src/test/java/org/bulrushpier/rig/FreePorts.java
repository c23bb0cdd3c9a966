package org.bulrushpier.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushpier.Address;

/**
 * Finds ports for processes and gateways that bind them later. Stateless and thread-safe.
 *
 * <p>The ports lie below the range from which the operating system takes the ports of outgoing
 * connections, so that no connection of another process takes one in the meantime.
 */
final class FreePorts {

  private static final int FIRST = 10_000;
  private static final int LAST = 19_999;
  private static final int ATTEMPTS = 100;
  private static final Set<Address> ISSUED = ConcurrentHashMap.newKeySet();

  private FreePorts() {}

  /** Returns an address of a host at which nothing listens, never the same one twice. */
  static Address next(String host) throws IOException {
    IOException failure = null;
    for (int i = 0; i < ATTEMPTS; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST, LAST + 1);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
        Address address = new Address(host, socket.getLocalPort());
        if (ISSUED.add(address)) {
          return address;
        }
      } catch (IOException e) {
        failure = e;
      }
    }
    throw new IOException("no free port at " + host, failure);
  }
}
