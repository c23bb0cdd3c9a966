package org.bulrushpier.rig.proxy;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushpier.Address;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.daemon.http.Call;

/**
 * Fault-injecting TCP proxy with named links, each configured by {@code PUT /links/NAME?cut=1&...}.
 *
 * <p>Thread-safe.
 */
public final class FaultProxy {

  private static final String PREFIX = "/links/";

  private final Map<String, ProxyLink> links = new ConcurrentHashMap<>();

  /** Creates a proxy without links. */
  public FaultProxy() {}

  /**
   * Opens a link.
   *
   * @param name the link's name
   * @param listen the listen address
   * @param target the address that connections are forwarded to
   */
  public void open(String name, Address listen, Address target) {
    links.put(name, ProxyLink.open(listen, target));
  }

  /**
   * Handles a control request: {@code cut} and {@code cut-back} hold back the bytes towards and
   * from the target, {@code refuse} resets present and new connections, {@code delay-ms} and {@code
   * bytes-per-second} add latency and limit the bandwidth.
   *
   * @param call the request and its response
   */
  public void handle(Call call) {
    String name = call.path().startsWith(PREFIX) ? call.path().substring(PREFIX.length()) : "";
    ProxyLink link = links.get(name);
    if (link == null) {
      throw BulrushpierException.notRun(ErrorCode.NOT_FOUND, call.path());
    }
    link.setImpairments(
        new ProxyLink.Impairments(
            call.queryNumber("cut", 0) > 0,
            call.queryNumber("cut-back", 0) > 0,
            call.queryNumber("refuse", 0) > 0,
            call.queryNumber("delay-ms", 0),
            call.queryNumber("bytes-per-second", 0)));
    call.json(200, "set");
  }
}
