package org.bulrushpier.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.ledger.LedgerAnswer;
import org.bulrushpier.ledger.LedgerRecord;
import org.bulrushpier.ledger.Outcome;
import org.bulrushpier.settings.Subtree;
import org.junit.jupiter.api.Test;

class FrameTest {

  private static Frame roundTrip(Frame frame) throws IOException {
    return Frame.readFrom(new ByteArrayInputStream(frame.toBytes())).orElseThrow();
  }

  @Test
  void messagesAreUnchangedByEncodingAndDecoding() throws IOException {
    List<PeerMessage> messages =
        List.of(
            new PeerMessage.Hello("zone", "127.0.0.1:8201"),
            new PeerMessage.Heartbeat(
                "e", "zone", true, true, 7, List.of(new PeerMessage.Demand(1, 2, 3))),
            new PeerMessage.SettingsRequest(List.of(new PeerMessage.SubtreeVersion("site", 3))),
            new PeerMessage.SettingsResponse(List.of(new Subtree("site", 3, "[site]"))),
            new PeerMessage.LedgerRequest(
                1,
                2,
                List.of(
                    new LedgerRecord.Claim("k", "a", "r", 5), new LedgerRecord.Release("k", "a"))),
            new PeerMessage.LedgerResponse(
                1, List.of(new LedgerAnswer.Accepted(), new LedgerAnswer.Pending(5))),
            new PeerMessage.UpstreamReport("engine-1", true));
    for (PeerMessage message : messages) {
      Frame frame = new Frame("e", 9, message);
      assertThat(roundTrip(frame)).isEqualTo(frame);
    }
  }

  @Test
  void outcomeBodyIsUnchangedByEncodingAndDecoding() throws IOException {
    Outcome outcome = new Outcome(200, "text/plain", new byte[] {1, 2, 3});
    PeerMessage response =
        new PeerMessage.LedgerResponse(1, List.of(new LedgerAnswer.Repeated(outcome)));
    PeerMessage.LedgerResponse decoded =
        (PeerMessage.LedgerResponse) roundTrip(new Frame("e", 9, response)).message();
    assertThat(((LedgerAnswer.Repeated) decoded.answers().get(0)).outcome().body())
        .containsExactly(1, 2, 3);
  }

  @Test
  void heartbeatOfIdleEntryIsBelow100Bytes() {
    PeerMessage heartbeat =
        new PeerMessage.Heartbeat("entry-330", "zone-6", false, true, Long.MAX_VALUE, List.of());
    assertThat(new Frame("entry-330", Long.MAX_VALUE, heartbeat).toBytes().length).isLessThan(100);
  }

  @Test
  void truncatedFrameThrowsEndOfFile() {
    byte[] complete = new Frame("e", 1, new PeerMessage.UpstreamReport("u", true)).toBytes();
    byte[] truncated = java.util.Arrays.copyOf(complete, complete.length - 1);
    assertThatThrownBy(() -> Frame.readFrom(new ByteArrayInputStream(truncated)))
        .isInstanceOf(EOFException.class);
  }

  @Test
  void lengthBeyondTheLimitIsRejected() {
    byte[] oversized = ByteBuffer.allocate(8).putInt(Integer.MAX_VALUE).array();
    assertThatThrownBy(() -> Frame.readFrom(new ByteArrayInputStream(oversized)))
        .isInstanceOfSatisfying(
            BulrushpierException.class, e -> assertThat(e.code()).isEqualTo(ErrorCode.BAD_FRAME));
  }

  @Property(tries = 1_000)
  void malformedBodyIsRejectedAsBadFrame(
      @ForAll @Size(min = 1, max = 80) List<@IntRange(min = -128, max = 127) Integer> body) {
    ByteBuffer bytes = ByteBuffer.allocate(4 + body.size()).putInt(body.size());
    body.forEach(b -> bytes.put(b.byteValue()));
    try {
      Frame.readFrom(new ByteArrayInputStream(bytes.array()));
    } catch (BulrushpierException e) {
      assertThat(e.code()).isEqualTo(ErrorCode.BAD_FRAME);
    } catch (IOException e) {
      assertThat(e).isInstanceOf(EOFException.class);
    }
  }
}
