package org.bulrushpier.rig.ask;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.bulrushpier.Address;
import org.bulrushpier.Hash;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Makes one HTTP call and prints the response body. Not thread-safe. */
@Command(
    name = "call",
    description = "Makes one HTTP call and prints the response body.",
    mixinStandardHelpOptions = true)
public final class CallCommand implements Callable<Integer> {

  @Option(names = "--key", description = "The bearer token.")
  private String key;

  @Option(names = "--idempotency-key", description = "The idempotency key.")
  private String idempotencyKey;

  @Option(names = "--body", defaultValue = "", description = "The request body.")
  private String body;

  @Option(names = "--wait-seconds", defaultValue = "0", description = "Retry until it answers 200.")
  private int waitSeconds;

  @Parameters(index = "0", paramLabel = "METHOD")
  private String method;

  @Parameters(index = "1", paramLabel = "IP:PORT")
  private String address;

  @Parameters(index = "2", paramLabel = "PATH")
  private String path;

  /** Creates the command. */
  public CallCommand() {}

  @Override
  public Integer call() {
    HttpCaller caller = HttpCaller.start();
    try {
      Reply reply = callUntilOk(caller);
      System.out.println(new String(reply.body(), StandardCharsets.UTF_8).strip());
      return reply.isOk() ? 0 : 1;
    } finally {
      caller.stop();
    }
  }

  private Reply callUntilOk(HttpCaller caller) {
    long deadline = System.currentTimeMillis() + waitSeconds * 1_000L;
    while (true) {
      try {
        Reply reply = caller.call(outgoingCall());
        if (reply.isOk() || System.currentTimeMillis() >= deadline) {
          return reply;
        }
      } catch (org.bulrushpier.daemon.http.CallFailedException e) {
        if (System.currentTimeMillis() >= deadline) {
          throw e;
        }
      }
      org.bulrushpier.rig.Faults.sleep(100);
    }
  }

  private OutgoingCall outgoingCall() {
    OutgoingCall call = OutgoingCall.of(method, Address.parse(address), path);
    if (key != null) {
      call = call.withHeader("Authorization", "Bearer " + key);
    }
    if (idempotencyKey != null) {
      call = call.withHeader("Idempotency-Key", idempotencyKey);
    }
    return body.isEmpty() ? call : call.withBody("application/json", Hash.utf8(body));
  }
}
