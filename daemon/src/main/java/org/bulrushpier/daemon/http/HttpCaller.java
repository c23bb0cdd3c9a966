package org.bulrushpier.daemon.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bulrushpier.Codec;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Makes HTTP calls with Jetty's client. For a failed call, the exception tells whether the request
 * may have been sent.
 *
 * <pre>{@code
 * Reply reply = caller.call(OutgoingCall.get(address, "/load"));
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class HttpCaller {

  private static final int MAX_CONNECTIONS = 2_048;
  private static final int MAX_QUEUED_REQUESTS = 4_096;
  private static final long IDLE_TIMEOUT_MILLIS = 20_000;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_THREADS = 16;

  private final HttpClient client;

  private HttpCaller() {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, 2);
    pool.setName("caller");
    pool.setDaemon(true);
    connector.setExecutor(pool);
    client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setExecutor(pool);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_REQUESTS);
    client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
  }

  /**
   * Starts a client.
   *
   * @return the running client
   */
  public static HttpCaller start() {
    HttpCaller caller = new HttpCaller();
    try {
      caller.client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client cannot start", e);
    }
    return caller;
  }

  /**
   * Makes a call and reads the complete response.
   *
   * @param call the call
   * @return the response, whatever its status
   * @throws CallFailedException if no complete response was received in time
   */
  public Reply call(OutgoingCall call) {
    try (ResponseStream stream = open(call)) {
      byte[] body = stream.readAll();
      return new Reply(stream.status(), stream.headers(), body);
    }
  }

  /**
   * Makes a call and returns as soon as the status and the headers have been received.
   *
   * @param call the call; its timeout covers the complete response
   * @return the open response, to be closed by the caller
   * @throws CallFailedException if no status was received in time
   */
  public ResponseStream open(OutgoingCall call) {
    AtomicBoolean isSent = new AtomicBoolean();
    Request request = request(call).onRequestBegin(r -> isSent.set(true));
    InputStreamResponseListener listener = new InputStreamResponseListener();
    request.send(listener);
    try {
      Response response =
          listener.get(
              Math.min(call.timeoutMillis(), call.idleTimeoutMillis()), TimeUnit.MILLISECONDS);
      return new ResponseStream(call, request, response, listener.getInputStream());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw failed(call, request, isSent, e);
    } catch (TimeoutException | ExecutionException e) {
      throw failed(call, request, isSent, e);
    }
  }

  /** Stops the client and aborts all its calls. */
  public void stop() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client cannot stop", e);
    }
  }

  private Request request(OutgoingCall call) {
    Request request =
        client
            .newRequest("http://" + call.address() + call.path())
            .method(call.method())
            .timeout(call.timeoutMillis(), TimeUnit.MILLISECONDS)
            .idleTimeout(call.idleTimeoutMillis(), TimeUnit.MILLISECONDS);
    request.headers(headers -> call.headers().forEach(headers::put));
    if (call.body().length > 0) {
      request.body(new BytesRequestContent(call.contentType(), call.body()));
    }
    return request;
  }

  private static CallFailedException failed(
      OutgoingCall call, Request request, AtomicBoolean isSent, Exception e) {
    request.abort(e);
    Throwable cause = e instanceof ExecutionException ? e.getCause() : e;
    String message = call.method() + " " + call.address() + call.path() + ": " + cause;
    return new CallFailedException(message, isSent.get(), cause);
  }

  /**
   * A response whose body is still being received.
   *
   * <p>Not thread-safe; confined to one worker thread.
   */
  public static final class ResponseStream implements AutoCloseable {

    private static final String DATA = "data: ";

    private final OutgoingCall call;
    private final Request request;
    private final Response response;
    private final BufferedReader lines;
    private final InputStream in;
    private boolean isComplete;

    private ResponseStream(OutgoingCall call, Request request, Response response, InputStream in) {
      this.call = call;
      this.request = request;
      this.response = response;
      this.in = in;
      this.lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int status() {
      return response.getStatus();
    }

    /**
     * Returns the headers.
     *
     * @return the first value of each, by lower-case name
     */
    public Map<String, String> headers() {
      Map<String, String> headers = new TreeMap<>();
      response
          .getHeaders()
          .forEach(f -> headers.putIfAbsent(f.getName().toLowerCase(Locale.ROOT), f.getValue()));
      return headers;
    }

    /**
     * Reads the rest of the body.
     *
     * @return the bytes
     * @throws CallFailedException if the body is incomplete
     */
    public byte[] readAll() {
      try {
        byte[] bytes = in.readAllBytes();
        isComplete = true;
        return bytes;
      } catch (IOException e) {
        throw incomplete(e);
      }
    }

    /**
     * Reads the next server-sent event.
     *
     * @param <T> the event's type
     * @param type the event's type
     * @return the event, or empty at the end event
     * @throws CallFailedException if the body ends before the end event
     */
    public <T> Optional<T> next(Class<T> type) {
      try {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
          if (line.equals(DATA + "[DONE]")) {
            isComplete = lines.readLine() != null && lines.readLine() == null;
            return Optional.empty();
          }
          if (line.startsWith(DATA)) {
            byte[] data = line.substring(DATA.length()).getBytes(StandardCharsets.UTF_8);
            return Optional.of(Codec.json().read(data, type));
          }
        }
      } catch (IOException e) {
        throw incomplete(e);
      }
      throw incomplete(null);
    }

    private CallFailedException incomplete(Throwable cause) {
      String target = call.method() + " " + call.address() + call.path();
      return new CallFailedException(target + ": response ended prematurely", true, cause);
    }

    /** Ends the call. A response that is not complete is aborted. */
    @Override
    public void close() {
      if (!isComplete) {
        request.abort(new IOException("closed before the end of the response"));
      }
    }
  }
}
