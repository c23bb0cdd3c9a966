package org.bulrushpier.daemon.serve;

import static org.assertj.core.api.Assertions.assertThat;

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
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.daemon.net.ConnectionPool;
import org.bulrushpier.daemon.net.EventLoop;
import org.bulrushpier.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class StoreWatchTest {

  private static final String A = object("a");

  /** In place of a response: the connection falls silent. */
  private static final String SILENCE = "silence";

  private static final String B = object("b");

  private final EventLoop loop = EventLoop.start();
  private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> deliveries = new LinkedBlockingQueue<>();
  private final BlockingQueue<List<StoreObject>> lists = new LinkedBlockingQueue<>();
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final CountDownLatch isSilenceOver = new CountDownLatch(1);
  private HttpServer store;
  private volatile String era = "";

  /** Records what is delivered; fails for the first object named "fault". */
  private final class Recorder implements StoreWatch.Listener {
    private final Throwable fault;
    private boolean hasFailed;

    Recorder(Throwable fault) {
      this.fault = fault;
    }

    @Override
    public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
      lists.add(values);
      deliver("listed", values);
    }

    @Override
    public void changed(List<Event> events, Moment sent, Moment changedAfter) {
      deliver("changed", events.stream().map(Event::value).toList());
    }

    private void deliver(String kind, List<StoreObject> values) {
      List<String> names = values.stream().map(StoreObject::name).toList();
      deliveries.add(kind + names);
      if (names.contains("fault") && !hasFailed) {
        hasFailed = true;
        switch (fault) {
          case RuntimeException e -> throw e;
          case Error e -> throw e;
          default -> throw new IllegalStateException(fault);
        }
      }
    }

    @Override
    public void unavailable(String detail) {
      deliveries.add("unavailable");
    }

    @Override
    public void failed(String detail) {
      deliveries.add("failed");
    }
  }

  @BeforeEach
  void start() throws IOException {
    store = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    store.createContext(
        "/",
        exchange -> {
          requests.add(exchange.getRequestURI().getRawQuery() + "");
          String response = nextResponse();
          if (response.equals(SILENCE)) {
            awaitEndOfTest();
          }
          byte[] body = response.getBytes(StandardCharsets.UTF_8);
          if (!era.isEmpty()) {
            exchange.getResponseHeaders().set("Store-Era", era);
          }
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    store.createContext(
        "/loaded",
        exchange -> {
          StoreFormat.page("servers", page(1, false, A).getBytes(StandardCharsets.UTF_8));
          exchange.sendResponseHeaders(200, -1);
          exchange.close();
        });
    store.setExecutor(threads);
    store.start();
  }

  private String nextResponse() {
    try {
      return responses.take();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "";
    }
  }

  private void awaitEndOfTest() {
    try {
      isSilenceOver.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @AfterEach
  void stop() {
    loop.stop();
    isSilenceOver.countDown();
    threads.shutdownNow();
    store.stop(0);
  }

  private void startWatch(Throwable fault) throws InterruptedException {
    startWatch(fault, 10_000);
  }

  private void startWatch(Throwable fault, long waitMillis) throws InterruptedException {
    Address address = new Address("127.0.0.1", store.getAddress().getPort());
    ControlClient client = new ControlClient(loop, ConnectionPool.of(loop, 1_000));
    StoreWatch.Timing timing = new StoreWatch.Timing(waitMillis, 0);
    StoreWatch watch =
        new StoreWatch(
            loop, client, () -> address, sources(address), "servers", timing, new Recorder(fault));
    // Loads the classes that the watch needs, which must not count towards its timeouts.
    CountDownLatch isLoaded = new CountDownLatch(1);
    loop.run(
        () ->
            client.call(
                address, "GET", "/loaded", new byte[0], 30_000, outcome -> isLoaded.countDown()));
    assertThat(isLoaded.await(30, TimeUnit.SECONDS)).isTrue();
    loop.run(watch::start);
  }

  /** Sources without other instances. */
  private StoreSources sources(Address store) {
    String settings =
        """
        [gateway]
        name = entry
        domain = norte
        caller-address = 127.0.0.1:1
        ready-address = 127.0.0.1:1
        metrics-address = 127.0.0.1:1
        platform-address = %s
        """;
    GatewaySettings parsed =
        GatewaySettings.parse("test.ini", settings.formatted(store), new ArrayList<>());
    return new StoreSources(
        new GatewayContext(loop, () -> parsed), new Address("127.0.0.1", 1), now -> List.of());
  }

  private static String object(String name) {
    return "{\"metadata\":{\"name\":\"%s\",\"revision\":1},\"spec\":{}}".formatted(name);
  }

  private static String page(long revision, boolean hasMore, String... items) {
    return "{\"items\":[%s],\"has_more\":%b,\"current_rev\":%d}"
        .formatted(String.join(",", items), hasMore, revision);
  }

  private static String change(long revision, String object) {
    return "{\"events\":[{\"object\":%s,\"removed\":false}],\"current_rev\":%d}"
        .formatted(object, revision);
  }

  private static String next(BlockingQueue<String> queue) throws InterruptedException {
    return queue.poll(10, TimeUnit.SECONDS);
  }

  private void expect(String... expected) throws InterruptedException {
    for (String delivery : expected) {
      assertThat(next(deliveries)).isEqualTo(delivery);
    }
  }

  private void assertFailureIsSurvived(Throwable fault) throws InterruptedException {
    responses.addAll(
        List.of(
            page(3, false, A, object("fault")),
            page(4, false, A),
            change(5, object("b")),
            change(6, B)));
    startWatch(fault);

    expect("listed[a, fault]", "failed", "listed[a]", "changed[b]", "changed[b]");
  }

  @Test
  void exceptionOfTheListenerDoesNotEndTheWatch() throws InterruptedException {
    assertFailureIsSurvived(new IllegalStateException("of the test"));
  }

  @Test
  void stackOverflowOfTheListenerDoesNotEndTheWatch() throws InterruptedException {
    assertFailureIsSurvived(new StackOverflowError("of the test"));
  }

  @Test
  void changesThatCouldNotBeAppliedAreFollowedByList() throws InterruptedException {
    responses.addAll(List.of(page(3, false, A), change(4, object("fault")), page(5, false, A, B)));
    startWatch(new IllegalStateException("of the test"));

    expect("listed[a]", "changed[fault]", "failed", "listed[a, b]");
  }

  @Test
  void unreadableChangesAreFollowedByList() throws InterruptedException {
    responses.addAll(
        List.of(page(3, false, A), "{\"events\":[{]", page(5, false, A, B), change(6, A)));
    startWatch(null);

    expect("listed[a]", "failed", "listed[a, b]", "changed[a]");
  }

  @Test
  void changesThatAreTooLargeAreFollowedByList() throws InterruptedException {
    responses.addAll(
        List.of(page(3, false, A), " ".repeat(5_000_000), page(5, false, A, B), change(6, A)));
    startWatch(null);

    expect("listed[a]", "failed", "listed[a, b]", "changed[a]");
  }

  @Test
  void changeOfAnEarlierPageMadeWhileTheListIsReadIsNotMissed() throws InterruptedException {
    responses.addAll(List.of(page(3, true, A), page(7, false, B), change(9, A)));
    startWatch(null);

    expect("listed[a, b]", "changed[a]");
    assertThat(next(requests)).isEqualTo("null");
    assertThat(next(requests)).isEqualTo("after=a");
    assertThat(next(requests)).startsWith("watch=3&");
    assertThat(next(requests)).startsWith("watch=9&");
  }

  @Test
  void listContinuesAfterTheLastNameThatCanBeRead() throws InterruptedException {
    responses.addAll(List.of(page(3, true, A, "{}", "7"), page(3, false, B)));
    startWatch(null);

    expect("listed[a, , , b]");
    assertThat(next(requests)).isEqualTo("null");
    assertThat(next(requests)).isEqualTo("after=a");
  }

  @Test
  void listThatDoesNotContinueIsReadAgainOnlyAfterPause() throws InterruptedException {
    responses.addAll(List.of(page(3, true, A), page(3, true, "{}"), page(3, true, A)));
    responses.addAll(List.of(page(3, true, A), page(3, false, A, B)));
    startWatch(null);

    expect("failed", "failed", "listed[a, b]");
  }

  /** A watch that fell silent was taken for an outage of the store, during which entries lapse. */
  @Test
  void silentConnectionIsNoOutageOfTheStore() throws InterruptedException {
    responses.addAll(List.of(page(3, false, A), SILENCE, change(4, B)));
    startWatch(null, 500);

    expect("listed[a]", "changed[b]");
  }

  @Test
  void storeThatIsSilentOnNewConnectionsIsUnavailable() throws InterruptedException {
    responses.addAll(List.of(page(3, false, A), SILENCE, SILENCE, change(4, B)));
    startWatch(null, 500);

    expect("listed[a]", "unavailable", "changed[b]");
  }

  /** The change is known a contact time (3 s) after the silence at the latest. */
  @Test
  void silentConnectionIsReplacedWithinContactTime() throws InterruptedException {
    responses.addAll(List.of(page(3, false, A), SILENCE, change(4, B)));
    startWatch(null, 2_500);
    expect("listed[a]");
    long listedMillis = MonotonicClock.millis();

    expect("changed[b]");

    assertThat(MonotonicClock.millis() - listedMillis).isLessThan(3_000);
  }

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }

  @Test
  void emptyWatchProvesTheStateUntilTheEndOfItsWait() {
    assertThat(StoreWatch.provenAt(true, 3_000, at(1_000), at(4_005))).isEqualTo(at(4_000));
    assertThat(StoreWatch.provenAt(true, 0, at(1_000), at(1_005))).isEqualTo(at(1_000));
  }

  @Test
  void watchThatWasCutOffOrReturnedChangesProvesTheStateOnlyWhenItWasSent() {
    assertThat(StoreWatch.provenAt(true, 3_000, at(1_000), at(2_500))).isEqualTo(at(1_000));
    assertThat(StoreWatch.provenAt(false, 3_000, at(1_000), at(4_200))).isEqualTo(at(1_000));
  }

  @Test
  void stepOfTheTimeOfDayDoesNotMakeAnEarlyAnswerWhole() {
    Moment received = new Moment(1_200, 6_200);
    assertThat(StoreWatch.provenAt(true, 3_000, at(1_000), received)).isEqualTo(at(1_000));
  }

  /**
   * Guards against lists of another writer that exhaust the heap: contents are kept up to a bound,
   * small ones first, and all names.
   */
  @Test
  void contentsOfLongListAreBounded() throws Exception {
    String medium = "\"" + "x".repeat(30_000) + "\"";
    for (int i = 0; i < 20; i++) {
      String[] items = new String[30];
      for (int j = 0; j < items.length; j++) {
        items[j] = object("m" + (100 + i) + "-" + (100 + j)).replace("{}", medium);
      }
      responses.add(page(1, true, items));
    }
    responses.add(page(1, false, object("z")));

    startWatch(null);

    List<StoreObject> list = lists.poll(30, TimeUnit.SECONDS);
    assertThat(list).hasSize(601);
    assertThat(list.getLast()).isInstanceOf(StoreFormat.ReadableObject.class);
    long kept =
        list.stream()
            .filter(StoreFormat.ReadableObject.class::isInstance)
            .mapToLong(value -> ((StoreFormat.ReadableObject) value).contentBytes())
            .sum();
    assertThat(kept).isLessThan(10_000_000);
  }

  /** Guards against changes that are hidden behind revisions which a restored store gives again. */
  @Test
  void storeThatCameBackFromCopyIsListedAgain() throws Exception {
    era = "4";
    responses.add(page(90, false, A, B));
    startWatch(null, 50);
    assertThat(next(deliveries)).isEqualTo("listed[a, b]");

    era = "5";
    responses.add(change(91, B));
    responses.add(page(91, false, A));

    assertThat(next(deliveries)).isEqualTo("unavailable");
    assertThat(next(deliveries)).isEqualTo("listed[a]");
  }

  @Test
  void eraThatCannotBeReadChangesNothing() throws Exception {
    era = "4";
    responses.add(page(90, false, A));
    startWatch(null, 50);
    assertThat(next(deliveries)).isEqualTo("listed[a]");

    for (String bad : List.of("-5", "five", "99999999999999999999", "")) {
      era = bad;
      responses.add(change(91, B));
      assertThat(next(deliveries)).as(bad).isEqualTo("changed[b]");
    }
  }

  /** The answer was under way while the store was restored. */
  @Test
  void lateAnswerOfOlderEraIsDropped() throws Exception {
    era = "5";
    responses.add(page(90, false, A));
    startWatch(null, 50);
    assertThat(next(deliveries)).isEqualTo("listed[a]");

    era = "4";
    responses.add(change(91, B));
    assertThat(next(deliveries)).isEqualTo("failed");

    era = "5";
    responses.add(change(91, A));
    assertThat(next(deliveries)).isEqualTo("changed[a]");
  }
}
