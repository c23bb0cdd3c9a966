import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A replica answers three requests with bytes that are no answer to them and that do not end. */
public final class EndlessAnswer extends Case {

  private static final long TIMEOUT_MILLIS = 1_500;

  /** How much later than its timeout a request may be answered. */
  private static final long SLACK_MILLIS = 500;

  private static final int CLIENTS = 8;
  private static final long PAUSE_MILLIS = 200;
  private static final long TROUBLE_AT_MILLIS = 4_000;
  private static final long PLAY_MILLIS = 16_000;

  /** Under 0.02 of the answers that the replica gives in all. */
  private static final int ENDLESS_ANSWERS = 3;

  /** How long the replica waits for the other requests, in milliseconds. */
  private static final long GATHERING_MILLIS = 500;

  /** The rate of the endless bytes of an answer, in bytes per millisecond: 400 Mbit/s. */
  private static final long BYTES_PER_MILLI = 50_000;

  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicLong endlessBytes = new AtomicLong();
  private final Semaphore due = new Semaphore(0);
  private final CountDownLatch begun = new CountDownLatch(ENDLESS_ANSWERS);
  private volatile long end;

  @Override
  boolean play() throws Exception {
    try (Store store = new Store()) {
      store.put(
          "config",
          "main",
          """
          {"version":1,
           "routes":[{"name":"historial","host":"lima","path_prefix":"/historial/",
             "kind":"safe","timeout_ms":%d,"goal_ms":121,"priority":0,
             "service":"fichas","max_attempts":1,"public":false}],
           "services":[{"name":"fichas","health_path":"/health","max_conns":100,"protocol":"h1"}],
           "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
           "tenants":[{"name":"surco","api_keys":["key-surco"],"priority":1}]}
          """
              .formatted(TIMEOUT_MILLIS));
      List<PlainReplica> replicas = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        replicas.add(new PlainReplica("i-" + i, "fichas", store, 20, this::arrived));
      }
      replicas.getFirst().setInsteadOfAnswer(this::answerWithoutEnd);
      try (Gateway gateway = Gateway.start("front-norte-1", store.address(), scratch)) {
        end = record.millis() + PLAY_MILLIS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
          String name = "c" + i;
          clients.add(Thread.ofVirtual().start(() -> callAgainAndAgain(gateway, name)));
        }
        Thread.sleep(TROUBLE_AT_MILLIS);
        due.release(isTrouble ? ENDLESS_ANSWERS : 0);
        Thread.sleep(2_000);
        for (int i = 0; i < 6; i++) {
          record.add("ready    %b", gateway.isReady());
          Thread.sleep(1_000);
        }
        for (Thread client : clients) {
          client.join();
        }
      }
      for (PlainReplica replica : replicas) {
        replica.close();
      }
    }
    record.add(
        "total    sent %d, unanswered at their timeout %d, of them without an answer %d ms later"
            + " %d; endless bytes %d",
        sent.get(), unanswered.get(), SLACK_MILLIS, late.get(), endlessBytes.get());
    return 2 * late.get() <= unanswered.get();
  }

  private void arrived(PlainReplica replica, Http.Request request) {
    record.add("run      %s at %s", request.header("Attempt-Id"), replica.id);
  }

  /** Answers the first requests that are due with responses that name another one. */
  private boolean answerWithoutEnd(Http.Request request, Socket socket) throws IOException {
    if (!due.tryAcquire()) {
      return false;
    }
    try {
      begun.countDown();
      begun.await(GATHERING_MILLIS, TimeUnit.MILLISECONDS);
      Thread sender = new Thread(() -> sendWithoutEnd(request.header("Attempt-Id"), socket));
      sender.setDaemon(true);
      sender.start();
      sender.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    throw new IOException("the caller closed the connection");
  }

  private void sendWithoutEnd(String id, Socket socket) {
    record.add("endless  answer to %s begins", id);
    byte[] bytes = "1\r\nx\r\n".repeat(10_000).getBytes(StandardCharsets.US_ASCII);
    long sent = 0;
    try {
      Http.write(
          socket,
          "HTTP/1.1 200 X\r\nAttempt-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n");
      long start = System.nanoTime();
      while (true) {
        socket.getOutputStream().write(bytes);
        sent += bytes.length;
        endlessBytes.addAndGet(bytes.length);
        long ahead = sent / BYTES_PER_MILLI - (System.nanoTime() - start) / 1_000_000;
        if (ahead > 0) {
          Thread.sleep(ahead);
        }
      }
    } catch (IOException | InterruptedException e) {
      record.add("endless  answer to %s ends after %d bytes: the caller closed", id, sent);
    }
  }

  private void callAgainAndAgain(Gateway gateway, String name) {
    int number = 0;
    while (record.millis() < end) {
      try (Http.Connection connection = Http.Connection.open(gateway.callers, 10_000)) {
        Http.Response response;
        do {
          response = call(connection, name + "-" + ++number);
          Thread.sleep(PAUSE_MILLIS);
        } while (response.status() > 0 && record.millis() < end);
      } catch (IOException | InterruptedException e) {
        record.add("closed   connection of %s: %s", name, e);
      }
    }
  }

  private Http.Response call(Http.Connection connection, String id) {
    sent.incrementAndGet();
    record.add("sent     %s", id);
    long start = record.millis();
    Http.Response response =
        connection.exchange(
            "GET",
            "/historial/a",
            Map.of(
                "Host", "lima",
                "Attempt-Id", id,
                "Deadline-Ms", "10000",
                "Authorization", "Bearer key-surco"),
            new byte[0]);
    long took = record.millis() - start;
    if (took > TIMEOUT_MILLIS) {
      unanswered.incrementAndGet();
    }
    if (took > TIMEOUT_MILLIS + SLACK_MILLIS) {
      late.incrementAndGet();
    }
    record.add("answered %s: %d after %d ms %s", id, response.status(), took, response.failure());
    return response;
  }
}
