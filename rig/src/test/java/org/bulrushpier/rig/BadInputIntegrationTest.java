package org.bulrushpier.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Random;
import org.bulrushpier.Address;
import org.bulrushpier.Hash;
import org.bulrushpier.cache.ChatMessage;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.rig.site.Site;
import org.bulrushpier.rig.site.SitePlan;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Invalid input is rejected with an error code and the location of the error, and the entry keeps
 * serving.
 */
class BadInputIntegrationTest {

  private static Site site;

  @BeforeAll
  static void start() {
    site = Site.start(SitePlan.small());
  }

  @AfterAll
  static void stop() {
    site.close();
  }

  @AfterEach
  void entryStillServes() {
    List<ChatMessage> messages = ChatClient.conversation("still", 20);
    assertThat(ChatClient.send(site, "entry-1", 1, messages, 3).text())
        .isEqualTo(ChatClient.expectedAnswer(1, "7", messages, 3));
  }

  private static Reply post(String path, String key, String body) {
    return site.caller()
        .call(
            OutgoingCall.of("POST", site.address("entry-1"), path)
                .withHeader("Authorization", "Bearer " + key)
                .withBody("application/json", Hash.utf8(body)));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{|400|bad-request|body is not a ChatRequest",
        "null|400|bad-request|body is not a ChatRequest",
        "{}|400|bad-request|model: is missing",
        "{\"model\":\"chat\"}|400|bad-request|messages: is missing",
        "{\"model\":\"chat\",\"messages\":[{\"role\":\"user\"}]}|400|bad-request|[0].content",
        "{\"model\":\"chat\",\"messages\":[{\"role\":\"A B\",\"content\":\"\"}]}"
            + "|400|bad-request|[0].role",
        "{\"model\":\"chat\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"max_tokens\":0}"
            + "|400|bad-request|max_tokens: 0 is not within",
        "{\"model\":\"nope\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
            + "|404|not-found|'nope' is no deployment"
      })
  void malformedChatBodyIsRejectedWithLocation(
      String body, int status, String code, String location) {
    Reply reply = post("/v1/chat/completions", Site.customerKey(1), body);
    String text = new String(reply.body());
    assertThat(reply.status()).as(text).isEqualTo(status);
    assertThat(text).contains("\"code\":\"" + code + "\"", "\"execution\":\"not-run\"", location);
  }

  @Test
  void unknownKeyIsRejected() {
    Reply reply = post("/v1/chat/completions", "nobody", "{}");
    assertThat(reply.status()).isEqualTo(401);
    assertThat(reply.header("www-authenticate")).isEqualTo("Bearer");
  }

  @Test
  void oversizedBodyIsRejected() {
    Reply reply = post("/services/records/defects", Site.customerKey(1), "x".repeat(1_000_001));
    assertThat(reply.status()).isEqualTo(413);
    assertThat(new String(reply.body())).contains("too-large");
  }

  @Test
  void unknownOperationIsRejected() {
    Reply reply = post("/services/records/nothing", Site.customerKey(1), "");
    assertThat(reply.status()).isEqualTo(404);
    assertThat(new String(reply.body())).contains("no such operation");
  }

  @Test
  void overlongIdempotencyKeyIsRejected() {
    assertThat(ServiceClient.logDefect(site, "entry-1", "k".repeat(256), "d").body())
        .contains("Idempotency-Key: must have 1 to 255 characters");
  }

  @Test
  void garbageOnPeerPortDoesNotAffectOtherConnections() throws IOException {
    Random random = new Random(5);
    Address peer = site.address("entry-1-peer");
    for (int i = 0; i < 50; i++) {
      byte[] garbage = new byte[1 + random.nextInt(2_000)];
      random.nextBytes(garbage);
      try (Socket socket = new Socket(peer.host(), peer.port())) {
        OutputStream out = socket.getOutputStream();
        out.write(garbage);
        out.flush();
      } catch (IOException e) {
        assertThat(e).hasMessageMatching("(?i).*(reset|broken pipe).*");
      }
    }
    assertThat(ServiceClient.logDefect(site, "entry-1", "after-garbage", "d").isDone()).isTrue();
  }
}
