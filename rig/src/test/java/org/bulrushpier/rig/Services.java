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

/** Calls plain services of a site and reads what they truly ran. */
final class Services {

  private static final long TIMEOUT_MILLIS = 8_000;

  private Services() {}

  /** What one call came to; the execution is empty for an answer of the service itself. */
  record Told(int status, String execution, String body) {
    boolean isDone() {
      return status == 200;
    }

    boolean isNotRun() {
      return execution.equals("not-run");
    }
  }

  /** Logs a defect; the defect's name is in the body, so that the record tells it apart. */
  static Told log(Site site, String entry, String key, String defect) {
    OutgoingCall call =
        OutgoingCall.of("POST", site.address(entry), "/services/records/defects")
            .withHeader("Authorization", "Bearer " + Site.customerKey(1))
            .withBody("text/plain", Hash.utf8(defect))
            .withTimeout(TIMEOUT_MILLIS);
    return call(site, key.isEmpty() ? call : call.withHeader("Idempotency-Key", key));
  }

  static Told look(Site site, String entry, String frame) {
    return call(
        site,
        OutgoingCall.get(site.address(entry), "/services/records/frames/" + frame)
            .withHeader("Authorization", "Bearer " + Site.customerKey(1))
            .withTimeout(TIMEOUT_MILLIS));
  }

  private static Told call(Site site, OutgoingCall call) {
    try {
      Reply reply = site.caller().call(call);
      String body = new String(reply.body());
      if (reply.header("content-type").startsWith("application/problem+json")) {
        JsonNode problem = Codec.json().tree(reply.body());
        return new Told(reply.status(), problem.path("execution").asText(), body);
      }
      return new Told(reply.status(), "", body);
    } catch (CallFailedException e) {
      return new Told(0, e.isSent() ? "outcome-unknown" : "not-run", e.getMessage());
    }
  }

  /** How often each defect truly ran, by the hash of its name, over all replicas. */
  static Map<String, Integer> ran(Site site, String... replicas) {
    Map<String, Integer> counts = new TreeMap<>();
    List<ServiceFake.Ran> all = new ArrayList<>();
    for (String replica : replicas) {
      all.addAll(Arrays.asList(site.read(replica, "/record", ServiceFake.Ran[].class)));
    }
    all.stream()
        .filter(ran -> ran.method().equals("POST"))
        .forEach(ran -> counts.merge(ran.body(), 1, Integer::sum));
    return counts;
  }

  static String nameHash(String defect) {
    return Hash.hex(Hash.utf8(defect));
  }
}
