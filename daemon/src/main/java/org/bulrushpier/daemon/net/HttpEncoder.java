package org.bulrushpier.daemon.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpStatus;

/** Encodes heads and chunks of HTTP/1.1 messages. Stateless and thread-safe. */
final class HttpEncoder {

  private static final byte[] LINE_END = {'\r', '\n'};
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /**
   * Bytes for the colon, the space and the line end of a field. The two line ends of a chunk have
   * the same size.
   */
  private static final int FIELD_OVERHEAD = 4;

  private HttpEncoder() {}

  static ByteBuffer requestHead(String method, String target, HttpFields fields) {
    return head(method + " " + target + " HTTP/1.1", fields);
  }

  static ByteBuffer responseHead(int status, HttpFields fields) {
    return head("HTTP/1.1 " + status + " " + HttpStatus.getMessage(status), fields);
  }

  private static ByteBuffer head(String startLine, HttpFields fields) {
    byte[] start = startLine.getBytes(StandardCharsets.ISO_8859_1);
    int size = start.length + FIELD_OVERHEAD;
    for (HttpField field : fields) {
      size += field.getName().length() + field.getValue().length() + FIELD_OVERHEAD;
    }
    ByteBuffer buffer = ByteBuffer.allocate(size);
    buffer.put(start).put(LINE_END);
    for (HttpField field : fields) {
      HttpGenerator.putTo(field, buffer);
    }
    return buffer.put(LINE_END).flip();
  }

  /** Copies bytes into one chunk of the chunked transfer coding. */
  static ByteBuffer chunk(ByteBuffer bytes) {
    byte[] size = Integer.toHexString(bytes.remaining()).getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(size.length + bytes.remaining() + FIELD_OVERHEAD)
        .put(size)
        .put(LINE_END)
        .put(bytes)
        .put(LINE_END)
        .flip();
  }

  static ByteBuffer lastChunk() {
    return ByteBuffer.wrap(LAST_CHUNK);
  }

  static ByteBuffer copy(ByteBuffer bytes) {
    return ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
  }
}
