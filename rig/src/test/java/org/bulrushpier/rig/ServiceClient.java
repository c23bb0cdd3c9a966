package org.bulrushpier.rig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bulrushpier.Codec;
import org.bulrushpier.Hash;
import org.bulrushpier.daemon.http.CallFailedException;
import org.bulrushpier.daemon.http.OutgoingCall;
import org.bulrushpier.daemon.http.Reply;
import org.bulrushpier.rig.service.ServiceFake;
import org.bulrushpier.rig.site.Site;

/** Calls the plain services of a site and reads the records of what they executed. */
final class ServiceClient {

  private static final long TIMEOUT_MILLIS = 8_000;

  private ServiceClient() {}

  /** The result of a call; {@code execution} is empty if the service itself answered. */
  record Result(int status, String execution, String body) {
    boolean isDone() {
      return status == 200;
    }

    boolean isNotRun() {
      return execution.equals("not-run");
    }
  }

  /** Logs a defect, whose name is the body and thereby identifies it in the services' records. */
  static Result logDefect(Site site, String entry, String key, String defect) {
    OutgoingCall call =
        OutgoingCall.of("POST", site.address(entry), "/services/records/defects")
            .withHeader("Authorization", "Bearer " + Site.customerKey(1))
            .withBody("text/plain", Hash.utf8(defect))
            .withTimeout(TIMEOUT_MILLIS);
    return call(site, key.isEmpty() ? call : call.withHeader("Idempotency-Key", key));
  }

  static Result readFrame(Site site, String entry, String frame) {
    return call(
        site,
        OutgoingCall.get(site.address(entry), "/services/records/frames/" + frame)
            .withHeader("Authorization", "Bearer " + Site.customerKey(1))
            .withTimeout(TIMEOUT_MILLIS));
  }

  private static Result call(Site site, OutgoingCall call) {
    try {
      Reply reply = site.caller().call(call);
      String body = new String(reply.body());
      if (reply.header("content-type").startsWith("application/problem+json")) {
        JsonNode problem = Codec.json().readTree(reply.body());
        return new Result(reply.status(), problem.path("execution").asText(), body);
      }
      return new Result(reply.status(), "", body);
    } catch (CallFailedException e) {
      return new Result(0, e.isSent() ? "outcome-unknown" : "not-run", e.getMessage());
    }
  }

  /** Returns how often each defect was executed over all replicas, by the hash of its name. */
  static Map<String, Integer> executionCounts(Site site, String... replicas) {
    Map<String, Integer> counts = new TreeMap<>();
    List<ServiceFake.Execution> all = new ArrayList<>();
    for (String replica : replicas) {
      all.addAll(Arrays.asList(site.read(replica, "/record", ServiceFake.Execution[].class)));
    }
    all.stream()
        .filter(execution -> execution.method().equals("POST"))
        .forEach(execution -> counts.merge(execution.body(), 1, Integer::sum));
    return counts;
  }

  static String nameHash(String defect) {
    return Hash.hex(Hash.utf8(defect));
  }
}
