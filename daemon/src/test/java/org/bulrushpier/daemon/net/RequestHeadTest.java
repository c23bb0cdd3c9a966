package org.bulrushpier.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RequestHeadTest {

  private static RequestHead parse(String text) {
    return RequestHead.parse(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  void bodyIsIgnored() {
    RequestHead head = parse("POST /a?b=1 HTTP/1.1\r\nHost: lima\r\nContent-Length: 9\r\n\r\nbody");

    assertThat(head.method()).isEqualTo("POST");
    assertThat(head.target()).isEqualTo("/a?b=1");
    assertThat(head.fields().get("Host")).isEqualTo("lima");
  }

  @Test
  void malformedHeadIsNotRepeatedInTheMessage() {
    assertThatThrownBy(() -> parse("POST\r\nAuthorization: Bearer secret\r\n\r\n"))
        .isInstanceOf(IllegalArgumentException.class)
        .message()
        .startsWith("the head of the request is malformed")
        .doesNotContain("secret");
  }

  @Test
  void headWithoutAnEndIsIncomplete() {
    assertThatThrownBy(() -> parse("GET / HTTP/1.1\r\nHost: lima\r\n"))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("incomplete");
    assertThatThrownBy(() -> parse("")).isInstanceOf(IllegalArgumentException.class);
  }
}
