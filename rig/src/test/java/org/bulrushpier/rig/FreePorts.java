package org.bulrushpier.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;
import org.bulrushpier.Address;

/**
 * Finds ports for processes and gateways that bind them later. Thread-safe.
 *
 * <p>The ports lie below the range from which the operating system takes the ports of outgoing
 * connections, so that no connection of another process takes one in the meantime.
 */
final class FreePorts {

  private static final int FIRST = 10_000;
  private static final int LAST = 19_999;
  private static final int ATTEMPTS = 100;
  private static final Set<Address> ISSUED = new HashSet<>();

  private FreePorts() {}

  /** Returns an address of a host at which nothing listens, never the same one twice. */
  static Address next(String host) throws IOException {
    return new Address(host, draw(List.of(host)));
  }

  /**
   * Returns a port at which nothing listens at any of the hosts 127.0.0.1 to 127.0.0.{@code count}.
   * None of these addresses is returned again.
   */
  static int nextAtHosts(int count) throws IOException {
    return draw(IntStream.rangeClosed(1, count).mapToObj(i -> "127.0.0." + i).toList());
  }

  private static int draw(List<String> hosts) throws IOException {
    IOException failure = null;
    for (int i = 0; i < ATTEMPTS; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST, LAST + 1);
      try {
        for (String host : hosts) {
          new ServerSocket(port, 1, InetAddress.getByName(host)).close();
        }
        List<Address> addresses = hosts.stream().map(host -> new Address(host, port)).toList();
        if (isIssuedNow(addresses)) {
          return port;
        }
      } catch (IOException e) {
        failure = e;
      }
    }
    throw new IOException("no free port at " + hosts, failure);
  }

  private static synchronized boolean isIssuedNow(List<Address> addresses) {
    return addresses.stream().noneMatch(ISSUED::contains) && ISSUED.addAll(addresses);
  }
}
