package org.bulrushpier.daemon.net;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * The head of an HTTP/1.1 request that is given as text. Immutable and thread-safe.
 *
 * @param method the method
 * @param target path and query
 * @param fields the header fields
 */
public record RequestHead(String method, String target, HttpFields fields) {

  private static final int MAX_BYTES = 64 * 1_024;

  /**
   * Parses a head, up to and including the empty line after it.
   *
   * @param text the text; what follows the head is ignored
   * @return the head
   * @throws IllegalArgumentException if it is malformed or incomplete; the message does not repeat
   *     the text
   */
  public static RequestHead parse(byte[] text) {
    Reader reader = new Reader();
    HttpParser parser = new HttpParser(reader, MAX_BYTES, HttpCompliance.RFC7230);
    ByteBuffer bytes = ByteBuffer.wrap(text);
    while (bytes.hasRemaining() && !reader.isComplete && !reader.isBad) {
      parser.parseNext(bytes);
    }
    if (!reader.isComplete || reader.isBad) {
      throw new IllegalArgumentException(
          "the head of the request is "
              + (reader.isBad
                  ? "malformed or names no host"
                  : "incomplete: the empty line after it is missing"));
    }
    return new RequestHead(reader.method, reader.target, reader.fields.asImmutable());
  }

  /** Collects what the parser finds. */
  private static final class Reader implements HttpParser.RequestHandler {
    private final HttpFields.Mutable fields = HttpFields.build();
    private String method = "";
    private String target = "";
    private boolean isComplete;
    private boolean isBad;

    @Override
    public void startRequest(String newMethod, String uri, HttpVersion version) {
      method = newMethod;
      target = uri;
    }

    @Override
    public void parsedHeader(HttpField field) {
      fields.add(field);
    }

    @Override
    public boolean headerComplete() {
      isComplete = true;
      return true;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
      return true;
    }

    @Override
    public boolean contentComplete() {
      return true;
    }

    @Override
    public boolean messageComplete() {
      return true;
    }

    @Override
    public void earlyEOF() {
      isBad = true;
    }

    @Override
    public void badMessage(HttpException failure) {
      isBad = true;
    }
  }
}
