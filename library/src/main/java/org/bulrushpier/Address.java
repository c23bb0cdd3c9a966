package org.bulrushpier;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IPv4 address and port, such as {@code 10.0.0.7:8100}.
 *
 * <pre>{@code
 * Address address = Address.parse("127.0.0.1:8100");
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the IPv4 address in dotted-decimal form
 * @param port the port, 1 to 65535
 */
public record Address(String host, int port) {

  private static final Pattern FORMAT = Pattern.compile("((?:\\d{1,3}\\.){3}\\d{1,3}):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;

  /**
   * Validates the port.
   *
   * @throws IllegalArgumentException if the port is out of range
   */
  public Address {
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port: " + port + " is not within 1.." + MAX_PORT);
    }
  }

  /**
   * Parses an address.
   *
   * @param text a dotted-decimal IPv4 address, a colon and a port; not null
   * @return the address
   * @throws IllegalArgumentException if the text is not of this form or a number is out of range
   */
  public static Address parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("address: '" + text + "' is not of the form IP:port");
    }
    for (String octet : matcher.group(1).split("\\.")) {
      if (Integer.parseInt(octet) > MAX_OCTET) {
        throw new IllegalArgumentException("address: '" + text + "' has an octet above 255");
      }
    }
    return new Address(matcher.group(1), Integer.parseInt(matcher.group(2)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
