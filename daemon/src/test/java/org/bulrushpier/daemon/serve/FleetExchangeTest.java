package org.bulrushpier.daemon.serve;

import static org.assertj.core.api.Assertions.assertThatCode;

import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushpier.Address;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the socket for datagrams of an instance that is started and stopped. */
@Timeout(60)
class FleetExchangeTest {

  private static final String HOST = "127.0.0.1";

  /** Ports below those that the operating system gives to other sockets. */
  private static final int FIRST_PORT = 20_000;

  private static final int LAST_PORT = 29_999;
  private static final int STARTS = 2_000;

  private final EventLoop loop = EventLoop.start();

  @AfterEach
  void stopLoop() {
    loop.stop();
  }

  @Test
  void addressCanBeBoundAgainAsSoonAsTheExchangeHasStopped() throws Exception {
    GatewaySettings settings = settings();
    GatewayContext context = new GatewayContext(loop, () -> settings);
    Address address = new Address(HOST, freePort());

    for (int i = 0; i < STARTS; i++) {
      assertThatCode(() -> FleetExchange.start(address, context).stop()).doesNotThrowAnyException();
    }
  }

  private static int freePort() throws Exception {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT + 1);
      try (DatagramSocket socket = new DatagramSocket(port, InetAddress.getByName(HOST))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // In use; another one is drawn.
      }
    }
  }

  private static GatewaySettings settings() {
    String text =
        """
        [gateway]
        name = entry
        domain = norte
        caller-address = 127.0.0.1:1
        ready-address = 127.0.0.1:1
        metrics-address = 127.0.0.1:1
        platform-address = 127.0.0.1:1
        """;
    return GatewaySettings.parse("test.ini", text, new ArrayList<>());
  }
}
