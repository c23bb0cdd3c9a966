package org.bulrushpier.daemon.serve;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bulrushpier.Address;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.settings.GatewaySettings;
import org.bulrushpier.watch.StoreReaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests an instance whose reader fails it in different ways; the store itself is sound. */
@Timeout(60)
class FollowerWatchTest {

  private static final long WAIT_MILLIS = 400;
  private static final String SILENCE = "silence";
  private static final String PROOF = "Proof-Offset-Ms";

  /** A response of the reader. */
  private record Scripted(int status, String proofOffset, String body) {}

  /** What the listener was told. */
  private record Delivery(String names, Moment proven, Moment changedAfter) {}

  private final EventLoop loop = EventLoop.start();
  private final BlockingQueue<Scripted> scripted = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
  private final BlockingQueue<Delivery> deliveries = new LinkedBlockingQueue<>();
  private final CountDownLatch isOver = new CountDownLatch(1);
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private HttpServer store;
  private HttpServer reader;

  @BeforeEach
  void start() throws Exception {
    reader = server(this::answerAsReader);
    store = server(this::answerAsStore);
    Address storeAddress = address(store);
    GatewaySettings settings = settings(storeAddress);
    List<Address> members = members();
    StoreSources sources =
        new StoreSources(
            new GatewayContext(loop, () -> settings), members.getFirst(), now -> members);
    ControlClient client = new ControlClient(loop, ConnectionPool.of(loop, 1_000));
    final StoreWatch watch =
        new StoreWatch(
            loop,
            client,
            () -> storeAddress,
            sources,
            "servers",
            new StoreWatch.Timing(WAIT_MILLIS, 0),
            new Recorder());
    // Loads the classes that the watch needs, which must not count towards its timeouts.
    CountDownLatch isLoaded = new CountDownLatch(1);
    loop.run(
        () ->
            client.call(
                storeAddress, "GET", "/loaded", new byte[0], 30_000, o -> isLoaded.countDown()));
    assertThat(isLoaded.await(30, TimeUnit.SECONDS)).isTrue();
    calls.clear();
    loop.run(watch::start);
    assertThat(next(deliveries).names()).isEqualTo("[a]");
    assertThat(next(calls)).isEqualTo("store list");
  }

  /** Returns an address of this instance that does not read the store, and that of the reader. */
  private List<Address> members() {
    for (int port = 1; ; port++) {
      List<Address> members = List.of(new Address("127.0.0.2", port), address(reader));
      if (StoreReaders.of(members.getFirst()).next(members, 1, 0)
          instanceof StoreReaders.Source.Reader) {
        return members;
      }
    }
  }

  private static GatewaySettings settings(Address store) {
    String text =
        """
        [gateway]
        name = entry
        domain = norte
        caller-address = 127.0.0.1:1
        ready-address = 127.0.0.1:1
        metrics-address = 127.0.0.1:1
        platform-address = %s
        store-readers = 1
        """;
    return GatewaySettings.parse("test.ini", text.formatted(store), new ArrayList<>());
  }

  private HttpServer server(com.sun.net.httpserver.HttpHandler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
    server.createContext("/", handler);
    server.setExecutor(threads);
    server.start();
    return server;
  }

  private static Address address(HttpServer server) {
    return new Address("127.0.0.1", server.getAddress().getPort());
  }

  private void answerAsReader(HttpExchange exchange) throws IOException {
    calls.add("reader " + exchange.getRequestURI().getRawQuery());
    try {
      Scripted response = scripted.take();
      if (response.body.equals(SILENCE)) {
        isOver.await();
      }
      if (!response.proofOffset.isEmpty()) {
        exchange.getResponseHeaders().add(PROOF, response.proofOffset);
      }
      send(exchange, response.status, response.body);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The store has the object "a" at revision 7 and answers watches without a change. */
  private void answerAsStore(HttpExchange exchange) throws IOException {
    String query = exchange.getRequestURI().getRawQuery();
    calls.add("store " + (query == null ? "list" : query));
    String body =
        query == null
            ? "{\"items\":[" + object("a", 7) + "],\"has_more\":false,\"current_rev\":7}"
            : "{\"events\":[],\"current_rev\":" + query.replaceAll("watch=(\\d+).*", "$1") + "}";
    StoreFormat.page(
        "servers", "{\"items\":[],\"current_rev\":1}".getBytes(StandardCharsets.UTF_8));
    send(exchange, 200, body);
  }

  private static void send(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @AfterEach
  void stop() {
    loop.stop();
    isOver.countDown();
    threads.shutdownNow();
    store.stop(0);
    reader.stop(0);
  }

  /** Records what is delivered. */
  private final class Recorder implements StoreWatch.Listener {
    @Override
    public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
      deliver(values, sent, changedAfter);
    }

    @Override
    public void changed(List<Event> events, Moment proven, Moment changedAfter) {
      deliver(events.stream().map(Event::value).toList(), proven, changedAfter);
    }

    private void deliver(List<StoreObject> values, Moment proven, Moment changedAfter) {
      String names = values.stream().map(StoreObject::name).toList().toString();
      deliveries.add(new Delivery(names, proven, changedAfter));
    }

    @Override
    public void unavailable(String detail) {
      deliveries.add(new Delivery("unavailable", null, null));
    }

    @Override
    public void failed(String detail) {
      deliveries.add(new Delivery("failed", null, null));
    }
  }

  private static String object(String name, long revision) {
    return "{\"metadata\":{\"name\":\"%s\",\"revision\":%d},\"spec\":{}}".formatted(name, revision);
  }

  private static String changes(long revision, String... names) {
    StringBuilder events = new StringBuilder();
    for (String name : names) {
      events.append(events.isEmpty() ? "" : ",");
      events.append("{\"object\":").append(object(name, revision)).append(",\"removed\":false}");
    }
    return "{\"events\":[" + events + "],\"current_rev\":" + revision + "}";
  }

  private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
    T value = queue.poll(10, TimeUnit.SECONDS);
    assertThat(value).isNotNull();
    return value;
  }

  private void expectCalls(String... expected) throws InterruptedException {
    for (String call : expected) {
      assertThat(next(calls)).startsWith(call);
    }
  }

  /** The reader fails the first watch, which must be no outage and no loss of time. */
  private void assertStoreIsCalledAtOnce(Scripted response) throws InterruptedException {
    scripted.add(response);
    expectCalls("reader watch=7&", "store watch=7&wait_ms=0", "store watch=7&wait_ms=400");
    assertThat(next(deliveries).names()).isEqualTo("[]");
  }

  @Test
  void changesOfTheReaderAreDeliveredWithItsProof() throws Exception {
    final Moment before = Moment.now();
    scripted.add(new Scripted(200, "-300", changes(9, "b")));
    scripted.add(new Scripted(200, "-200", changes(12, "c")));
    expectCalls("reader watch=7&wait_ms=550", "reader watch=9&");

    Delivery first = next(deliveries);
    assertThat(first.names()).isEqualTo("[b]");
    assertThat(first.proven().monotonicMillis())
        .isBetween(before.monotonicMillis() - 2_000, Moment.now().monotonicMillis() - 300);
    Delivery second = next(deliveries);
    assertThat(second.names()).isEqualTo("[c]");
    // The list was sent later than the first proof of the reader.
    assertThat(second.changedAfter().monotonicMillis())
        .isGreaterThan(first.proven().monotonicMillis());
  }

  @Test
  void revisionNeverDecreases() throws Exception {
    scripted.add(new Scripted(200, "0", changes(5)));
    expectCalls("reader watch=7&", "reader watch=7&");
  }

  @Test
  void storeIsCalledWhenTheReaderRefuses() throws Exception {
    assertStoreIsCalledAtOnce(new Scripted(503, "", ""));
  }

  @Test
  void storeIsCalledWhenTheReaderIsSilent() throws Exception {
    assertStoreIsCalledAtOnce(new Scripted(200, "", SILENCE));
  }

  @Test
  void storeIsCalledWhenTheReaderProvesNothing() throws Exception {
    assertStoreIsCalledAtOnce(new Scripted(200, "", changes(9, "b")));
  }

  @Test
  void storeIsCalledWhenTheReaderCannotBeRead() throws Exception {
    assertStoreIsCalledAtOnce(new Scripted(200, "0", "{\"events\":[{]"));
  }

  /** A process that was suspended has written the response long after its proof. */
  @Test
  void storeIsCalledWhenTheProofIsOld() throws Exception {
    Thread.sleep(1_500);
    scripted.add(new Scripted(200, "-90000", changes(9)));
    expectCalls("reader watch=7&");
    assertThat(next(calls)).isEqualTo("store watch=7&wait_ms=0");
  }

  @Test
  void readerWithoutTheHistoryIsAskedAgainAfterOneCallToTheStore() throws Exception {
    scripted.add(new Scripted(410, "", ""));
    scripted.add(new Scripted(404, "", ""));
    expectCalls(
        "reader watch=7&",
        "store watch=7&wait_ms=400",
        "reader watch=7&",
        "store watch=7&wait_ms=400",
        "reader watch=7&");
  }
}
