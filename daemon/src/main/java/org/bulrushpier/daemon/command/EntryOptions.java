package org.bulrushpier.daemon.command;

import org.bulrushpier.Address;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Certainty;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.daemon.http.HttpCaller;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Problem;
import org.bulrushpier.daemon.http.Reply;
import picocli.CommandLine.Option;

/** Options for calling the administration API of an entry. Not thread-safe. */
final class EntryOptions {

  @Option(
      names = "--entry",
      paramLabel = "IP:PORT",
      defaultValue = "127.0.0.1:8101",
      description = "The caller address of any entry (default: ${DEFAULT-VALUE}).")
  private String entry;

  @Option(
      names = "--key",
      paramLabel = "KEY",
      defaultValue = "${env:BULRUSHPIER_KEY}",
      description = "The operator's key (default: the environment variable BULRUSHPIER_KEY).")
  private String key;

  @Option(names = "--json", description = "Print JSON.")
  private boolean isJson;

  boolean isJson() {
    return isJson;
  }

  Address address() {
    return Address.parse(entry);
  }

  Reply call(OutgoingCall call) {
    String header = "Bearer " + (key == null ? "" : key);
    return send(call.withHeader("Authorization", header));
  }

  /** Sends a single call as it is. */
  static Reply send(OutgoingCall call) {
    HttpCaller caller = HttpCaller.start();
    try {
      return caller.call(call);
    } finally {
      caller.stop();
    }
  }

  Reply callOk(OutgoingCall call) {
    Reply reply = call(call);
    if (!reply.isOk()) {
      throw toException(reply);
    }
    return reply;
  }

  static BulrushpierException toException(Reply reply) {
    Problem problem = Codec.json().read(reply.body(), Problem.class);
    StringBuilder text = new StringBuilder(problem.code() + ": " + problem.detail());
    if (problem.findings() != null) {
      problem.findings().forEach(finding -> text.append(System.lineSeparator()).append(finding));
    }
    boolean isUnknown = Certainty.OUTCOME_UNKNOWN.text().equals(problem.execution());
    ErrorCode code = ErrorCode.BAD_REQUEST;
    for (ErrorCode known : ErrorCode.values()) {
      code = known.text().equals(problem.code()) ? known : code;
    }
    return isUnknown
        ? BulrushpierException.unknown(code, text.toString())
        : BulrushpierException.notRun(code, text.toString());
  }

  static void printJson(Reply reply) {
    System.out.println(Codec.json().readTree(reply.body()).toPrettyString());
  }
}
