package org.bulrushpier.daemon.http;

import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushpier.Address;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.ErrorCode;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP server based on Jetty that handles requests on virtual threads.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.start(address, call -> call.json(200, status));
 * }</pre>
 *
 * <p>A waiting request thus occupies no kernel thread. Thread-safe.
 */
public final class HttpServer {

  private static final Logger log = LoggerFactory.getLogger("http");
  private static final int MAX_THREADS = 64;
  private static final int MIN_THREADS = 4;
  private static final int ACCEPT_BACKLOG = 1_024;
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;

  private final Server server;
  private final AtomicInteger activeRequests = new AtomicInteger();

  private HttpServer(Address address, RequestHandler requestHandler) {
    QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    pool.setName("http");
    pool.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server = new Server(pool);
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    HttpConnectionFactory http = new HttpConnectionFactory(configuration);
    ServerConnector connector = new ServerConnector(server, 1, 1, http);
    connector.setHost(address.host());
    connector.setPort(address.port());
    connector.setAcceptQueueSize(ACCEPT_BACKLOG);
    connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    server.addConnector(connector);
    server.setHandler(new JettyHandler(requestHandler));
  }

  /**
   * Starts a server.
   *
   * @param address the address to listen on
   * @param requestHandler the handler of the requests
   * @return the running server
   * @throws BulrushpierException with {@link ErrorCode#INTERNAL} if the address cannot be used
   */
  public static HttpServer start(Address address, RequestHandler requestHandler) {
    HttpServer httpServer = new HttpServer(address, requestHandler);
    try {
      httpServer.server.start();
    } catch (Exception e) {
      String message = "cannot listen on " + address + ": " + e.getMessage();
      throw BulrushpierException.notRun(ErrorCode.INTERNAL, message).withCause(e);
    }
    return httpServer;
  }

  /** Stops listening and aborts all requests. */
  public void stop() {
    try {
      server.stop();
    } catch (Exception e) {
      log.warn("http: stop failed: {}", e.getMessage());
    }
  }

  /**
   * Returns the number of requests being handled.
   *
   * @return the number of requests
   */
  public int activeRequests() {
    return activeRequests.get();
  }

  /** Handles requests. Implementations are thread-safe. */
  @FunctionalInterface
  public interface RequestHandler {

    /**
     * Handles one request.
     *
     * @param call the request and its response
     * @throws Exception if the request fails; a {@link BulrushpierException} is sent as a problem
     *     body
     */
    void handle(Call call) throws Exception;
  }

  private final class JettyHandler extends Handler.Abstract {

    private final RequestHandler requestHandler;

    private JettyHandler(RequestHandler requestHandler) {
      this.requestHandler = requestHandler;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      activeRequests.incrementAndGet();
      try {
        handle(new Call(request, response), callback);
      } finally {
        activeRequests.decrementAndGet();
      }
      return true;
    }

    private void handle(Call call, Callback callback) {
      try {
        requestHandler.handle(call);
        callback.succeeded();
      } catch (BulrushpierException e) {
        sendError(call, e, callback);
      } catch (Call.ClientDisconnectedException e) {
        callback.failed(e);
      } catch (Exception e) {
        if (!(e.getCause() instanceof EofException)) {
          log.error("http: {} {} failed", call.method(), call.path(), e);
        }
        String message = "unexpected error: " + e;
        sendError(call, BulrushpierException.unknown(ErrorCode.INTERNAL, message), callback);
      }
    }

    private void sendError(Call call, BulrushpierException e, Callback callback) {
      if (call.isCommitted()) {
        callback.failed(e);
        return;
      }
      try {
        sendProblem(call, e);
        callback.succeeded();
      } catch (Call.ClientDisconnectedException disconnected) {
        callback.failed(disconnected);
      }
    }
  }

  private static void sendProblem(Call call, BulrushpierException e) {
    if (e.retryAfterMillis() > 0) {
      long seconds = Math.max(1, e.retryAfterMillis() / 1_000);
      call.setHeader("Retry-After", Long.toString(seconds));
    }
    if (e.code() == ErrorCode.BAD_KEY) {
      call.setHeader("WWW-Authenticate", "Bearer");
    }
    byte[] body = org.bulrushpier.Codec.json().write(Problem.of(e));
    call.send(e.code().httpStatus(), Problem.CONTENT_TYPE, body);
  }
}
