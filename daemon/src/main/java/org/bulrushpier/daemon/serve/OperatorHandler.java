package org.bulrushpier.daemon.serve;

import java.util.List;
import java.util.function.Supplier;
import org.bulrushpier.Codec;
import org.bulrushpier.Hash;
import org.bulrushpier.adapter.CallFormat;
import org.bulrushpier.daemon.net.CallerConnection;
import org.bulrushpier.daemon.net.InboundRequest;
import org.bulrushpier.daemon.net.RequestHead;
import org.eclipse.jetty.http.HttpFields;

/**
 * Answers operators on the metrics address: the metrics, the status, and explanations of requests.
 *
 * <p>Guarded by the loop's lock.
 */
final class OperatorHandler implements CallerConnection.Handler {

  /** The path that explains the request whose head is the body of the call. */
  static final String EXPLAIN = "/explain";

  /** The path of the status. */
  static final String STATUS = "/status";

  private static final String JSON = "application/json";

  private final GatewayContext context;
  private final Explainer explainer;
  private final StatusReporter reporter;

  /**
   * Creates the handler.
   *
   * @param context the state of the instance
   * @param unready returns why the instance is not ready
   */
  OperatorHandler(GatewayContext context, Supplier<List<String>> unready) {
    this.context = context;
    explainer = new Explainer(context);
    reporter = new StatusReporter(context, unready);
  }

  @Override
  public void requestReceived(CallerConnection connection, InboundRequest request) {
    if (request.target().equals(EXPLAIN)) {
      explain(connection, request.body());
    } else if (request.target().equals(STATUS)) {
      respond(connection, 200, JSON, Codec.json().write(reporter.status()));
    } else {
      respond(connection, 200, "text/plain; version=0.0.4", Hash.utf8(context.metrics().scrape()));
    }
  }

  private void explain(CallerConnection connection, byte[] head) {
    Explanation explanation;
    try {
      RequestHead parsed = RequestHead.parse(head);
      explanation =
          explainer.explain(CallFormat.request(parsed.method(), parsed.target(), parsed.fields()));
    } catch (IllegalArgumentException e) {
      respond(connection, 400, "text/plain", Hash.utf8(String.valueOf(e.getMessage())));
      return;
    }
    respond(connection, 200, JSON, Codec.json().write(explanation));
  }

  private static void respond(
      CallerConnection connection, int status, String contentType, byte[] body) {
    connection.respond(status, HttpFields.build().add("Content-Type", contentType), body);
  }
}
