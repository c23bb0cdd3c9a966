package org.bulrushpier.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Fields;

/**
 * One HTTP request to this process and the response to it, with blocking reads and writes.
 *
 * <p>Not thread-safe; confined to one worker thread.
 */
public final class Call {

  private static final String JSON = "application/json";

  private final Request request;
  private final Response response;
  private Fields query;

  Call(Request request, Response response) {
    this.request = request;
    this.response = response;
  }

  /**
   * Returns the HTTP method.
   *
   * @return the method in upper case
   */
  public String method() {
    return request.getMethod();
  }

  /**
   * Returns the decoded path.
   *
   * @return the path, starting with a slash
   */
  public String path() {
    return Request.getPathInContext(request);
  }

  /**
   * Returns a query parameter.
   *
   * @param name its name
   * @param defaultValue the value if the parameter is missing
   * @return the first value, or the default
   */
  public String query(String name, String defaultValue) {
    if (query == null) {
      query = Request.extractQueryParameters(request);
    }
    String value = query.getValue(name);
    return value == null ? defaultValue : value;
  }

  /**
   * Returns a numeric query parameter.
   *
   * @param name its name
   * @param defaultValue the value if the parameter is missing
   * @return the number
   * @throws BulrushpierException with {@link ErrorCode#BAD_REQUEST} if it is not a whole number
   */
  public long queryNumber(String name, long defaultValue) {
    String value = query(name, Long.toString(defaultValue));
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      String message = "query " + name + ": '" + value + "' is not a whole number";
      throw BulrushpierException.notRun(ErrorCode.BAD_REQUEST, message);
    }
  }

  /**
   * Returns a header.
   *
   * @param name its name
   * @return the first value, or empty
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeaders().get(name));
  }

  /**
   * Reads the whole body.
   *
   * @param maxBytes the maximum size
   * @return the bytes
   * @throws BulrushpierException with {@link ErrorCode#TOO_LARGE} if it is larger
   */
  public byte[] body(int maxBytes) {
    try (InputStream in = Content.Source.asInputStream(request)) {
      byte[] bytes = in.readNBytes(maxBytes + 1);
      if (bytes.length > maxBytes) {
        String message = "body: larger than " + maxBytes + " bytes";
        throw BulrushpierException.notRun(ErrorCode.TOO_LARGE, message);
      }
      return bytes;
    } catch (IOException e) {
      throw BulrushpierException.notRun(
              ErrorCode.BAD_REQUEST, "body: connection closed before the end of the body")
          .withCause(e);
    }
  }

  /**
   * Sets a response header.
   *
   * @param name its name
   * @param value its value
   */
  public void setHeader(String name, String value) {
    response.getHeaders().put(name, value);
  }

  /**
   * Sends a response with a JSON body.
   *
   * @param status the HTTP status
   * @param message the body
   */
  public void json(int status, Object message) {
    send(status, JSON, Codec.json().write(message));
  }

  /**
   * Sends a response with a body.
   *
   * @param status the HTTP status
   * @param contentType the content type, or empty
   * @param body the body
   */
  public void send(int status, String contentType, byte[] body) {
    response.setStatus(status);
    if (!contentType.isEmpty()) {
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    }
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    try {
      Content.Sink.write(response, true, ByteBuffer.wrap(body));
    } catch (IOException e) {
      throw new ClientDisconnectedException(e);
    }
  }

  /**
   * Starts a response of server-sent events.
   *
   * @return the sink for the events
   */
  public EventSink events() {
    response.setStatus(200);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    return new EventSink(Content.Sink.asOutputStream(response));
  }

  /** Closes the connection immediately, without a response or in the middle of one. */
  public void abort() {
    request.getConnectionMetaData().getConnection().getEndPoint().close();
  }

  /**
   * Tells whether the response is committed.
   *
   * @return true if status and headers can no longer change
   */
  public boolean isCommitted() {
    return response.isCommitted();
  }

  /** Thrown when the client has closed its connection. */
  public static final class ClientDisconnectedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ClientDisconnectedException(Throwable cause) {
      super("client closed the connection", cause);
    }
  }

  /**
   * Writes server-sent events.
   *
   * <p>Not thread-safe; confined to one worker thread.
   */
  public static final class EventSink {

    private final OutputStream out;

    EventSink(OutputStream out) {
      this.out = out;
    }

    /**
     * Writes one event.
     *
     * @param message the event's data, written as JSON
     * @throws ClientDisconnectedException if the client has closed its connection
     */
    public void send(Object message) {
      sendData(Codec.json().write(message));
    }

    /** Writes the event that marks the end of a complete response. */
    public void done() {
      sendData(new byte[] {'[', 'D', 'O', 'N', 'E', ']'});
    }

    private void sendData(byte[] data) {
      ByteBuffer event = ByteBuffer.allocate(data.length + 8);
      event.put(new byte[] {'d', 'a', 't', 'a', ':', ' '}).put(data).put(new byte[] {'\n', '\n'});
      try {
        out.write(event.array());
        out.flush();
      } catch (IOException e) {
        throw new ClientDisconnectedException(e);
      }
    }
  }
}
