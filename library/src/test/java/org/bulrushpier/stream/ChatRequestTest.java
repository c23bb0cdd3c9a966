package org.bulrushpier.stream;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Certainty;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Hash;
import org.junit.jupiter.api.Test;

class ChatRequestTest {

  private static void readOrReject(String body) {
    try {
      ChatRequest request = Codec.json().read(Hash.utf8(body), ChatRequest.class).validated();
      assertThat(request.model()).isNotBlank();
      assertThat(request.messages()).isNotEmpty();
    } catch (BulrushpierException e) {
      assertThat(e.code()).isEqualTo(ErrorCode.BAD_REQUEST);
      assertThat(e.certainty()).isEqualTo(Certainty.NOT_RUN);
      assertThat(e.getMessage()).isNotBlank();
    }
  }

  @Test
  void unknownFieldsAreIgnored() {
    String body =
        "{\"model\":\"m\",\"temperature\":0.2,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    ChatRequest request = Codec.json().read(Hash.utf8(body), ChatRequest.class).validated();
    assertThat(request.isStream()).isFalse();
    assertThat(request.maxAnswerTokens()).isEqualTo(ChatRequest.DEFAULT_MAX_TOKENS);
  }

  @Property(tries = 1_000)
  void malformedBodyIsRejectedAsNotRun(
      @ForAll
          @StringLength(max = 60)
          @Chars({'{', '}', '[', ']', '"', ':', ',', '\\', 'e', '-', '.', '\u0000'})
          @CharRange(from = '0', to = '9')
          String body) {
    readOrReject(body);
  }

  @Property(tries = 500)
  void malformedFieldIsRejectedAsNotRun(@ForAll @StringLength(max = 40) String value) {
    readOrReject("{\"model\":" + value + ",\"messages\":[]}");
    readOrReject("{\"model\":\"m\",\"messages\":" + value + "}");
  }
}
