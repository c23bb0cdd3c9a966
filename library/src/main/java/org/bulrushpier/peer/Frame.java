package org.bulrushpier.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;

/**
 * The frame in which a message is sent between entries. It is encoded as a four-byte length,
 * followed by a MessagePack array of the sender's name, its timestamp and the message.
 *
 * <p>Immutable and thread-safe.
 *
 * @param from the name of the sender
 * @param stamp the timestamp of the sender's hybrid clock
 * @param message the message
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Frame(String from, long stamp, PeerMessage message) {

  /** The maximum size of a frame's body, in bytes. */
  public static final int MAX_BYTES = 8_000_000;

  /**
   * Encodes this frame.
   *
   * @return the bytes of the length and the body
   */
  public byte[] toBytes() {
    byte[] body = Codec.messagePack().write(this);
    return ByteBuffer.allocate(Integer.BYTES + body.length).putInt(body.length).put(body).array();
  }

  /**
   * Writes this frame to a stream.
   *
   * @param out the output stream
   * @throws IOException if the stream fails
   */
  public void writeTo(OutputStream out) throws IOException {
    DataOutputStream data = new DataOutputStream(out);
    data.write(toBytes());
    data.flush();
  }

  /**
   * Reads the next frame from a stream.
   *
   * @param in the input stream
   * @return the frame, or empty at the end of the stream
   * @throws IOException if the stream fails or ends inside a frame
   * @throws BulrushpierException with {@link ErrorCode#BAD_FRAME} if the length or body is invalid
   */
  public static Optional<Frame> readFrom(InputStream in) throws IOException {
    int first = in.read();
    if (first < 0) {
      return Optional.empty();
    }
    DataInputStream data = new DataInputStream(in);
    int length = first << 24 | data.readUnsignedByte() << 16 | data.readUnsignedShort();
    if (length <= 0 || length > MAX_BYTES) {
      throw invalid("length " + length + " is not within 1.." + MAX_BYTES);
    }
    byte[] body = data.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("frame: truncated after " + body.length + " of " + length + " bytes");
    }
    return Optional.of(decode(body));
  }

  private static Frame decode(byte[] body) {
    try {
      Frame frame = Codec.messagePack().read(body, Frame.class);
      if (frame.from() == null || frame.message() == null) {
        throw invalid("sender or message is missing");
      }
      return frame;
    } catch (BulrushpierException e) {
      throw e.code() == ErrorCode.BAD_FRAME ? e : invalid(e.getMessage());
    }
  }

  private static BulrushpierException invalid(String reason) {
    return BulrushpierException.notRun(ErrorCode.BAD_FRAME, "frame: " + reason);
  }
}
