import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send requests one after another on connections that they keep open. */
final class Clients implements AutoCloseable {

  private final Site site;
  private final String address;
  private final String prefix;
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger next = new AtomicInteger();
  private volatile boolean isClosed;

  final AtomicInteger sent = new AtomicInteger();
  final AtomicInteger served = new AtomicInteger();

  /** Answers with another status than 200. */
  final AtomicInteger refused = new AtomicInteger();

  /** Requests of which a replica had run and whose connection ended without an answer. */
  final AtomicInteger lost = new AtomicInteger();

  /** Connections that could not be opened, or that ended with a request that had not run. */
  final AtomicInteger unserved = new AtomicInteger();

  interface Runs {
    boolean hasRun(String request);
  }

  /** Starts clients that pause for some time between two requests. */
  Clients(
      Site site, String address, String path, int count, long pauseMillis, String prefix, Runs runs) {
    this.site = site;
    this.address = address;
    this.prefix = prefix;
    for (int i = 0; i < count; i++) {
      threads.add(Thread.ofVirtual().start(() -> run(path, pauseMillis, runs)));
    }
  }

  private void run(String path, long pauseMillis, Runs runs) {
    Http.Conn conn = null;
    while (!isClosed) {
      String id = prefix + next.incrementAndGet();
      boolean isSent = false;
      try {
        if (conn == null) {
          conn = Http.connect(address);
        }
        sent.incrementAndGet();
        isSent = true;
        Http.Answer answer =
            conn.call(
                "POST "
                    + path
                    + " HTTP/1.1\r\nHost: lima.example\r\nAttempt-Id: "
                    + id
                    + "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\nContent-Length: 6\r\n\r\n",
                "defect".getBytes());
        (answer.status() == 200 ? served : refused).incrementAndGet();
        if (answer.head().header("connection").equals("close")) {
          conn.close();
          conn = null;
        }
        Thread.sleep(pauseMillis);
      } catch (IOException e) {
        if (conn != null) {
          conn.close();
        }
        conn = null;
        if (!isClosed) {
          boolean hasRun = isSent && runs.hasRun(id);
          (hasRun ? lost : unserved).incrementAndGet();
          if (hasRun) {
            site.log("%s ran, and its connection ended without an answer: %s", id, e.getMessage());
          }
          pause();
        }
      } catch (InterruptedException e) {
        return;
      }
    }
    if (conn != null) {
      conn.close();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(100);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    isClosed = true;
    threads.forEach(Thread::interrupt);
  }
}
