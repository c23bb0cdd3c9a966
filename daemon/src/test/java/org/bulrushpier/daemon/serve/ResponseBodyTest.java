package org.bulrushpier.daemon.serve;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.bulrushpier.limit.ByteBudget;
import org.junit.jupiter.api.Test;

/** Guards against responses that grow without end until the process ends by itself. */
class ResponseBodyTest {

  private static final int CAPACITY = 40_000_000;
  private static final int ATTEMPTS = 60;
  private static final int PIECE_BYTES = 30_000;
  private static final int PIECES = 120;

  private final ByteBudget budget = ByteBudget.of(CAPACITY, Runnable::run);
  private final List<ResponseBody> bodies = new ArrayList<>();

  private ResponseBody begin() {
    ResponseBody[] begun = new ResponseBody[1];
    begun[0] = ResponseBody.ofUnknownLength(budget, () -> begun[0].release());
    bodies.add(begun[0]);
    return begun[0];
  }

  @Test
  void manyLongResponsesLeaveRoomForShortOnes() {
    for (int i = 0; i < ATTEMPTS; i++) {
      ResponseBody faulty = begin();
      for (int piece = 0; piece < PIECES; piece++) {
        if (!faulty.append(ByteBuffer.allocate(PIECE_BYTES))) {
          faulty.release();
        }
      }
      assertThat(budget.used()).isLessThan(CAPACITY);

      ResponseBody sound = begin();
      assertThat(sound.append(ByteBuffer.allocate(PIECE_BYTES))).isTrue();
      assertThat(sound.buffers().stream().mapToInt(ByteBuffer::remaining).sum())
          .isEqualTo(PIECE_BYTES);
    }
    bodies.forEach(ResponseBody::release);
    assertThat(budget.used()).isZero();
  }

  @Test
  void eventWithoutEndIsAccountedFor() {
    ResponseBody stream = begin();
    ByteBuffer bytes = ByteBuffer.allocate(PIECE_BYTES);
    assertThat(stream.feed(bytes.duplicate(), (event, id) -> {})).isTrue();
    assertThat(budget.used()).isGreaterThanOrEqualTo(PIECE_BYTES);
    assertThat(stream.isPartial()).isTrue();

    stream.release();

    assertThat(stream.feed(bytes, (event, id) -> {})).isTrue();
    assertThat(budget.used()).isZero();
  }
}
